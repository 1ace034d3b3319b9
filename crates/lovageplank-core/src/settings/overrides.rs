//! Compact storage for levels that rarely override a setting.

use super::Values;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::ops::{Deref, DerefMut};
use std::sync::LazyLock;

static NO_VALUES: LazyLock<Values> = LazyLock::new(Values::default);

/// [`Values`] that are allocated only when a setting is written, because most of thousands of
/// adapters override nothing. They dereference to [`Values`] and are serialized like them.
#[derive(Clone, Debug, Default)]
pub struct Overrides(Option<Box<Values>>);

impl Overrides {
    /// Whether no setting is overridden.
    pub fn is_empty(&self) -> bool {
        **self == *NO_VALUES
    }
}

impl Deref for Overrides {
    type Target = Values;

    fn deref(&self) -> &Values {
        self.0.as_deref().unwrap_or(&NO_VALUES)
    }
}

impl DerefMut for Overrides {
    fn deref_mut(&mut self) -> &mut Values {
        self.0.get_or_insert_default()
    }
}

impl From<Values> for Overrides {
    fn from(values: Values) -> Overrides {
        Overrides((values != *NO_VALUES).then(|| Box::new(values)))
    }
}

impl PartialEq for Overrides {
    fn eq(&self, other: &Overrides) -> bool {
        **self == **other
    }
}

impl Serialize for Overrides {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (**self).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Overrides {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Overrides, D::Error> {
        Values::deserialize(deserializer).map(Overrides::from)
    }
}
