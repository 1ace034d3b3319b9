//! Decides about requests that no server can run now, by when their model or adapter is loaded.

use super::{
    DEADLINE_RESERVE_MS, Decision, Dispatcher, RETRY_AFTER_MS, RefusalReason, RequestSpec, Software,
};
use crate::fleet::deployment::{EngineSpec, Service};
use crate::fleet::registry::Server;
use crate::fleet::selection;
use crate::prelude::*;

/// Milliseconds between the end of a load and the first token of a waiting request.
const FIRST_TOKEN_MS: u64 = 150;
/// Milliseconds for commanding a load and freeing memory for it.
const LOAD_SETUP_MS: u64 = 300;
/// Milliseconds that loading an adapter of a loaded model is assumed to take.
const ADAPTER_LOAD_ESTIMATE_MS: u64 = 60;

impl Dispatcher {
    /// Decides about a request that no server can run now: it waits if the model or adapter can be
    /// loaded before its deadline.
    pub(super) fn decide_without_server(
        &self,
        now: Millis,
        service: &Service,
        request: &RequestSpec,
        tried: &[Name],
    ) -> Decision {
        let ready: Vec<&Server> = self.registry.ready(&request.service).collect();
        let (of_version, others): (Vec<&Server>, Vec<&Server>) = ready
            .into_iter()
            .partition(|s| self.runs_version_for(request, s));
        match request.software {
            // The versions of the others will be admitted in a moment.
            Software::Admitted if of_version.is_empty() && !others.is_empty() => {
                return Decision::Wait;
            }
            Software::Only(_) if of_version.is_empty() => {
                return Decision::Refuse {
                    reason: RefusalReason::VersionGone,
                    retry_after_ms: RETRY_AFTER_MS,
                };
            }
            _ => {}
        }
        let untried: Vec<&Server> = of_version
            .into_iter()
            .filter(|s| !tried.contains(&s.announcement.id))
            .collect();
        let remaining_ms = request.start_by.saturating_sub(now + DEADLINE_RESERVE_MS);
        let (Some(model), Some(engine)) = (&request.model, &service.engine) else {
            return Decision::Refuse {
                reason: RefusalReason::NoServer,
                retry_after_ms: RETRY_AFTER_MS,
            };
        };
        if !engine.models.contains_key(model) || untried.is_empty() {
            return Decision::Refuse {
                reason: RefusalReason::NoServer,
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        let mut ms_until_loaded = self.ms_until_loaded(engine, model, &untried);
        // Where it is loaded, the leader's expectation is about a further replica.
        let is_loaded =
            |server: &&Server| selection::is_loaded(self.loaded_at(server), model, None);
        if !untried.iter().any(is_loaded) {
            ms_until_loaded = ms_until_loaded.max(self.ms_until_expected(now, model));
        }
        if ms_until_loaded < remaining_ms {
            return Decision::Wait;
        }
        Decision::Refuse {
            reason: RefusalReason::LoadTooSlow,
            retry_after_ms: ms_until_loaded,
        }
    }

    /// Milliseconds until a request for the model can run, as the leader expects; 0 if the leader
    /// reported nothing of the model lately.
    fn ms_until_expected(&self, now: Millis, model: &Name) -> u64 {
        let expected_at = self.expected_loads.get(model);
        let current = expected_at.filter(|_| now < self.expected_loads_until);
        current.map_or(0, |at| at.saturating_sub(now) + FIRST_TOKEN_MS)
    }

    /// Estimates the milliseconds until a request for the model can run, at the engine where it can
    /// run soonest. If the engine has loaded the model, the time includes the load of an adapter.
    /// If not, it includes the load of the model and the time to the first token.
    fn ms_until_loaded(&self, engine: &EngineSpec, model: &Name, servers: &[&Server]) -> u64 {
        let model_spec = &engine.models[model];
        // The estimate for each server.
        let options = servers.iter().map(|server| {
            let cached_weights = &server.announcement.cached_weights;
            let loaded_models = self.models_from_leader(server);
            let loaded = self.loaded_at(server);
            let loading = loaded_models
                .and_then(|models| models.loading.iter().find(|(name, _)| name == model));
            if selection::is_loaded(loaded, model, None) {
                // The adapter is loaded only when the engine has finished its current command: an
                // engine accepts no other command while it loads a model.
                // `loading` gives the remaining milliseconds of that command.
                let current_load = loaded_models.and_then(|models| models.loading.first());
                ADAPTER_LOAD_ESTIMATE_MS + current_load.map_or(0, |(_, remaining_ms)| *remaining_ms)
            } else if let Some((_, remaining_ms)) = loading {
                remaining_ms + FIRST_TOKEN_MS
            } else if cached_weights.memory.contains(model) {
                LOAD_SETUP_MS + model_spec.memory_ms + FIRST_TOKEN_MS
            } else if cached_weights.disk.contains(model) {
                LOAD_SETUP_MS + model_spec.disk_ms + FIRST_TOKEN_MS
            } else {
                self.store_wait_ms + LOAD_SETUP_MS + model_spec.store_ms + FIRST_TOKEN_MS
            }
        });
        options.min().unwrap_or(u64::MAX)
    }
}
