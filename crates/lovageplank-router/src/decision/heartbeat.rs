//! Heartbeats to the leader: demand and acknowledgements.

use super::request::{Request, Stage};
use super::{State, Target};
use lovageplank_core::demand::{DemandReport, ModelDemand};
use lovageplank_core::prelude::*;
use lovageplank_core::view::{Phase, ReplicaId};
use lovageplank_wire::Heartbeat;
use std::collections::HashSet;

impl State {
    /// Counts a request for the demand of the next heartbeat, whether or not it is refused later.
    pub(super) fn count_arrival(&mut self, request: &Request) {
        if matches!(request.target, Target::Model { .. }) {
            *self.arrivals.entry(request.key.clone()).or_default() += 1;
        }
    }

    /// Whether a heartbeat should be sent at once; clears the request.
    pub fn take_heartbeat_request(&mut self) -> bool {
        std::mem::take(&mut self.heartbeat_requested)
    }

    /// Creates the next heartbeat and resets the counts of arrivals.
    pub fn heartbeat(&mut self, now: Millis, sequence: u64) -> Heartbeat {
        Heartbeat {
            sequence,
            tree: self.view.tree.0,
            view: self.view.sequence,
            leaving: self.leaving,
            busy: self.busy_replicas(),
            demand: self.demand(now),
        }
    }

    fn demand(&mut self, now: Millis) -> DemandReport {
        let mut models: BTreeMap<Name, ModelDemand> = BTreeMap::new();
        for (model, arrivals) in std::mem::take(&mut self.arrivals) {
            let demand = ModelDemand {
                arrivals,
                ..ModelDemand::new(model.clone())
            };
            models.insert(model, demand);
        }
        for request in self.requests.values() {
            let Target::Model { model, adapter, .. } = &request.target else {
                continue;
            };
            let demand = models
                .entry(model.clone())
                .or_insert_with(|| ModelDemand::new(model.clone()));
            add_request(now, request, demand);
            if let Some(adapter) = adapter {
                *demand.adapters.entry(adapter.clone()).or_default() += 1;
            }
        }
        DemandReport {
            models: models.into_values().collect(),
        }
    }

    /// Replicas that drain or were removed and to which requests of this router are still
    /// dispatched.
    fn busy_replicas(&self) -> Vec<ReplicaId> {
        let replicas = self.view.replicas.values().flatten();
        let ready: HashSet<&ReplicaId> = replicas
            .filter(|r| r.phase == Phase::Ready)
            .map(|r| &r.id)
            .collect();
        let not_ready = |id: &&ReplicaId| !ready.contains(id);
        self.in_flight.keys().filter(not_ready).cloned().collect()
    }
}

fn add_request(now: Millis, request: &Request, demand: &mut ModelDemand) {
    if request.stage == Stage::Dispatched {
        demand.running += 1;
        return;
    }
    demand.waiting += 1;
    let left_ms = request.deadline.saturating_sub(now);
    let earliest = demand.deadline_in_ms.map_or(left_ms, |ms| ms.min(left_ms));
    demand.deadline_in_ms = Some(earliest);
    demand.last_deadline_in_ms = demand.last_deadline_in_ms.max(Some(left_ms));
}
