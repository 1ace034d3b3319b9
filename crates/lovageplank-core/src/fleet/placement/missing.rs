//! Models that no engine has loaded or cached, and the order in which the store loads them.
//!
//! The weight store bears few loads at a time, and one may take longer than any request waits. What it
//! loads next then decides which callers are served at all.

use super::Planner;
use super::census::Census;
use super::demand::Want;
use super::engine::Engine;
use super::queue::{EVICTION_MS, Queues, longest_store_ms};
use crate::fleet::deployment::{self, Deployment};
use crate::prelude::*;

/// Missing models of which routers are told when they are expected at most, the next ones first. A list for
/// hundreds of routers is sent several times a second.
const EXPECTED_MAX: usize = 64;

impl Planner {
    /// Tells the limiter of loads from the store what is in progress, and whether requests can wait for a load.
    pub(super) fn update_store_limiter(&mut self, now: Millis, deployment: &Deployment) {
        for load in self.engines.values().filter_map(Engine::store_load) {
            let took_ms = now.saturating_sub(load.since);
            self.store_limiter
                .load_runs(now, took_ms, load.min_ms, load.concurrent);
        }
        let mut services = deployment.services.iter();
        let outlasts_requests = services.all(|(name, service)| {
            let patience_ms = deployment.patience_ms(name);
            let models = service.engine.iter().flat_map(|spec| spec.models.values());
            models
                .into_iter()
                .all(|model| model.store_ms >= patience_ms)
        });
        self.store_limiter.set_outlasts_requests(outlasts_requests);
        let services = deployment.services.values();
        let specs = services.filter_map(|service| service.engine.as_ref());
        self.longest_store_ms = specs.map(longest_store_ms).max().unwrap_or_default();
        let pending = self.engines.values().filter_map(Engine::pending_store_load);
        let in_progress = pending.filter_map(|load| load.concurrent_store_loads);
        self.store_limiter.set_in_progress(in_progress);
    }

    /// Loads models that no engine has loaded or cached: first those that callers ask for, in the order of the requests
    /// since they were last loaded, then others ahead of requests. Later loads then use the weights that the host of the engine
    /// has cached, and not the store.
    ///
    /// If a load from the store takes longer than requests wait, no request ever waits for one: only the
    /// arrivals show that callers ask for the model.
    pub(super) fn load_missing(
        &mut self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        queues: &mut Queues,
    ) {
        if self.store_limiter.is_full(queues.census().store_loads()) {
            return;
        }
        let has_requests = self.has_requests(now, service);
        for (is_asked_for, model) in self.missing_models(now, service, spec, queues.census()) {
            if self.pace.wait_ms(now) > 0 {
                return;
            }
            let active = queues.census().store_loads();
            let may_load = if is_asked_for {
                self.store_limiter.can_load(now, active, spec.loads_per_s)
            } else {
                self.store_limiter.can_preload(active, has_requests)
            };
            if !may_load {
                return;
            }
            let want = Want::without_waiting(model, is_asked_for);
            let plan = self.best_plan(now, service, spec, &want, queues);
            if plan.as_ref().is_ok_and(|plan| plan.wait_ms == 0) {
                self.start_or_defer(now, service, want, plan, queues);
            }
        }
    }

    /// Number of models that callers ask for and no engine has loaded or cached, or will load.
    pub(super) fn missing_demand(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        census: &Census,
    ) -> usize {
        let rates = self.arrival_rates.iter();
        let missing = rates.filter(|((of, model), rate)| {
            of == service
                && rate.has_recent_arrival(now)
                && spec.models.contains_key(model)
                && !census.is_held(model)
        });
        missing.count()
    }

    /// Models that no engine has loaded or cached, in the order in which they are to be loaded, each with
    /// whether callers have asked for it lately.
    fn missing_models(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        census: &Census,
    ) -> Vec<(bool, Name)> {
        let missing = spec.models.keys().filter(|model| !census.is_held(model));
        let mut missing: Vec<(bool, u32, &Name)> = missing
            .map(|model| {
                let is_asked_for = self.is_asked_for(now, service, model);
                (is_asked_for, self.unserved.requests(service, model), model)
            })
            .collect();
        missing.sort_by(|a, b| {
            let by_requests = || b.1.cmp(&a.1);
            let by_name = || a.2.cmp(b.2);
            b.0.cmp(&a.0).then_with(by_requests).then_with(by_name)
        });
        let missing = missing.into_iter();
        missing
            .map(|(is_asked_for, _, model)| (is_asked_for, model.clone()))
            .collect()
    }

    /// Records when the store will have loaded the missing models that callers ask for, so that routers can
    /// say when to come back. A model behind others in this order comes later than the next load that
    /// may begin.
    ///
    /// Where a request can wait for a load from the store, nothing is recorded: requests that wait go before
    /// this order, and must not be refused for it.
    pub(super) fn expect_missing(
        &mut self,
        now: Millis,
        deployment: &Deployment,
        service: &Name,
        spec: &deployment::EngineSpec,
        queues: &Queues,
    ) {
        let census = queues.census();
        if queues.missing_demand() == 0 || !self.store_limiter.is_full(census.store_loads()) {
            return;
        }
        let patience_ms = deployment.patience_ms(service);
        let free_ms = self.store_wait_ms(now);
        // Loads beyond those that have been on time together run behind them.
        let concurrent = self.store_limiter.shown_loads().max(1);
        let before = queues.store_waits() + census.store_loads().saturating_sub(concurrent);
        let missing = self.missing_models(now, service, spec, census).into_iter();
        let missing = missing
            .take_while(|(is_asked_for, _)| *is_asked_for)
            .filter(|(_, model)| !self.deferrals.contains_key(model));
        let expected = missing.take(EXPECTED_MAX).enumerate();
        let expected = expected.filter_map(|(index, (_, model))| {
            let store_ms = spec.models.get(&model)?.store_ms;
            let rounds = (before + index) / concurrent + 1;
            let rounds = u64::try_from(rounds).unwrap_or(u64::MAX);
            let ready_ms = free_ms + EVICTION_MS + rounds.saturating_mul(store_ms);
            (store_ms >= patience_ms).then_some((model, ready_ms))
        });
        let expected: Vec<(Name, u64)> = expected.collect();
        self.expected_missing.extend(expected);
    }
}
