//! What the leader is told: demand and acknowledgements.

use super::request::{Place, Request};
use super::{State, Target};
use lovageplank_core::prelude::*;
use lovageplank_wire::{Demand, Heartbeat};

/// Demand for one model since the heartbeat before.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    arrivals: u32,
    /// What the last heartbeat told, so that a change shows.
    told: Option<(u32, u32)>,
}

/// Demand as it stands now.
#[derive(Default)]
struct Now {
    waiting: u32,
    running: u32,
    deadline: Option<Millis>,
    adapters: BTreeSet<Name>,
}

impl State {
    pub(super) fn count_arrival(&mut self, request: &Request) {
        if matches!(request.target, Target::Model { .. }) {
            self.meters.entry(request.key.clone()).or_default().arrivals += 1;
        }
    }

    /// Whether the leader should hear at once; asking clears it.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// The next heartbeat; `all` also tells demand that hasn't changed, for a leader that is new.
    pub fn heartbeat(&mut self, now: Millis, sequence: u64, all: bool) -> Heartbeat {
        let mut demand = self.demand();
        for model in self.meters.keys() {
            demand.entry(model.clone()).or_default();
        }
        let mut changed = Vec::new();
        for (model, state) in demand {
            let meter = self.meters.entry(model.clone()).or_default();
            let told = (state.waiting, state.running);
            if !all && meter.arrivals == 0 && meter.told == Some(told) && state.waiting == 0 {
                continue;
            }
            changed.push(Demand {
                model,
                waiting: state.waiting,
                running: state.running,
                arrivals: meter.arrivals,
                deadline_in_ms: state.deadline.map_or(0, |at| at.saturating_sub(now)),
                adapters: state.adapters,
            });
            meter.arrivals = 0;
            meter.told = Some(told);
        }
        self.meters.retain(|_, meter| meter.told != Some((0, 0)));
        Heartbeat {
            sequence,
            tree: self.view.tree.0,
            view: self.view.sequence,
            leaving: self.leaving,
            demand: changed,
        }
    }

    fn demand(&self) -> BTreeMap<Name, Now> {
        let mut demand: BTreeMap<Name, Now> = BTreeMap::new();
        for request in self.requests.values() {
            let Target::Model { adapter, .. } = &request.target else {
                continue;
            };
            let now = demand.entry(request.key.clone()).or_default();
            if request.place == Place::Server {
                now.running += 1;
            } else {
                now.waiting += 1;
                let first = now
                    .deadline
                    .map_or(request.deadline, |d| d.min(request.deadline));
                now.deadline = Some(first);
            }
            now.adapters.extend(adapter.clone());
        }
        demand
    }
}
