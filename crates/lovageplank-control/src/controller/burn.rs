//! Burn rates of objectives: merges the routers' request counts, logs alerts, and creates the
//! report for operators.

use super::Controller;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Effective;
use lovageplank_core::slo::{
    Alert, AlertChange, AlertTracker, BurnSource, BurnWindows, Delta, FAST_BURN, Kind, Objective,
    Report, ReportInput, SLOW_BURN, Store,
};
use lovageplank_wire::Frame;
use serde_json::Value;

/// Milliseconds between checks of the alerts.
const CHECK_INTERVAL_MS: u64 = 10_000;

/// Seconds of an hour.
const HOUR_S: f64 = 3_600.0;

/// Request counts and alerts of all services; soft state, which a new leader gets again from the
/// routers.
#[derive(Debug, Default)]
pub(super) struct BurnRates {
    store: Store,
    watch: AlertTracker,
    checked_at: Millis,
    /// Links on which this leader has sent its progress in merging the router's counts.
    progress_sent: BTreeSet<u64>,
}

impl Controller {
    /// Sends a router, once per link, how far its counts are merged, so that it sends the missing
    /// ones.
    pub(super) fn send_merge_progress(&mut self, link: u64) {
        let Some(router) = self.routers.router_on_link(link) else {
            return;
        };
        if !self.burn_rates.progress_sent.insert(link) {
            return;
        }
        let ack = self
            .burn_rates
            .store
            .progress(&router.instance, router.incarnation);
        if let Some(link) = &router.link {
            link.send(Frame::Merged(ack));
        }
    }

    /// Merges a router's counts and acknowledges them; ignored unless this process leads.
    pub(super) fn handle_objectives(&mut self, link: u64, delta: &Delta) {
        if self.leading_since.is_none() {
            return;
        }
        let now = self.now();
        let Some(router) = self.routers.router_on_link(link) else {
            return;
        };
        let ack = self
            .burn_rates
            .store
            .merge(now, &router.instance, router.incarnation, delta);
        if let Some(link) = &router.link {
            link.send(Frame::Merged(ack));
        }
    }

    /// Checks the alerts of all objectives and logs those that are raised or cleared.
    pub(super) fn check_burn_alerts(&mut self, now: Millis) {
        if now < self.burn_rates.checked_at + CHECK_INTERVAL_MS {
            return;
        }
        self.burn_rates.checked_at = now;
        let routers = &mut self.routers;
        self.burn_rates
            .progress_sent
            .retain(|link| routers.router_on_link(*link).is_some());
        let tree = self.machine.settings.tree().clone();
        self.burn_rates
            .watch
            .retain(|service| tree.services.contains_key(service));
        for service in tree.services.keys() {
            let settings = tree.effective(service, None, None);
            for pace in [FAST_BURN, SLOW_BURN] {
                self.burn_rates.check(now, service, &settings, &pace);
            }
        }
    }

    /// The burn report over the last `window_ms`, or over the whole history if 0, as JSON.
    pub(super) fn burn_report(&self, window_ms: u64) -> Value {
        let status = ReportInput {
            store: &self.burn_rates.store,
            alerts: &self.burn_rates.watch,
            tree: self.machine.settings.tree(),
            idle_accelerator_hours: self.planner.idle_seconds() / HOUR_S,
        };
        let report = Report::new(self.now(), window_ms, status);
        serde_json::to_value(report).unwrap_or_default()
    }
}

impl BurnRates {
    fn check(&mut self, now: Millis, service: &Name, settings: &Effective, pace: &BurnWindows) {
        let short = self.store.service_sum(now, pace.short_ms, service);
        let long = self.store.service_sum(now, pace.long_ms, service);
        for kind in Kind::ALL {
            let objective = Objective::new(kind, settings);
            let tallies = (objective.tally(&short), objective.tally(&long));
            let alert = self.watch.update(now, service, &objective, pace, tallies);
            if let Some(alert) = alert {
                let burners = BurnSource::top(now, pace.long_ms, &self.store, service, &objective);
                log(&alert, burners.first());
            }
        }
    }
}

fn log(alert: &Alert, burner: Option<&BurnSource>) {
    let model = burner.map_or("", |b| &*b.model);
    let cause = burner.map_or("", |b| &*b.cause);
    let (service, objective, pace) = (&alert.service, alert.kind.name(), alert.windows);
    let (short, long) = (alert.short, alert.long);
    match alert.change {
        AlertChange::Raised => {
            tracing::warn!(
                event = "burn_alert_raised", %service, objective, pace, short, long, model, cause
            );
        }
        AlertChange::Cleared => {
            tracing::info!(
                event = "burn_alert_cleared", %service, objective, pace, short, long, model, cause
            );
        }
    }
}
