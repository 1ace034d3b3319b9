//! What the router needs from the control group.
//!
//! The trait stands at the edge of the process: [`link::Link`] speaks to the real control group,
//! tests give their own. What the control group tells comes as [`Input`](crate::broker::Input)s.

pub mod link;

use futures_util::future::BoxFuture;
use lovageplank_core::slo::Delta;
use lovageplank_wire::{Answer, Heartbeat};

pub use lovageplank_wire::call::Call;

/// The control group as the router uses it.
pub trait Control: Send + Sync + 'static {
    /// Sends a heartbeat; its answer comes as an input. Never blocks.
    fn heartbeat(&self, heartbeat: Heartbeat);

    /// Sends counts of finished requests to the leader; they are given again until it acknowledges
    /// them. Never blocks.
    fn objectives(&self, delta: Delta) {
        let _ = delta;
    }

    /// Asks for the whole view again, after a gap in the updates.
    fn resync(&self);

    /// Carries out a call at the leader.
    fn call(&self, call: Call) -> BoxFuture<'static, Answer>;
}
