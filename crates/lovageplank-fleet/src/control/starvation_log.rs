//! Logs and counts models and adapters that callers ask for again and again and that no engine loads.

use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::placement::{Lack, Planner, Starved};
use lovageplank_core::prelude::*;

/// Milliseconds between two counts.
const COUNT_INTERVAL_MS: Millis = 1_000;
/// Milliseconds between two log lines about the same model or adapter, unless what it lacks changes.
const LOG_INTERVAL_MS: Millis = 5_000;
/// Models and adapters that are logged at one count at most; the metric has all.
const LINES_MAX: usize = 32;

/// Service, model and adapter.
type Key = (Name, Name, Option<Name>);

/// What was logged last of each starved model or adapter.
#[derive(Default)]
pub(super) struct StarvationLog {
    counted_at: Millis,
    logged: BTreeMap<Key, (Millis, Lack)>,
}

impl StarvationLog {
    /// Asks the planner and records what it says, if that is due.
    pub(super) fn record(&mut self, now: Millis, planner: &mut Planner, deployment: &Deployment) {
        if now < self.counted_at + COUNT_INTERVAL_MS {
            return;
        }
        self.counted_at = now;
        let starved = planner.starved(now, deployment);
        record_gauges(&starved);
        let expired_at = now.saturating_sub(LOG_INTERVAL_MS);
        self.logged.retain(|_, (at, _)| *at > expired_at);
        let mut lines = 0;
        for starved in starved {
            let key = (
                starved.service.clone(),
                starved.model.clone(),
                starved.adapter.clone(),
            );
            let is_known = self
                .logged
                .get(&key)
                .is_some_and(|(_, l)| *l == starved.lack);
            if is_known || lines == LINES_MAX {
                continue;
            }
            lines += 1;
            tracing::info!(event = "starved", service = %starved.service, model = %starved.model, adapter = starved.adapter.as_deref(),
                requests = starved.requests, asked_ms = starved.asked_ms, lacks = starved.lack.name());
            self.logged.insert(key, (now, starved.lack));
        }
    }

    /// Forgets everything, since this process doesn't lead any more.
    pub(super) fn resign(&mut self) {
        self.logged.clear();
        record_gauges(&[]);
    }
}

fn record_gauges(starved: &[Starved]) {
    for lack in Lack::ALL {
        let count = starved.iter().filter(|s| s.lack == lack).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        metrics::gauge!("lovageplank_control_starved", "lacks" => lack.name())
            .set(f64::from(count));
    }
}
