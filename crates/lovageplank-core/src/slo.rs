//! Service-level objectives and burn rates.
//!
//! Routers count each finished request in a [`Recorder`] and send new counts to the leader in a
//! [`Delta`]. The leader merges the deltas of all routers into a [`Store`], and an [`AlertTracker`]
//! raises and clears alerts based on sums over time windows.
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
//! A burn rate is the share of bad events divided by the share that the objective allows: at 1, the
//! error budget is spent exactly as fast as it accrues. Histograms and counts are merged by
//! addition, so that the order of merging doesn't matter. Deltas contain ages instead of times,
//! because the clocks of different processes are not comparable.
//!
//! Limits: a percentile is accurate to its histogram bucket only. Events slower than the objective
//! are counted exactly, by the settings in force when the request ended; a later change of an
//! objective doesn't reclassify them.

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

/// Milliseconds of a fine time slot, by which routers count requests and the leader sums short
/// windows.
pub const FINE_SLOT_MS: u64 = 10_000;

/// Milliseconds of a coarse time slot, by which the leader sums long windows and routers coalesce
/// old batches.
pub const COARSE_SLOT_MS: u64 = 60_000;

record! { key =>
    /// The service and model by which requests are counted.
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
        /// Answered after its deadline, or abandoned by its caller after it.
        Late,
        /// Refused: the queue of pending requests was full.
        QueueFull,
        /// Refused: it could not start before its deadline.
        DeadlineRefused,
        /// Refused: the model could not be loaded, or the service had no backend server.
        NoCapacity,
        /// Refused: too many requests of the service were in progress.
        ConcurrencyLimit,
        /// Refused: the router had lost the control group and its lease had expired.
        LeaseLapsed,
        /// Refused: the router was overloaded.
        Overloaded,
        /// Refused: the request needed the control group, which was unreachable.
        ControlUnavailable,
        /// Refused: no backend server accepted it.
        BackendUnreachable,
        /// The backend server's answer was invalid.
        BackendBroke,
        /// The request may have been executed, but its answer was lost.
        OutcomeUnknown,
        /// The caller disconnected before the deadline.
        CallerGone,
        /// Rejected for a reason on the caller's side, such as missing permission, an exceeded rate
        /// limit or a malformed request.
        CallerFault,
    }
}

/// How objectives classify a [`Cause`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Answered in time.
    Good,
    /// Not answered in time.
    Late,
    /// Refused by the system.
    Refused,
    /// Possibly executed, but without a valid answer.
    Broken,
    /// Not counted, because the caller caused it.
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

    /// Index in [`Cause::ALL`], which encodes the cause on the wire.
    pub fn index(self) -> usize {
        self as usize
    }

    /// The class that objectives use.
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
