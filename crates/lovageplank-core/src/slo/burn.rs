//! Objectives, error budgets and burn rates.

use super::{Cause, Cell, Class};
use crate::prelude::*;
use crate::settings::Effective;

/// Share of cold starts that may exceed the objective: 99 in 100 must meet it.
const COLD_START_BUDGET: f64 = 0.01;

/// Share of first tokens that may exceed the objective: 95 in 100 must meet it.
const FIRST_TOKEN_BUDGET: f64 = 0.05;

/// Smallest budget, so that an objective of 100 % has a burn rate too.
const MIN_BUDGET: f64 = 1e-6;

record! { copy =>
    /// What an objective is about.
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// Requests answered in time.
        Answered,
        /// Requests refused.
        Refused,
        /// The tail of cold starts.
        ColdStart,
        /// The time to the first token.
        FirstToken,
    }
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [
        Kind::Answered,
        Kind::Refused,
        Kind::ColdStart,
        Kind::FirstToken,
    ];

    /// Name in reports and logs.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Answered => "answered",
            Kind::Refused => "refused",
            Kind::ColdStart => "cold_start",
            Kind::FirstToken => "first_token",
        }
    }
}

record! { copy =>
    /// Events of a window.
    #[derive(Default)]
    pub struct Tally {
        /// Events that count.
        pub total: u64,
        /// Those that miss the objective; at most `total`.
        pub bad: u64,
    }
}

/// One objective of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// What it is about.
    pub kind: Kind,
    /// Share of events that may be bad, above 0.
    pub budget: f64,
    /// Milliseconds beyond which an event is bad, for objectives about times.
    pub limit_ms: Option<u64>,
}

impl Objective {
    /// The objective that settings state.
    pub fn new(kind: Kind, settings: &Effective) -> Objective {
        let (budget, limit_ms) = match kind {
            Kind::Answered => (1.0 - settings.objective_answered, None),
            Kind::Refused => (settings.objective_refused, None),
            Kind::ColdStart => (COLD_START_BUDGET, Some(settings.objective_cold_start_ms)),
            Kind::FirstToken => (FIRST_TOKEN_BUDGET, Some(settings.objective_first_token_ms)),
        };
        Objective {
            kind,
            budget: budget.max(MIN_BUDGET),
            limit_ms,
        }
    }

    /// Counts good and bad events.
    pub fn tally(&self, cell: &Cell) -> Tally {
        let counted = || cell.sum(|class| class != Class::Excluded);
        match self.kind {
            Kind::Answered => Tally {
                total: counted(),
                bad: cell.sum(|c| !matches!(c, Class::Good | Class::Excluded)),
            },
            Kind::Refused => Tally {
                total: counted(),
                bad: cell.sum(|class| class == Class::Refused),
            },
            Kind::ColdStart => Tally {
                total: cell.cold.total(),
                bad: cell.cold_slow.into(),
            },
            Kind::FirstToken => Tally {
                total: cell.first_token.total(),
                bad: cell.first_token_slow.into(),
            },
        }
    }

    /// Share of bad events over the share allowed; 0 without any event.
    #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
    pub fn burn(&self, tally: Tally) -> f64 {
        if tally.total == 0 {
            return 0.0;
        }
        tally.bad as f64 / tally.total as f64 / self.budget
    }

    /// The bad events of a cell by cause.
    pub fn causes(&self, cell: &Cell) -> Vec<(&'static str, u64)> {
        let of_class = |pick: fn(Class) -> bool| {
            let bad = Cause::ALL.into_iter().filter(|cause| pick(cause.class()));
            bad.map(|cause| (cause.name(), cell.count(cause))).collect()
        };
        match self.kind {
            Kind::Answered => of_class(|c| !matches!(c, Class::Good | Class::Excluded)),
            Kind::Refused => of_class(|class| class == Class::Refused),
            Kind::ColdStart => vec![("slow_load", cell.cold_slow.into())],
            Kind::FirstToken => vec![("slow_first_token", cell.first_token_slow.into())],
        }
    }

    /// Milliseconds that the objective's share of events doesn't exceed, for those about times.
    pub fn percentile_ms(&self, cell: &Cell) -> Option<u64> {
        match self.kind {
            Kind::Answered | Kind::Refused => None,
            Kind::ColdStart => cell.cold.percentile(99),
            Kind::FirstToken => cell.first_token.percentile(95),
        }
    }
}

/// A pair of windows that must both exceed a burn rate.
///
/// The long window shows that enough of the budget is spent, the short one that it still goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnWindows {
    /// Name in reports and logs.
    pub name: &'static str,
    /// Short window in milliseconds.
    pub short_ms: u64,
    /// Long window in milliseconds.
    pub long_ms: u64,
    /// Burn rate that both must exceed.
    pub threshold: f64,
}

/// Fast burn: 2 % of a 30 days' budget within the hour.
pub const FAST_BURN: BurnWindows = BurnWindows {
    name: "fast",
    short_ms: 5 * 60_000,
    long_ms: 3_600_000,
    threshold: 14.4,
};

/// Slow burn: 5 % of a 30 days' budget within six hours.
pub const SLOW_BURN: BurnWindows = BurnWindows {
    name: "slow",
    short_ms: 30 * 60_000,
    long_ms: 6 * 3_600_000,
    threshold: 6.0,
};
