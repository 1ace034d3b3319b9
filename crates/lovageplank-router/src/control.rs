//! The router's interface to the control group.
//!
//! [`link::ControlLinks`] implements [`Control`] over links to the control processes; tests
//! implement it in memory. What the control group sends arrives as
//! [`Input`](crate::broker::Input)s of the decision thread.

pub mod link;

use futures_util::future::BoxFuture;
use lovageplank_core::slo::Delta;
use lovageplank_wire::{Answer, Heartbeat};

pub use lovageplank_wire::call::Call;

/// Sends messages and calls to the control group.
pub trait Control: Send + Sync + 'static {
    /// Sends a heartbeat; its answer arrives as [`Input::Lease`](crate::broker::Input::Lease).
    /// Never blocks.
    fn heartbeat(&self, heartbeat: Heartbeat);

    /// Sends counts of finished requests to the leader. The caller sends them again until the
    /// leader acknowledges them. Never blocks.
    fn objectives(&self, delta: Delta) {
        let _ = delta;
    }

    /// Requests a full update of the view, after a gap in the updates.
    fn resync(&self);

    /// Sends a call to the leader and returns its answer.
    fn call(&self, call: Call) -> BoxFuture<'static, Answer>;
}
