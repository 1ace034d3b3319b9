//! What the router needs from the control group.
//!
//! The trait stands at the edge of the process: [`link::Link`] speaks to the real control group,
//! tests give their own. What the control group tells comes as [`Input`](crate::broker::Input)s.

pub mod link;

use futures_util::future::BoxFuture;
use lovageplank_core::idempotency::{Claim, Outcome, Verdict};
use lovageplank_core::record;
use lovageplank_wire::{Answer, Heartbeat};

pub use lovageplank_wire::call::Call;

/// The control group as the router uses it.
pub trait Control: Send + Sync + 'static {
    /// Sends a heartbeat; its answer comes as an input. Never blocks.
    fn heartbeat(&self, beat: Heartbeat);

    /// Asks for the whole view again, after a gap in the updates.
    fn resync(&self);

    /// Carries out a call at the leader.
    fn call(&self, call: Call) -> BoxFuture<'static, Answer>;

    /// Claims a key; a verdict is given only once a quorum has the claim on disk.
    fn claim(&self, claim: Claim) -> BoxFuture<'static, Result<Verdict, Unavailable>>;

    /// Records the outcome of a claimed request.
    fn complete(&self, outcome: Outcome) -> BoxFuture<'static, Result<(), Unavailable>>;
}

record! { copy =>
    /// The control group could not be reached or gave no answer in time; it may have acted or not.
    pub struct Unavailable;
}
