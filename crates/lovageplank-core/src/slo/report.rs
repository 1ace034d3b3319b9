//! The burn-rate report for operators.

use super::{AlertTracker, FAST_BURN, HISTORY_MS, Kind, Objective, SLOW_BURN, Store};
use crate::prelude::*;
use crate::settings::Tree;

/// Maximum points of burn rate over time in a report line.
const MAX_POINTS: u64 = 60;

/// Maximum burn sources in a report line; smaller ones are left out.
const MAX_BURN_SOURCES: usize = 10;

record! { data =>
    /// Burn rates of all services.
    pub struct Report {
        /// Length of the report's window in milliseconds.
        pub window_ms: u64,
        /// Age in milliseconds of the leader's oldest counts.
        pub known_ms: u64,
        /// Requests whose counts were dropped; no figure of the report includes them.
        pub dropped: u64,
        /// Accelerator hours since this leader took over in which weights were loaded and nothing
        /// ran.
        pub idle_accelerator_hours: f64,
        /// One line for each service and objective with events.
        pub lines: Vec<ReportLine>,
    }
}

record! { data =>
    /// Burn rates of one objective of one service.
    pub struct ReportLine {
        /// The service.
        pub service: Name,
        /// The objective.
        pub objective: Kind,
        /// Share of events that may be bad.
        pub budget: f64,
        /// Milliseconds beyond which an event is bad; `None` for objectives that limit no duration.
        pub limit_ms: Option<u64>,
        /// Upper bound in milliseconds of the percentile that the objective limits.
        pub percentile_ms: Option<u64>,
        /// Remaining share of the budget of the report's window; negative if it is overspent.
        pub budget_left: f64,
        /// The report's window, followed by the windows of the alerts.
        pub windows: Vec<Window>,
        /// Names of the window pairs whose alert is raised.
        pub alerts: Vec<Name>,
        /// Sources of bad events in the report's window, largest first.
        pub burners: Vec<BurnSource>,
        /// Burn rate over time, oldest first; intervals without events are left out.
        pub points: Vec<Point>,
    }
}

record! { data =>
    /// Events and burn rate of one window.
    pub struct Window {
        /// Its length in milliseconds.
        pub window_ms: u64,
        /// Events that the objective counts.
        pub total: u64,
        /// Events that miss the objective.
        pub bad: u64,
        /// Burn rate.
        pub burn: f64,
    }
}

record! { data =>
    /// Bad events of one model with one cause.
    pub struct BurnSource {
        /// The model; empty for a plain service.
        pub model: Name,
        /// The cause, such as `no_capacity`.
        pub cause: Name,
        /// Number of bad events.
        pub bad: u64,
        /// `bad` as a share of all bad events of the objective.
        pub share: f64,
    }
}

record! { data =>
    /// Burn rate of one interval of the report's window.
    pub struct Point {
        /// Milliseconds from the end of the interval to the report.
        pub age_ms: u64,
        /// Burn rate.
        pub burn: f64,
    }
}

/// Data from which a report is made.
#[derive(Clone, Copy)]
pub struct ReportInput<'a> {
    /// The merged counts.
    pub store: &'a Store,
    /// The raised alerts.
    pub alerts: &'a AlertTracker,
    /// The current settings.
    pub tree: &'a Tree,
    /// Value of [`Report::idle_accelerator_hours`].
    pub idle_accelerator_hours: f64,
}

impl Report {
    /// The report on the last `window_ms`, at most [`HISTORY_MS`]; 0 stands for [`HISTORY_MS`].
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
    /// The largest sources of an objective's bad events in the last `window_ms`, largest first.
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

/// `part` divided by `all`, which must be above 0.
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
