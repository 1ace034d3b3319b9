//! Models and adapters that callers ask for again and again while no engine has them loaded.
//!
//! The planner hears of every request, also of one that a router refuses at once. What is asked for
//! and never loaded is counted here, with the reason, so that operators see it before callers do.

use super::Planner;
use crate::fleet::deployment::Deployment;
use crate::fleet::message::Demand;
use crate::prelude::*;

/// Requests for a model or adapter since it was last loaded, from which it counts as starved.
const STARVED_REQUESTS: u32 = 4;
/// Milliseconds since the first of these requests, from which it counts as starved.
const STARVED_MS: Millis = 8_000;
/// Milliseconds without a request after which a model or adapter is forgotten.
const FORGOTTEN_MS: Millis = 60_000;

/// A model or adapter that is asked for and loaded nowhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Starved {
    /// Name of the service.
    pub service: Name,
    /// Name of the model.
    pub model: Name,
    /// Name of the adapter, if requests need one.
    pub adapter: Option<Name>,
    /// Requests since it was last loaded, or since they were counted first.
    pub requests: u32,
    /// Milliseconds since the first of these requests.
    pub asked_ms: u64,
    /// What it lacks.
    pub lack: Lack,
}

record! { copy =>
    /// What a model or adapter lacks that callers ask for.
    pub enum Lack {
        /// No engine that accepts requests has the model loaded or its weights cached: it has to be
        /// loaded from the weight store.
        Copy,
        /// Engines have the weights of the model cached, and none has it loaded.
        Replica,
        /// Engines have the model loaded, and none the adapter.
        Adapter,
    }
}

impl Lack {
    /// All values.
    pub const ALL: [Lack; 3] = [Lack::Copy, Lack::Replica, Lack::Adapter];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Lack::Copy => "no_copy",
            Lack::Replica => "no_replica",
            Lack::Adapter => "no_adapter",
        }
    }
}

/// Service, model and adapter of a request.
type Key = (Name, Name, Option<Name>);

/// Requests for a model or adapter since it was last loaded.
#[derive(Clone, Copy, Debug)]
struct Requests {
    count: u32,
    first_at: Millis,
    last_at: Millis,
}

/// Requests for models and adapters that may be loaded nowhere.
#[derive(Clone, Debug, Default)]
pub(super) struct Unserved(BTreeMap<Key, Requests>);

impl Unserved {
    /// Counts the requests that a router reports, refused ones included.
    pub(super) fn add(&mut self, now: Millis, demand: &Demand) {
        if demand.arrived == 0 {
            return;
        }
        let requested = &demand.requested;
        let key = (
            requested.service.clone(),
            requested.model.clone(),
            requested.adapter.clone(),
        );
        let requests = self.0.entry(key).or_insert(Requests {
            count: 0,
            first_at: now,
            last_at: now,
        });
        requests.count = requests.count.saturating_add(demand.arrived);
        requests.last_at = now;
    }

    /// Requests for a model, with and without adapters, since it was last loaded.
    pub(super) fn requests(&self, service: &Name, model: &Name) -> u32 {
        let from = (service.clone(), model.clone(), None);
        let of_model = self.0.range(from..);
        let of_model = of_model.take_while(|((s, m, _), _)| s == service && m == model);
        of_model.map(|(_, requests)| requests.count).sum()
    }
}

impl Planner {
    /// Returns the models of the deployment, and their adapters, that callers have asked for again and again
    /// since an engine last had them loaded, and what each lacks. To be called each second or so: what is loaded between two
    /// calls and unloaded again before the second isn't seen.
    pub fn starved(&mut self, now: Millis, deployment: &Deployment) -> Vec<Starved> {
        let mut loaded = BTreeSet::new();
        let mut cached = BTreeSet::new();
        for engine in self.engines.values().filter(|e| e.is_alive(now)) {
            let service = &engine.service;
            for (model, state) in &engine.loaded {
                let adapters = state.adapters.keys().map(Some).chain([None]);
                loaded.extend(adapters.map(|adapter| (service, model, adapter)));
            }
            let copies = &engine.cached_weights;
            let copies = copies.memory.iter().chain(&copies.disk);
            cached.extend(copies.map(|model| (service, model)));
        }
        self.unserved
            .0
            .retain(|(service, model, adapter), requests| {
                let service_spec = deployment.services.get(service);
                let engine = service_spec.and_then(|service| service.engine.as_ref());
                let is_known = engine.is_some_and(|engine| engine.models.contains_key(model));
                let is_loaded = loaded.contains(&(service, model, adapter.as_ref()));
                is_known && !is_loaded && now < requests.last_at + FORGOTTEN_MS
            });
        let is_starved = |requests: &Requests| {
            requests.count >= STARVED_REQUESTS && now >= requests.first_at + STARVED_MS
        };
        let starved = self.unserved.0.iter().filter(|(_, r)| is_starved(r));
        let starved = starved.map(|((service, model, adapter), requests)| Starved {
            service: service.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
            requests: requests.count,
            asked_ms: now.saturating_sub(requests.first_at),
            lack: if loaded.contains(&(service, model, None)) {
                Lack::Adapter
            } else if cached.contains(&(service, model)) {
                Lack::Replica
            } else {
                Lack::Copy
            },
        });
        starved.collect()
    }
}
