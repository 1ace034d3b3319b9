//! Types that most modules use.

pub use crate::record;
pub use std::collections::{BTreeMap, BTreeSet};
pub use std::sync::Arc;

/// A shared immutable name: of a model, adapter, service, instance or backend server.
pub type Name = Arc<str>;

/// Milliseconds on the clock of the calling process. Only the difference between two values of the
/// same process is meaningful.
pub type Millis = u64;
