//! Counts the requests that are running or waiting at a router, and the other routers' requests at
//! each server.

use crate::fleet::message::{Demand, RequestedModel, RunningRequests};
use crate::fleet::request::RequestSpec;
use crate::fleet::totals;
use crate::prelude::*;

/// Server, model and adapter.
type RunningKey = (Name, Option<Name>, Option<Name>);

/// Requests for one model or adapter.
#[derive(Clone, Debug, Default)]
struct ModelDemand {
    /// Arrivals since the last load report.
    arrived: u32,
    /// Requests that are waiting now, by the time of their latency objective.
    waiting: BTreeMap<Millis, u32>,
}

impl ModelDemand {
    fn waiting(&self) -> u32 {
        self.waiting.values().sum()
    }

    fn report(&self, now: Millis, requested: &RequestedModel) -> Demand {
        let ahead = self.waiting.range(now..).next();
        let passed = self.waiting.range(..now).next();
        Demand {
            requested: requested.clone(),
            arrived: self.arrived,
            waiting: self.waiting(),
            objective_in_ms: ahead.map(|(at, _)| at - now),
            overdue_ms: passed.map(|(at, _)| now - at),
        }
    }
}

/// Request counts of one router. *Load* means requests here, not the loading of models.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    running: BTreeMap<RunningKey, u32>,
    demand: BTreeMap<RequestedModel, ModelDemand>,
    /// Own requests at each server in the last load report.
    reported: BTreeMap<Name, u32>,
    /// Requests of all routers at each server, as the leader reported them.
    totals: BTreeMap<Name, u32>,
    /// Requests of the other routers at each server.
    others: BTreeMap<Name, u32>,
}

impl LoadTracker {
    /// Records that a request arrived.
    pub fn arrived(&mut self, request: &RequestSpec) {
        if let Some(requested) = Option::<RequestedModel>::from(request) {
            self.demand.entry(requested).or_default().arrived += 1;
        }
    }

    /// Records that a request begins to wait. Returns whether no other request for its model and
    /// adapter is waiting now.
    pub fn began_waiting(&mut self, request: &RequestSpec) -> bool {
        let Some(requested) = Option::<RequestedModel>::from(request) else {
            return false;
        };
        let demand = self.demand.entry(requested).or_default();
        *demand.waiting.entry(request.objective_at).or_default() += 1;
        demand.waiting() == 1
    }

    /// Records that a request no longer waits.
    pub fn stopped_waiting(&mut self, request: &RequestSpec) {
        let requested = Option::<RequestedModel>::from(request);
        let Some(demand) = requested.and_then(|requested| self.demand.get_mut(&requested)) else {
            return;
        };
        if let Some(count) = demand.waiting.get_mut(&request.objective_at) {
            *count = count.saturating_sub(1);
        }
        demand.waiting.retain(|_, count| *count > 0);
    }

    /// Records that a request was sent to a server, where it counts as running from now on.
    pub fn began(&mut self, server: &Name, request: &RequestSpec) {
        let key = (
            server.clone(),
            request.model.clone(),
            request.adapter.clone(),
        );
        *self.running.entry(key).or_default() += 1;
    }

    /// Records that a request at a server has ended.
    pub fn ended(&mut self, server: &Name, request: &RequestSpec) {
        let key = (
            server.clone(),
            request.model.clone(),
            request.adapter.clone(),
        );
        if let Some(count) = self.running.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the requests of all routers at a server, as far as known.
    pub fn total_at(&self, server: &Name) -> u32 {
        self.others_at(server) + self.own_at(server)
    }

    /// Returns the requests of the other routers at a server, as far as known.
    pub fn others_at(&self, server: &Name) -> u32 {
        self.others.get(server).copied().unwrap_or_default()
    }

    /// Records the leader's totals of the requests of all routers at each server. The requests in
    /// the last load report of this router are subtracted, because the totals include them.
    pub(super) fn update_totals(&mut self, totals: Vec<(Name, u32)>) {
        self.totals = totals.into_iter().collect();
        self.count_others();
    }

    /// Records what has changed of the totals, as [`LoadTracker::update_totals`] records all of them.
    pub(super) fn change_totals(&mut self, changes: &[(Name, u32)]) {
        totals::apply(&mut self.totals, changes);
        self.count_others();
    }

    fn count_others(&mut self) {
        let others = self.totals.iter().map(|(server, total)| {
            let own = self.reported.get(server).copied().unwrap_or_default();
            (server.clone(), total.saturating_sub(own))
        });
        self.others = others.collect();
    }

    /// Whether a load report would say more than that there are no requests, or the last one did.
    pub fn has_report(&self) -> bool {
        let is_running = self.running.values().any(|count| *count > 0);
        is_running || !self.demand.is_empty() || !self.reported.is_empty()
    }

    /// Returns the running requests and the demand for a load report to the leader, and starts the
    /// next reporting period: arrivals are counted from 0 again.
    pub fn take_load_report(&mut self, now: Millis) -> (Vec<RunningRequests>, Vec<Demand>) {
        self.running.retain(|_, count| *count > 0);
        self.reported.clear();
        let mut running = Vec::new();
        for ((server, model, adapter), count) in &self.running {
            *self.reported.entry(server.clone()).or_default() += count;
            running.push(RunningRequests {
                server: server.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                requests: *count,
            });
        }
        let demand = self.demand.iter();
        let demand = demand.map(|(requested, demand)| demand.report(now, requested));
        let demand = demand.collect();
        self.demand.retain(|_, demand| {
            demand.arrived = 0;
            !demand.waiting.is_empty()
        });
        (running, demand)
    }

    /// This router's running requests at each server that has any.
    pub fn own(&self) -> BTreeMap<Name, u32> {
        let mut own: BTreeMap<Name, u32> = BTreeMap::new();
        for ((server, _, _), count) in self.running.iter().filter(|(_, count)| **count > 0) {
            *own.entry(server.clone()).or_default() += count;
        }
        own
    }

    /// This router's running requests at a server.
    pub fn own_at(&self, server: &Name) -> u32 {
        let from = (server.clone(), None, None);
        let own = self.running.range(from..);
        own.take_while(|((id, _, _), _)| id == server)
            .map(|(_, count)| count)
            .sum()
    }
}
