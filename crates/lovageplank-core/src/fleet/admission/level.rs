//! How urgent a request is to a router, and the order in which requests wait.

use crate::fleet::request::Rank;
use crate::prelude::*;

record! { copy =>
    /// How urgent a request is to a router; the least value is the most urgent. Of requests of a rank, those of
    /// tenants that use more than their fair share come last.
    #[derive(Default)]
    pub struct Level {
        /// Its rank.
        pub rank: Rank,
        /// Whether its tenant uses more than its fair share here.
        pub is_over: bool,
    }
}

/// The place of a request among those that wait; the least value comes first.
///
/// The order by the objective keeps small requests from overtaking large ones for ever: the work moves the objective
/// by a bounded time only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order {
    /// Whether requests of the rank are served as often as others. The ones that aren't come first.
    pub(super) is_served: bool,
    pub(super) level: Level,
    /// Whether it is too late for the objective.
    pub(super) is_late: bool,
    /// The objective, moved back by the work.
    pub(super) due_at: Millis,
    /// Number of the request in the queue, or the greatest for one that isn't in it.
    pub(super) ticket: u64,
}
