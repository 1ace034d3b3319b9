//! The report on burn rates that operators are shown.

use super::{AlertTracker, FAST_BURN, HISTORY_MS, Kind, Objective, SLOW_BURN, Store};
use crate::prelude::*;
use crate::settings::Tree;

/// Points of a line over time.
const MAX_POINTS: u64 = 60;

/// Entries of what burned a budget at the most.
const MAX_BURN_SOURCES: usize = 10;

record! { data =>
    /// Burn rates of all services.
    pub struct Report {
        /// Length of the report's window in milliseconds.
        pub window_ms: u64,
        /// Milliseconds that the leader's counts go back.
        pub known_ms: u64,
        /// Requests whose counts were given up: they are in no figure.
        pub dropped: u64,
        /// Hours since this leader took over in which accelerators held weights and ran nothing.
        pub idle_accelerator_hours: f64,
        /// One line for each service and objective that had events.
        pub lines: Vec<ReportLine>,
    }
}

record! { data =>
    /// One objective of one service.
    pub struct ReportLine {
        /// The service.
        pub service: Name,
        /// The objective.
        pub objective: Kind,
        /// Share of events that may be bad.
        pub budget: f64,
        /// Milliseconds beyond which an event is bad, for objectives about times.
        pub limit_ms: Option<u64>,
        /// Upper bound in milliseconds of the percentile that the objective is about.
        pub percentile_ms: Option<u64>,
        /// Share of the report window's budget that is left; negative once it is overspent.
        pub budget_left: f64,
        /// The window of the report, then those of the alerts.
        pub windows: Vec<Window>,
        /// Pairs of windows that are raised.
        pub alerts: Vec<Name>,
        /// What burned the budget in the report's window, most first.
        pub burners: Vec<BurnSource>,
        /// Burn rate over time, oldest first; parts of the window without events are left out.
        pub points: Vec<Point>,
    }
}

record! { data =>
    /// One window.
    pub struct Window {
        /// Its length in milliseconds.
        pub window_ms: u64,
        /// Events that count.
        pub total: u64,
        /// Events that miss the objective.
        pub bad: u64,
        /// Burn rate.
        pub burn: f64,
    }
}

record! { data =>
    /// What burned a part of the budget.
    pub struct BurnSource {
        /// The model; empty for a plain service.
        pub model: Name,
        /// The cause.
        pub cause: Name,
        /// Bad events.
        pub bad: u64,
        /// Share of the objective's bad events.
        pub share: f64,
    }
}

record! { data =>
    /// Burn rate of one part of the window.
    pub struct Point {
        /// Milliseconds from its end to the report.
        pub age_ms: u64,
        /// Burn rate.
        pub burn: f64,
    }
}

/// All that a report is made of.
#[derive(Clone, Copy)]
pub struct ReportInput<'a> {
    /// The counts.
    pub store: &'a Store,
    /// The alerts.
    pub alerts: &'a AlertTracker,
    /// The settings.
    pub tree: &'a Tree,
    /// Idle accelerator hours.
    pub idle_accelerator_hours: f64,
}

impl Report {
    /// The report on the last `window_ms`, or on all that is kept if that is 0.
    pub fn new(now: Millis, window_ms: u64, input: ReportInput) -> Report {
        let window_ms = match window_ms {
            0 => HISTORY_MS,
            ms => ms.min(HISTORY_MS),
        };
        let services = input.tree.services.keys();
        let lines =
            services.flat_map(|s| Kind::ALL.map(|kind| line(now, window_ms, input, s, kind)));
        Report {
            window_ms,
            known_ms: input.store.history_age_ms(now),
            dropped: input.store.dropped(),
            idle_accelerator_hours: input.idle_accelerator_hours,
            lines: lines.flatten().collect(),
        }
    }
}

fn line(
    now: Millis,
    window_ms: u64,
    input: ReportInput,
    service: &Name,
    kind: Kind,
) -> Option<ReportLine> {
    let objective = Objective::new(kind, &input.tree.effective(service, None, None));
    let store = input.store;
    let alert_windows = [
        FAST_BURN.short_ms,
        FAST_BURN.long_ms,
        SLOW_BURN.short_ms,
        SLOW_BURN.long_ms,
    ];
    let others = alert_windows.into_iter().filter(|ms| *ms != window_ms);
    let windows = [window_ms].into_iter().chain(others).map(|window_ms| {
        let tally = objective.tally(&store.service_sum(now, window_ms, service));
        Window {
            window_ms,
            total: tally.total,
            bad: tally.bad,
            burn: objective.burn(tally),
        }
    });
    let windows: Vec<Window> = windows.collect();
    if windows.iter().all(|w| w.total == 0) {
        return None;
    }
    let raised = input.alerts.raised(service, kind);
    Some(ReportLine {
        service: service.clone(),
        objective: kind,
        budget: objective.budget,
        limit_ms: objective.limit_ms,
        percentile_ms: objective.percentile_ms(&store.service_sum(now, window_ms, service)),
        budget_left: 1.0 - windows[0].burn,
        alerts: raised.into_iter().map(Name::from).collect(),
        burners: BurnSource::top(now, window_ms, store, service, &objective),
        points: points(now, window_ms, store, service, &objective),
        windows,
    })
}

impl BurnSource {
    /// What burned an objective's budget in the last `window_ms`, most first.
    pub fn top(
        now: Millis,
        window_ms: u64,
        store: &Store,
        service: &Name,
        objective: &Objective,
    ) -> Vec<BurnSource> {
        let mut burners = Vec::new();
        for (key, cell) in store.sums(now, window_ms) {
            if key.service != *service {
                continue;
            }
            let causes = objective.causes(&cell).into_iter();
            burners.extend(
                causes
                    .filter(|(_, bad)| *bad > 0)
                    .map(|(cause, bad)| BurnSource {
                        model: key.model.clone(),
                        cause: cause.into(),
                        bad,
                        share: 0.0,
                    }),
            );
        }
        burners.sort_by_key(|b| std::cmp::Reverse(b.bad));
        let all: u64 = burners.iter().map(|b| b.bad).sum();
        burners.truncate(MAX_BURN_SOURCES);
        for burner in &mut burners {
            burner.share = share(burner.bad, all);
        }
        burners
    }
}

/// `all` is above 0 wherever there is a part.
#[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
fn share(part: u64, all: u64) -> f64 {
    part as f64 / all as f64
}

fn points(
    now: Millis,
    window_ms: u64,
    store: &Store,
    service: &Name,
    objective: &Objective,
) -> Vec<Point> {
    let step_ms = (window_ms / MAX_POINTS).max(super::COARSE_SLOT_MS);
    let steps = (0..window_ms / step_ms).rev();
    let point = |step: u64| {
        let age_ms = step * step_ms;
        let cell = store.service_sum_between(now, age_ms + step_ms, age_ms, service);
        let tally = objective.tally(&cell);
        (tally.total > 0).then(|| Point {
            age_ms,
            burn: objective.burn(tally),
        })
    };
    steps.filter_map(point).collect()
}
