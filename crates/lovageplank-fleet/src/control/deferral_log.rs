//! Logs why models that requests wait for aren't loaded.

use lovageplank_core::fleet::placement::{Deferral, Planner};
use lovageplank_core::prelude::*;

/// Milliseconds between two log lines about the same model, unless the reason changes.
const LOG_INTERVAL_MS: Millis = 1_000;
/// Models that are remembered at most; about further ones nothing is logged.
const MODELS_MAX: usize = 256;

/// The deferred loads that were logged last, by model.
#[derive(Default)]
pub(super) struct DeferralLog(BTreeMap<Name, (Millis, &'static str)>);

impl DeferralLog {
    /// Logs the deferrals of the planner that are new, have another reason, or last for [`LOG_INTERVAL_MS`].
    pub(super) fn record(&mut self, now: Millis, planner: &Planner) {
        let deferrals = planner.deferrals();
        self.0
            .retain(|model, (at, _)| deferrals.contains_key(model) || now < *at + LOG_INTERVAL_MS);
        for (model, deferral) in deferrals {
            let reason = reason(deferral);
            let known = self.0.get(model);
            let is_known =
                known.is_some_and(|(at, logged)| *logged == reason && now < *at + LOG_INTERVAL_MS);
            if is_known || known.is_none() && self.0.len() >= MODELS_MAX {
                continue;
            }
            self.0.insert(model.clone(), (now, reason));
            let (engine, wait_ms) = match deferral {
                Deferral::EngineBusy {
                    engine, wait_ms, ..
                } => (Some(engine), Some(wait_ms)),
                Deferral::StoreFull { .. } | Deferral::NoRoom => (None, None),
            };
            let holders = planner.holders(now, model);
            tracing::info!(event = "load_deferred", %model, reason, engine = engine.map(|engine| &**engine), wait_ms, ready_ms = deferral.ready_ms(),
                loaded_at = holders.loaded, cached_at = holders.cached);
        }
    }
}

fn reason(deferral: &Deferral) -> &'static str {
    match deferral {
        Deferral::EngineBusy { .. } => "engine_busy",
        Deferral::StoreFull { .. } => "store_full",
        Deferral::NoRoom => "no_room",
    }
}
