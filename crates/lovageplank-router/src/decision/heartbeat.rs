//! What the leader is told: demand and acknowledgements.

use super::request::{Place, Request};
use super::{State, Target};
use lovageplank_core::demand::{DemandReport, ModelDemand};
use lovageplank_core::prelude::*;
use lovageplank_core::view::{Phase, ReplicaId};
use lovageplank_wire::Heartbeat;
use std::collections::HashSet;

impl State {
    /// Counts a request for the next batch of demand, whether or not it is refused later.
    pub(super) fn count_arrival(&mut self, request: &Request) {
        if matches!(request.target, Target::Model { .. }) {
            *self.arrivals.entry(request.key.clone()).or_default() += 1;
        }
    }

    /// Whether the leader should hear at once; asking clears it.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// The next heartbeat.
    pub fn heartbeat(&mut self, now: Millis, sequence: u64) -> Heartbeat {
        Heartbeat {
            sequence,
            tree: self.view.tree.0,
            view: self.view.sequence,
            leaving: self.leaving,
            busy: self.draining(),
            demand: self.demand(now),
        }
    }

    fn demand(&mut self, now: Millis) -> DemandReport {
        let mut models: BTreeMap<Name, ModelDemand> = BTreeMap::new();
        for (model, arrivals) in std::mem::take(&mut self.arrivals) {
            let entry = ModelDemand {
                arrivals,
                ..ModelDemand::new(model.clone())
            };
            models.insert(model, entry);
        }
        for request in self.requests.values() {
            let Target::Model { model, adapter, .. } = &request.target else {
                continue;
            };
            let entry = models
                .entry(model.clone())
                .or_insert_with(|| ModelDemand::new(model.clone()));
            count(now, request, entry);
            if let Some(adapter) = adapter {
                *entry.adapters.entry(adapter.clone()).or_default() += 1;
            }
        }
        DemandReport {
            models: models.into_values().collect(),
        }
    }

    /// Replicas that drain, or are gone, and on which this router still has requests.
    fn draining(&self) -> Vec<ReplicaId> {
        let replicas = self.view.replicas.values().flatten();
        let ready: HashSet<&ReplicaId> = replicas
            .filter(|r| r.phase == Phase::Ready)
            .map(|r| &r.id)
            .collect();
        let drains = |id: &&ReplicaId| !ready.contains(id);
        self.busy.keys().filter(drains).cloned().collect()
    }
}

fn count(now: Millis, request: &Request, entry: &mut ModelDemand) {
    if request.place == Place::Server {
        entry.running += 1;
        return;
    }
    entry.waiting += 1;
    let left_ms = request.deadline.saturating_sub(now);
    let first = entry.deadline_in_ms.map_or(left_ms, |ms| ms.min(left_ms));
    entry.deadline_in_ms = Some(first);
    entry.last_deadline_in_ms = entry.last_deadline_in_ms.max(Some(left_ms));
}
