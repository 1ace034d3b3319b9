//! Orders the loads that are wanted and starts those whose turn it is.

use super::Action;
use super::choice::{Choice, choose};
use super::fleet::Fleet;
use super::planner::Context;
use super::want::{Reason, Want};
use crate::load::{Job, Pace, Planned, Queue, Source};
use crate::prelude::*;
use crate::settings::Effective;

/// Milliseconds that requests which hold all memory are assumed to run on.
const BUSY_MS: u64 = 2_000;

/// The loads that wait for the weight store, in their order.
pub(super) struct Schedule {
    queue: Queue,
    in_flight: Vec<Millis>,
    earliest: Millis,
    plan: Vec<Planned>,
}

impl Schedule {
    /// Orders the loads that have to come from the weight store.
    pub(super) fn new(
        context: &Context,
        fleet: &Fleet,
        wants: &BTreeMap<Name, Want>,
        pace: &Pace,
    ) -> Schedule {
        let settings = store_settings(context);
        let mut queue = Queue::new(settings.store_loads_per_second, settings.store_concurrency);
        for want in wants.values().filter(|w| w.missing() > 0) {
            let chosen = choose(context, fleet, wants, want, 0);
            if chosen.is_none_or(|c| c.source == Source::Store) {
                queue.push(job(context, want));
            }
        }
        let in_flight = store_ends(context, fleet, wants);
        let plan = queue.plan_after(context.now, pace.next(), &in_flight);
        Schedule {
            queue,
            in_flight,
            earliest: pace.next(),
            plan,
        }
    }

    /// Milliseconds until a load of `want` from the weight store could start.
    pub(super) fn wait_ms(&self, context: &Context, want: &Want) -> u64 {
        let planned = self.plan.iter().find(|p| p.job.model == want.model);
        let start = match planned {
            Some(planned) => planned.start,
            None => self.start_of(context, want),
        };
        start.saturating_sub(context.now)
    }

    /// When a load would start if its model were wanted now.
    fn start_of(&self, context: &Context, want: &Want) -> Millis {
        let mut queue = self.queue.clone();
        let deadline = context.now + want.settings.deadline_ms;
        queue.push(Job {
            deadline: Some(deadline),
            last_deadline: Some(deadline),
            waiting: 1,
            ..job(context, want)
        });
        let plan = queue.plan_after(context.now, self.earliest, &self.in_flight);
        let planned = plan.iter().find(|p| p.job.model == want.model);
        planned.map_or(context.now, |p| p.start)
    }
}

/// Loads to start now and drains that make room for those next in turn.
pub(super) fn loads(
    context: &Context,
    fleet: &mut Fleet,
    wants: &BTreeMap<Name, Want>,
    pace: &mut Pace,
) -> Vec<Action> {
    let schedule = Schedule::new(context, fleet, wants, pace);
    let mut wanted: Vec<&Want> = wants.values().filter(|w| w.missing() > 0).collect();
    wanted.sort_by_key(|w| (class(w), w.total.deadline, schedule.wait_ms(context, w)));
    let mut actions = Vec::new();
    let mut slots = free_slots(context, &schedule);
    for want in order(wanted, &schedule) {
        for _ in 0..want.missing() {
            let wait_ms = schedule.wait_ms(context, want);
            let Some(choice) = choose(context, fleet, wants, want, wait_ms) else {
                break;
            };
            let turn = match choice.source {
                Source::Store => slots > kept_slots(context, want) && pace.next() <= context.now,
                Source::Disk | Source::Memory => true,
            };
            if choice.fits && turn {
                if choice.source == Source::Store {
                    slots -= 1;
                    pace.start(context.now, store_rate(context));
                }
                actions.push(start(fleet, want, &choice));
            } else {
                let soon = turn || wait_ms <= context.config.drain_ms;
                actions.extend(claim(fleet, want, &choice, soon));
            }
        }
    }
    actions
}

/// Demand in the schedule's order, then floors, then loads ahead of demand.
fn order<'a>(wanted: Vec<&'a Want>, schedule: &Schedule) -> Vec<&'a Want> {
    let place = |want: &Want| {
        let place = schedule.plan.iter().position(|p| p.job.model == want.model);
        // A load from the engine's own instance takes nothing from those in the schedule.
        place.map_or(0, |p| p + 1)
    };
    let mut wanted = wanted;
    wanted.sort_by_key(|w| (class(w), place(w)));
    wanted
}

