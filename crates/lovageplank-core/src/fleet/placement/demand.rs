//! Demand for models: which of them need another replica, and in which order.
//!
//! Most models are requested rarely, so a request for one of them mostly waits for a load. Loads
//! follow the objectives of the waiting requests, earliest first. A request whose objective can't
//! be met any more yields to those that can still be on time.

use super::census::Census;
use super::{Planner, RequestedModel};
use crate::fleet::deployment;
use crate::fleet::message::Demand;
use crate::prelude::*;

/// Fraction of the slots of an engine that the requests of a model may take before the model gets
/// another engine. Well below 1: an engine that processes the prompts of many requests is slow long
/// before its slots are full.
const REPLICA_LOAD_RATIO: f64 = 0.2;
/// Fraction of the slots of a model's engines. Running requests of the model beyond this fraction
/// crowd the model: they fill the queues of the engines, and further requests for the model are
/// refused.
const EXCESS_LOAD_RATIO: f64 = 0.5;

/// Arrivals per second in the last seconds from which a model without a replica is loaded although
/// no request waits for it: routers refuse requests at once whose deadline is before the end of the
/// load, so that only their arrival tells of them.
const REFUSED_RATE_PER_S: f64 = 2.0;
/// Factor of the load at which a model keeps its replicas. A replica is surplus only if the others
/// could bear this much more.
const SURPLUS_MARGIN: f64 = 1.5;

/// Requests for a model, of all routers.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    /// Requests that are waiting.
    pub(super) requests: u32,
    /// The earliest objective of a waiting request that is still ahead.
    pub(super) objective_at: Option<Millis>,
    /// The earliest objective of a waiting request that has passed.
    pub(super) overdue_since: Option<Millis>,
}

/// Waiting requests, by the model and adapter that they need.
pub(super) type WaitingRequests = BTreeMap<RequestedModel, Waiting>;

/// A model that needs another replica.
#[derive(Clone, Debug)]
pub(super) struct Want {
    pub(super) model: Name,
    /// The version of the engine's software that requests which continue streams need.
    pub(super) software: Option<Name>,
    /// Requests that wait for it.
    pub(super) waiting: u32,
    /// Running requests beyond what its replicas run well.
    excess: f64,
    /// The earliest objective still ahead.
    pub(super) objective_at: Option<Millis>,
    overdue_since: Option<Millis>,
    /// Whether callers ask for it and no engine that could serve them has it.
    pub(super) is_unserved: bool,
}

/// What decides about the order of loads. Smaller ranks go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// The model's requests fill its engines.
    Crowded,
    /// Requests wait that can be on time, the earliest objective first.
    Due(Millis),
    /// All waiting requests are late, the longest wait first.
    Overdue(Millis),
    /// No request waits.
    Spare,
}

impl Waiting {
    /// The waiting requests that a router reported at `reported_at`.
    pub(super) fn reported(now: Millis, reported_at: Millis, demand: &Demand) -> Waiting {
        let objective_at = demand.objective_in_ms.map(|ms| reported_at + ms);
        let overdue_since = demand
            .overdue_ms
            .map(|ms| reported_at.saturating_sub(ms))
            .or(objective_at.filter(|at| *at < now));
        Waiting {
            requests: demand.waiting,
            objective_at: objective_at.filter(|at| *at >= now),
            overdue_since,
        }
    }

    /// The earliest objective of all waiting requests.
    pub(super) fn earliest_objective_at(&self) -> Option<Millis> {
        self.overdue_since.or(self.objective_at)
    }

    pub(super) fn add(&mut self, other: &Waiting) {
        let earliest = |a: Option<Millis>, b: Option<Millis>| a.into_iter().chain(b).min();
        self.requests += other.requests;
        self.objective_at = earliest(self.objective_at, other.objective_at);
        self.overdue_since = earliest(self.overdue_since, other.overdue_since);
    }
}

impl Want {
    /// A model that no request waits for; `is_asked_for` says whether requests for it were refused.
    pub(super) fn without_waiting(model: Name, is_asked_for: bool) -> Want {
        Want {
            model,
            software: None,
            waiting: 0,
            excess: 0.0,
            objective_at: None,
            overdue_since: None,
            is_unserved: is_asked_for,
        }
    }

    /// Whether models in use make room for it: nobody is served with it, and no request that waits for it can be on
    /// time any more.
    pub(super) fn displaces_models_in_use(&self) -> bool {
        let is_late = self.overdue_since.is_some() || self.waiting == 0;
        self.is_unserved && is_late
    }

    fn rank(&self) -> Rank {
        match (self.objective_at, self.overdue_since) {
            _ if self.excess > 0.0 => Rank::Crowded,
            (Some(at), _) => Rank::Due(at),
            (None, Some(since)) => Rank::Overdue(since),
            (None, None) => Rank::Spare,
        }
    }
}

