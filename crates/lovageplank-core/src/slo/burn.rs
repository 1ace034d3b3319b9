//! Objectives, error budgets and burn rates.

use super::{Cause, Cell, Class};
use crate::prelude::*;
use crate::settings::Effective;

/// Share of cold starts that may be slower than the objective: 99 in 100 must meet it.
const COLD_START_BUDGET: f64 = 0.01;

/// Share of first tokens that may be slower than the objective: 95 in 100 must meet it.
const FIRST_TOKEN_BUDGET: f64 = 0.05;

/// Minimum error budget, so that the burn rate of an objective of 100 % is finite.
const MIN_BUDGET: f64 = 1e-6;

record! { copy =>
    /// The quantity that an objective limits.
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// Share of requests answered in time.
        Answered,
        /// Share of requests refused.
        Refused,
        /// 99th percentile of the time that requests wait for a load.
        ColdStart,
        /// 95th percentile of the time to the first token.
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
    /// Numbers of events in a window.
    #[derive(Default)]
    pub struct Tally {
        /// Events that the objective counts.
        pub total: u64,
        /// Events that miss the objective; at most `total`.
        pub bad: u64,
    }
}

/// One objective of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// The quantity that it limits.
    pub kind: Kind,
    /// Share of events that may be bad, above 0.
    pub budget: f64,
    /// Milliseconds beyond which an event is bad; `None` for objectives that limit no duration.
    pub limit_ms: Option<u64>,
}

impl Objective {
    /// The objective of this kind in the effective settings of a service.
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

    /// The total and the bad events of a cell.
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

    /// Burn rate: the share of bad events divided by the budget; 0 without events.
    #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
    pub fn burn(&self, tally: Tally) -> f64 {
        if tally.total == 0 {
            return 0.0;
        }
        tally.bad as f64 / tally.total as f64 / self.budget
    }

    /// The number of bad events of a cell by cause.
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

    /// The percentile in milliseconds that the objective limits; `None` without events, or if the
    /// objective limits no duration.
    pub fn percentile_ms(&self, cell: &Cell) -> Option<u64> {
        match self.kind {
            Kind::Answered | Kind::Refused => None,
            Kind::ColdStart => cell.cold.percentile(99),
            Kind::FirstToken => cell.first_token.percentile(95),
        }
    }
}

/// A pair of windows. An alert is raised if the burn rate of both exceeds the threshold.
///
/// The long window shows that a relevant part of the budget was spent, and the short one that it
/// is still being spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnWindows {
    /// Name in reports and logs.
    pub name: &'static str,
    /// Short window in milliseconds.
    pub short_ms: u64,
    /// Long window in milliseconds.
    pub long_ms: u64,
    /// Burn rate that both windows must exceed.
    pub threshold: f64,
}

/// Fast burn: 2 % of the budget of 30 days within one hour.
pub const FAST_BURN: BurnWindows = BurnWindows {
    name: "fast",
    short_ms: 5 * 60_000,
    long_ms: 3_600_000,
    threshold: 14.4,
};

/// Slow burn: 5 % of the budget of 30 days within six hours.
pub const SLOW_BURN: BurnWindows = BurnWindows {
    name: "slow",
    short_ms: 30 * 60_000,
    long_ms: 6 * 3_600_000,
    threshold: 6.0,
};
