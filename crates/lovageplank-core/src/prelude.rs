//! Types that most modules use.

pub use crate::record;
pub use std::collections::{BTreeMap, BTreeSet};
pub use std::sync::Arc;

/// A shared immutable name: of a model, adapter, service, instance or backend server.
pub type Name = Arc<str>;

/// Milliseconds on the clock of the process that drives the code; only differences have meaning
/// between calls, and never across processes.
pub type Millis = u64;