impl Planner {
    /// The models that need another replica, the most urgent first.
    pub(super) fn wanted_models(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        waiting: &WaitingRequests,
        census: &Census,
    ) -> Vec<Want> {
        let mut requests: BTreeMap<&Name, (Waiting, u32)> = BTreeMap::new();
        let mut bound: BTreeMap<(&Name, &Name), Waiting> = BTreeMap::new();
        for (requested, waiting) in waiting {
            let entry = match &requested.software {
                Some(software) => bound.entry((&requested.model, software)).or_default(),
                None => &mut requests.entry(&requested.model).or_default().0,
            };
            entry.add(waiting);
        }
        for (model, running) in census.requested() {
            requests.entry(model).or_default().1 = running;
        }
        // Requests that were refused neither wait nor run: only their arrival tells of them.
        let requested = self.arrival_rates.keys().filter(|(s, _)| s == service);
        for (_, model) in requested {
            requests.entry(model).or_default();
        }
        let known = requests
            .into_iter()
            .filter(|(model, _)| spec.models.contains_key(*model));
        let mut wants: Vec<Want> = known
            .filter_map(|(model, (waiting, running))| {
                self.wanted_model(now, service, spec, model, (&waiting, running), census)
            })
            .collect();
        let known = bound
            .into_iter()
            .filter(|((model, _), _)| spec.models.contains_key(*model));
        wants.extend(known.filter_map(|((model, software), waiting)| {
            census.look(self.engines.len());
            self.wanted_at_version(now, service, model, software, &waiting)
        }));
        wants.sort_by(|a, b| {
            let by_rank = a.rank().cmp(&b.rank());
            let by_demand = || {
                let demand = |want: &Want| f64::from(want.waiting) + want.excess;
                demand(b).total_cmp(&demand(a))
            };
            by_rank
                .then_with(by_demand)
                .then_with(|| a.model.cmp(&b.model))
        });
        wants
    }

    /// A model that requests need which continue streams at this version, if no engine of the version has
    /// it. One replica is enough for them.
    fn wanted_at_version(
        &self,
        now: Millis,
        service: &Name,
        model: &Name,
        software: &Name,
        waiting: &Waiting,
    ) -> Option<Want> {
        let is_missing =
            waiting.requests > 0 && !self.has_replica_at(now, service, model, software);
        is_missing.then(|| Want {
            software: Some(software.clone()),
            waiting: waiting.requests,
            objective_at: waiting.objective_at,
            overdue_since: waiting.overdue_since,
            ..Want::without_waiting(model.clone(), true)
        })
    }

    fn wanted_model(
        &self,
        now: Millis,
        service: &Name,
        spec: &deployment::EngineSpec,
        model: &Name,
        (waiting, running): (&Waiting, u32),
        census: &Census,
    ) -> Option<Want> {
        let replicas = census.replicas(model);
        let refused_per_s = match replicas {
            0 => self.recent_rate(now, service, model),
            _ => 0.0,
        };
        let requested = waiting.requests > 0 || refused_per_s >= REFUSED_RATE_PER_S;
        let by_load = replicas_for_load(spec, f64::from(waiting.requests + running));
        if replicas >= by_load.max(usize::from(requested && replicas == 0)) {
            return None;
        }
        let excess = if census.is_held(model) {
            f64::from(running) - well_run(spec, replicas)
        } else {
            // What runs does so at engines that leave.
            f64::from(self.unserved.requests(service, model))
        };
        Some(Want {
            model: model.clone(),
            software: None,
            waiting: waiting.requests,
            excess: if refused_per_s >= REFUSED_RATE_PER_S {
                excess.max(refused_per_s)
            } else {
                excess.max(0.0)
            },
            objective_at: waiting.objective_at,
            overdue_since: waiting.overdue_since,
            is_unserved: replicas == 0,
        })
    }
}

/// Whether the model has more replicas than its requests need, also if they grew by some.
pub(super) fn has_surplus_replica(
    spec: &deployment::EngineSpec,
    model: &Name,
    census: &Census,
) -> bool {
    let running = census.running(model);
    let by_load = replicas_for_load(spec, SURPLUS_MARGIN * f64::from(running));
    running > 0 && census.replicas(model) > by_load.max(1)
}

/// Whether the requests of the model don't crowd its other replicas without one of them.
pub(super) fn has_spare_replica(
    spec: &deployment::EngineSpec,
    model: &Name,
    census: &Census,
) -> bool {
    let others = census.replicas(model).saturating_sub(1);
    others > 0 && f64::from(census.running(model)) <= well_run(spec, others)
}

/// Requests of a model that so many replicas run well.
fn well_run(spec: &deployment::EngineSpec, replicas: usize) -> f64 {
    let slots = f64::from(spec.slots.max(1));
    #[allow(clippy::cast_precision_loss)] // Few engines.
    let replicas = replicas as f64;
    EXCESS_LOAD_RATIO * slots * replicas
}

/// Replicas that run this many requests of a model well.
fn replicas_for_load(spec: &deployment::EngineSpec, requests: f64) -> usize {
    let load = requests / (REPLICA_LOAD_RATIO * f64::from(spec.slots.max(1)));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Few engines.
    let count = load.ceil() as usize;
    // One replica needs no other: a model that isn't loaded gets one as soon as requests wait.
    if count > 1 { count } else { 0 }
}
