//! Requests that run or wait at an entry instance, and what the others have at each server.

use super::{Ask, Wanted};
use crate::fleet::message::{Demand, Running};
use crate::prelude::*;

type Key = (Name, Option<Name>, Option<Name>);

/// Counts of one entry instance.
#[derive(Clone, Debug, Default)]
pub struct Load {
    running: BTreeMap<Key, u32>,
    /// Arrivals since the last snapshot, and requests that wait now.
    demand: BTreeMap<Wanted, (u32, u32)>,
    /// Own requests at each server when the last snapshot was taken.
    told: BTreeMap<Name, u32>,
    /// Requests of the other instances at each server.
    others: BTreeMap<Name, u32>,
}

impl Load {
    /// A request arrived.
    pub fn arrived(&mut self, ask: &Ask) {
        if let Some(wanted) = Option::<Wanted>::from(ask) {
            self.demand.entry(wanted).or_default().0 += 1;
        }
    }

    /// A request begins to wait. Returns whether it is the first one for that model or adapter.
    pub fn waits(&mut self, ask: &Ask) -> bool {
        let Some(wanted) = Option::<Wanted>::from(ask) else {
            return false;
        };
        let waiting = &mut self.demand.entry(wanted).or_default().1;
        *waiting += 1;
        *waiting == 1
    }

    /// A request no longer waits.
    pub fn waits_no_more(&mut self, ask: &Ask) {
        let wanted = Option::<Wanted>::from(ask);
        if let Some((_, waiting)) = wanted.and_then(|w| self.demand.get_mut(&w)) {
            *waiting = waiting.saturating_sub(1);
        }
    }

    /// A request was sent to a server.
    pub fn began(&mut self, server: &Name, ask: &Ask) {
        let key = (server.clone(), ask.model.clone(), ask.adapter.clone());
        *self.running.entry(key).or_default() += 1;
    }

    /// A request at a server is over.
    pub fn ended(&mut self, server: &Name, ask: &Ask) {
        let key = (server.clone(), ask.model.clone(), ask.adapter.clone());
        if let Some(count) = self.running.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Requests of all instances at a server, as far as known.
    pub fn at(&self, server: &Name) -> u32 {
        let others = self.others.get(server).copied().unwrap_or_default();
        others + self.own(server)
    }

    /// What the leader says of all instances, this one included.
    pub(super) fn totals(&mut self, totals: Vec<(Name, u32)>) {
        let told = &self.told;
        let others = totals.into_iter().map(|(server, total)| {
            let own = told.get(&server).copied().unwrap_or_default();
            (server, total.saturating_sub(own))
        });
        self.others = others.collect();
    }

    /// What the leader is told; arrivals count from here on anew.
    pub fn snapshot(&mut self) -> (Vec<Running>, Vec<Demand>) {
        self.running.retain(|_, count| *count > 0);
        self.told.clear();
        let mut running = Vec::new();
        for ((server, model, adapter), count) in &self.running {
            *self.told.entry(server.clone()).or_default() += count;
            running.push(Running {
                server: server.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                requests: *count,
            });
        }
        let demand = self.demand.iter();
        let demand = demand.map(|(wanted, (arrived, waiting))| Demand {
            wanted: wanted.clone(),
            arrived: *arrived,
            waiting: *waiting,
        });
        let demand = demand.collect();
        self.demand.retain(|_, (arrived, waiting)| {
            *arrived = 0;
            *waiting > 0
        });
        (running, demand)
    }

    fn own(&self, server: &Name) -> u32 {
        let from = (server.clone(), None, None);
        let own = self.running.range(from..);
        own.take_while(|((id, _, _), _)| id == server)
            .map(|(_, count)| count)
            .sum()
    }
}