fn class(want: &Want) -> u8 {
    match want.reason {
        Some(Reason::Demand) => 0,
        Some(Reason::Floor) => 1,
        Some(Reason::Prewarm) | None => 2,
    }
}

fn start(fleet: &mut Fleet, want: &Want, choice: &Choice) -> Action {
    let engine = fleet.places[choice.index].engine.id.clone();
    fleet.reserve(choice.index, &want.model, want.memory_mb);
    Action::Load {
        model: want.model.clone(),
        version: want.version.clone(),
        engine,
        memory_mb: want.memory_mb,
        limit: want.settings.max_replicas,
    }
}

/// Keeps memory for a load that can't start yet; drains for it when its turn is near.
fn claim(fleet: &mut Fleet, want: &Want, choice: &Choice, soon: bool) -> Vec<Action> {
    if !soon {
        return Vec::new();
    }
    let mut actions = Vec::new();
    for replica in &choice.victims {
        fleet.drain(replica);
        actions.push(Action::Drain {
            replica: replica.clone(),
        });
    }
    fleet.promise(choice.index, want.memory_mb);
    actions
}

/// Milliseconds until a model that nobody serves could; none when no engine may ever hold it.
pub(super) fn ready_in_ms(
    context: &Context,
    fleet: &Fleet,
    wants: &BTreeMap<Name, Want>,
    schedule: &Schedule,
    want: &Want,
) -> Option<u64> {
    let loading = context
        .track
        .loads
        .iter()
        .filter(|(id, _)| id.model == want.model && id.version == want.version)
        .map(|(id, _)| context.load_left_ms(want, id))
        .min();
    if loading.is_some() {
        return loading;
    }
    let engines = fleet.places.iter().map(|p| p.engine);
    let possible = engines.filter(|e| super::choice::possible(e, want)).count();
    if possible == 0 || want.settings.max_replicas == 0 {
        return None;
    }
    let store_wait_ms = schedule.wait_ms(context, want);
    let Some(choice) = choose(context, fleet, wants, want, store_wait_ms) else {
        return Some(BUSY_MS + store_wait_ms + context.best_took_ms(want));
    };
    let wait_ms = match choice.source {
        Source::Store => store_wait_ms,
        Source::Disk | Source::Memory => 0,
    };
    let drain_ms = if choice.fits {
        0
    } else {
        context.config.drain_ms
    };
    Some(wait_ms.max(drain_ms) + choice.took_ms)
}

fn job(context: &Context, want: &Want) -> Job {
    Job {
        model: want.model.clone(),
        deadline: want.total.deadline,
        last_deadline: want.total.last_deadline,
        waiting: want.total.waiting,
        took_ms: context.took_ms(want, Source::Store),
    }
}

/// When the loads in flight from the weight store are expected to end.
fn store_ends(context: &Context, fleet: &Fleet, wants: &BTreeMap<Name, Want>) -> Vec<Millis> {
    let live = |engine: &Name| fleet.places.iter().any(|p| p.engine.id == *engine);
    context
        .track
        .loads
        .iter()
        .filter(|(id, load)| load.source == Source::Store && live(&id.engine))
        .filter_map(|(id, _)| {
            let want = wants.get(&id.model)?;
            Some(context.now + context.load_left_ms(want, id))
        })
        .collect()
}

fn free_slots(context: &Context, schedule: &Schedule) -> usize {
    let limit = store_settings(context).store_concurrency as usize;
    limit.saturating_sub(schedule.in_flight.len())
}

/// Slots of the store that a load leaves free: those ahead of demand take half of them at most.
fn kept_slots(context: &Context, want: &Want) -> usize {
    match want.reason {
        Some(Reason::Prewarm) => store_settings(context).store_concurrency as usize / 2,
        Some(Reason::Demand | Reason::Floor) | None => 0,
    }
}

fn store_rate(context: &Context) -> f64 {
    store_settings(context).store_loads_per_second
}

/// The store is the deployment's, so only the deployment's settings count.
fn store_settings(context: &Context) -> Effective {
    context.tree.effective("", None, None)
}
