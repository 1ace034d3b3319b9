//! Settings tree: inheritance, validation, versions and history.
//!
//! ```
//! use lovageplank_core::settings::Tree;
//! let tree = Tree::parse(r#"{
//!     "settings": {"deadline_ms": 30000},
//!     "services": {"drafting": {"kind": "engine",
//!         "models": {"lime": {"version": "1", "memory_mb": 16000, "settings": {"deadline_ms": 5000}}}}}
//! }"#).unwrap();
//! assert_eq!(tree.effective("drafting", Some("lime"), None).deadline_ms, 5000);
//! ```
//!
//! # Paths
//!
//! Each setting has one canonical path: `deadline_ms` for the deployment,
//! `services/drafting/deadline_ms` for a service, `services/drafting/models/lime/deadline_ms` for a
//! model and `services/drafting/models/lime/adapters/salt/deadline_ms` for an adapter. Parts of the
//! tree have paths as well: `services/drafting` and its `kind`, `services/drafting/models/lime` and
//! its `version` and `memory_mb`, an adapter, and the empty path for the whole tree. Names contain
//! no `/`, `:` or `@`, so that paths and `model:adapter@version` are unambiguous.
//!
//! # Versions
//!
//! [`Store`] has one version for the whole tree. A [`Change`] is accepted or refused as a whole; a
//! refusal of an invalid change lists every error. [`Store::rollback`] builds an ordinary change
//! that restores an older tree, so that versions only increase. A process that keeps a copy of the
//! tree can update it by applying [`Store::edits_since`] with [`Tree::set`].

mod apply;
mod check;
mod diff;
mod edit;
mod origin;
mod overrides;
mod read;
mod store;
mod values;

pub use diff::diff;
pub use edit::Edit;
pub use origin::{Level, Resolved};
pub use overrides::Overrides;
pub use store::{
    Accepted, Change, ChangeId, HistoryRecord, MAX_ACCEPTED_IDS, MAX_HISTORY_BYTES,
    MAX_HISTORY_CHANGES, Refusal, Store,
};
pub use values::{Effective, RANGES, Values};

use crate::prelude::*;

record! { copy =>
    /// Version of the whole tree; each accepted change increments it by one.
    #[derive(Default)]
    pub struct Version(pub u64);
}

record! { data =>
    /// The settings tree of deployment, services, models and adapters. A setting at an inner level
    /// overrides the outer levels.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Tree {
        /// Settings of the deployment.
        pub settings: Values,
        /// Services by name.
        pub services: BTreeMap<Name, Service>,
    }
}

record! { copy =>
    /// The kind of backend server that a service uses.
    #[serde(rename_all = "snake_case")]
    #[derive(Default)]
    pub enum Kind {
        /// Engines, which run models.
        #[default]
        Engine,
        /// Plain services, which have no models.
        Plain,
    }
}

record! { data =>
    /// One service.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Service {
        /// The kind of its backend servers.
        pub kind: Kind,
        /// Settings that differ from the deployment's.
        pub settings: Values,
        /// Models that the service may run.
        pub models: BTreeMap<Name, Model>,
    }
}

record! { data =>
    /// One model of a service.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Model {
        /// The version that new replicas load.
        pub version: Name,
        /// Accelerator memory in megabytes that one replica needs, adapters included.
        pub memory_mb: u64,
        /// Settings that differ from the service's.
        pub settings: Values,
        /// Adapters that the model may run with.
        pub adapters: BTreeMap<Name, Adapter>,
    }
}

record! { data =>
    /// One adapter of a model.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Adapter {
        /// Settings that differ from the model's.
        #[serde(skip_serializing_if = "Overrides::is_empty")]
        pub settings: Overrides,
    }
}

record! { key =>
    /// Why a value, a path or a tree of settings is invalid.
    pub struct Error {
        /// Where in the tree, such as `services/drafting/models/lime/deadline_ms`.
        pub path: String,
        /// What is wrong and what is expected.
        pub reason: String,
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for Error {}

impl Error {
    pub(crate) fn new(path: impl Into<String>, reason: impl Into<String>) -> Error {
        Error {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl Tree {
    /// Parses and checks a tree in JSON. On failure, returns every error found.
    pub fn parse(text: &str) -> Result<Tree, Vec<Error>> {
        let value = serde_json::from_str(text).map_err(|e| {
            let remedy = format!("{e}; write one JSON object");
            vec![Error::new("", remedy)]
        })?;
        Tree::from_value(&value)
    }

    /// Reads and checks a tree from a JSON value. On failure, returns every error found, except
    /// that checks across the whole tree run only if each part is valid.
    pub fn from_value(value: &serde_json::Value) -> Result<Tree, Vec<Error>> {
        let tree = read::tree(value)?;
        let errors = check::tree(&tree);
        if errors.is_empty() {
            Ok(tree)
        } else {
            Err(errors)
        }
    }

    /// The effective settings of a service, one of its models, or one of the model's adapters.
    ///
    /// A name that the tree lacks yields the settings of the level above it.
    pub fn effective(
        &self,
        service: &str,
        model: Option<&str>,
        adapter: Option<&str>,
    ) -> Effective {
        let mut effective = Effective::default();
        effective.overlay(&self.settings);
        let Some(service) = self.services.get(service) else {
            return effective;
        };
        effective.overlay(&service.settings);
        let Some(model) = model.and_then(|m| service.models.get(m)) else {
            return effective;
        };
        effective.overlay(&model.settings);
        if let Some(adapter) = adapter.and_then(|a| model.adapters.get(a)) {
            effective.overlay(&adapter.settings);
        }
        effective
    }

    /// The service that lists a model, and the model. A model name occurs in at most one service.
    pub fn model(&self, name: &str) -> Option<(&Name, &Model)> {
        self.services
            .iter()
            .find_map(|(service, s)| Some((service, s.models.get(name)?)))
    }
}
