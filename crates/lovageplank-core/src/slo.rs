//! Service-level objectives and burn rates.
//!
//! Routers count each finished request in a [`Recorder`] and send the leader a [`Delta`] of what is
//! new; the leader merges all of them in a [`Store`], and [`AlertTracker`] turns its sums into alerts.
//!
//! ```
//! use lovageplank_core::settings::Effective;
//! use lovageplank_core::slo::{Cause, Key, Kind, Objective, Recorder, Sample, Store};
//! let settings = Effective::default();
//! let mut recorder = Recorder::default();
//! let key = Key::new("drafting", "lime");
//! recorder.record(0, &key, &Sample::new(Cause::Answered), &settings);
//! recorder.record(0, &key, &Sample::new(Cause::NoCapacity), &settings);
//! let delta = recorder.delta(10_000).unwrap();
//! let mut store = Store::default();
//! let ack = store.merge(0, &"router-0".into(), 1, &delta);
//! recorder.acknowledge(ack);
//! let answered = Objective::new(Kind::Answered, &settings);
//! let tally = answered.tally(&store.service_sum(0, 300_000, "drafting"));
//! assert_eq!((tally.total, tally.bad), (2, 1));
//! assert!((answered.burn(tally) - 50.0).abs() < 1e-9);
//! ```
//!
//! A burn rate is the share of bad events over the share that the objective allows: at 1 the
//! budget is spent exactly as fast as it is granted. Histograms and counts are merged by addition,
//! so that the order of routers has no influence. Deltas carry ages instead of times, since clocks
//! of different processes have nothing in common.
//!
//! Limits: a percentile is known to its bucket only, whereas "slower than the objective" is
//! counted exactly against the settings in force when the request ended; a later change of an
//! objective doesn't judge old requests again.

mod alert;
mod burn;
mod cell;
mod delta;
mod histogram;
mod recorder;
mod report;
mod store;

pub use alert::{Alert, AlertChange, AlertTracker, CLEAR_AFTER_MS, MIN_BAD_EVENTS};
pub use burn::{BurnWindows, FAST_BURN, Kind, Objective, SLOW_BURN, Tally};
pub use cell::{Cell, Sample};
pub use delta::{Ack, Batch, BatchRange, Delta, Row};
pub use histogram::Histogram;
pub use recorder::{MAX_BUFFERED_ROWS, MAX_DELTA_ROWS, MIN_DELTA_INTERVAL_MS, Recorder};
pub use report::{BurnSource, Point, Report, ReportInput, ReportLine, Window};
pub use store::{HISTORY_MS, MAX_CELLS, Store};

use crate::prelude::*;

/// Milliseconds of a slot in which requests are counted together at first.
pub const FINE_SLOT_MS: u64 = 10_000;

/// Milliseconds of a slot in which older requests are counted together.
pub const COARSE_SLOT_MS: u64 = 60_000;

record! { key =>
    /// What requests are counted by.
    pub struct Key {
        /// The service.
        pub service: Name,
        /// The model; empty for a plain service.
        pub model: Name,
    }
}

impl Key {
    /// The key of a service's model.
    pub fn new(service: impl Into<Name>, model: impl Into<Name>) -> Key {
        Key {
            service: service.into(),
            model: model.into(),
        }
    }
}

record! { copy =>
    /// How a request ended.
    #[serde(rename_all = "snake_case")]
    pub enum Cause {
        /// Answered before its deadline.
        Answered,
        /// Answered after its deadline, or left by its caller after it.
        Late,
        /// Refused: the pending queue was full.
        QueueFull,
        /// Refused: it could not start before its deadline.
        DeadlineRefused,
        /// Refused: no load of the model, or no server of the service, was possible.
        NoCapacity,
        /// Refused: too many requests of the service were in progress.
        ConcurrencyLimit,
        /// Refused: the router had lost the control group.
        LeaseLapsed,
        /// Refused: the router had more to decide than it could.
        Overloaded,
        /// Refused: the control group was needed and out of reach.
        ControlUnavailable,
        /// Refused: no backend server took it.
        BackendUnreachable,
        /// The backend server's answer was broken.
        BackendBroke,
        /// It may have run, and its answer is lost.
        OutcomeUnknown,
        /// The caller left before the deadline.
        CallerGone,
        /// The caller may not do this, does too much of it, or asked for something malformed.
        CallerFault,
    }
}

/// What a [`Cause`] means for objectives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// As promised.
    Good,
    /// Too late.
    Late,
    /// Refused by the system.
    Refused,
    /// Begun and not finished.
    Broken,
    /// Neither good nor bad: the caller's own doing.
    Excluded,
}

impl Cause {
    /// All causes, in the order of [`Cause::index`].
    pub const ALL: [Cause; 14] = [
        Cause::Answered,
        Cause::Late,
        Cause::QueueFull,
        Cause::DeadlineRefused,
        Cause::NoCapacity,
        Cause::ConcurrencyLimit,
        Cause::LeaseLapsed,
        Cause::Overloaded,
        Cause::ControlUnavailable,
        Cause::BackendUnreachable,
        Cause::BackendBroke,
        Cause::OutcomeUnknown,
        Cause::CallerGone,
        Cause::CallerFault,
    ];

    /// Position in [`Cause::ALL`], which is its number on the wire.
    pub fn index(self) -> usize {
        self as usize
    }

    /// What it means for objectives.
    pub fn class(self) -> Class {
        match self {
            Cause::Answered => Class::Good,
            Cause::Late => Class::Late,
            Cause::BackendBroke | Cause::OutcomeUnknown => Class::Broken,
            Cause::CallerGone | Cause::CallerFault => Class::Excluded,
            Cause::QueueFull
            | Cause::DeadlineRefused
            | Cause::NoCapacity
            | Cause::ConcurrencyLimit
            | Cause::LeaseLapsed
            | Cause::Overloaded
            | Cause::ControlUnavailable
            | Cause::BackendUnreachable => Class::Refused,
        }
    }

    /// Name in reports and logs.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Answered => "answered",
            Cause::Late => "late",
            Cause::QueueFull => "queue_full",
            Cause::DeadlineRefused => "deadline_refused",
            Cause::NoCapacity => "no_capacity",
            Cause::ConcurrencyLimit => "concurrency_limit",
            Cause::LeaseLapsed => "lease_lapsed",
            Cause::Overloaded => "overloaded",
            Cause::ControlUnavailable => "control_unavailable",
            Cause::BackendUnreachable => "backend_unreachable",
            Cause::BackendBroke => "backend_broke",
            Cause::OutcomeUnknown => "outcome_unknown",
            Cause::CallerGone => "caller_gone",
            Cause::CallerFault => "caller_fault",
        }
    }
}
