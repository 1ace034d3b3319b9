//! Orders the missing loads and starts those that memory and the weight store's limits allow.

use super::Action;
use super::choice::{Choice, choose};
use super::fleet::Fleet;
use super::planner::Context;
use super::target::{Reason, Target};
use crate::load::{Job, Planned, Queue, RateLimiter, Source};
use crate::prelude::*;
use crate::settings::Effective;

/// Milliseconds that running requests are assumed to keep memory occupied, for the expected ready
/// time of a model while no engine has or can free the memory.
const BUSY_ENGINES_WAIT_MS: u64 = 2_000;

/// Planned order of the loads that wait for the weight store.
pub(super) struct Schedule {
    queue: Queue,
    in_flight: Vec<Millis>,
    earliest: Millis,
    plan: Vec<Planned>,
}

impl Schedule {
    /// Schedules the missing loads whose weights have to come from the weight store.
    pub(super) fn new(
        context: &Context,
        fleet: &Fleet,
        targets: &BTreeMap<Name, Target>,
        rate_limiter: &RateLimiter,
    ) -> Schedule {
        let settings = store_settings(context);
        let mut queue = Queue::new(settings.store_loads_per_second, settings.store_concurrency);
        for target in targets.values().filter(|t| t.missing() > 0) {
            let chosen = choose(context, fleet, targets, target, 0);
            if chosen.is_none_or(|c| c.source == Source::Store) {
                queue.push(job(context, target));
            }
        }
        let in_flight = store_ends(context, fleet, targets);
        let plan = queue.plan_after(context.now, rate_limiter.next_start(), &in_flight);
        Schedule {
            queue,
            in_flight,
            earliest: rate_limiter.next_start(),
            plan,
        }
    }

    /// Milliseconds until a load of `target` from the weight store could start.
    pub(super) fn wait_ms(&self, context: &Context, target: &Target) -> u64 {
        let planned = self.plan.iter().find(|p| p.job.model == target.model);
        let start = match planned {
            Some(planned) => planned.start,
            None => self.start_if_requested(context, target),
        };
        start.saturating_sub(context.now)
    }

    /// When a store load would start if one request for its model arrived now.
    fn start_if_requested(&self, context: &Context, target: &Target) -> Millis {
        let mut queue = self.queue.clone();
        let deadline = context.now + target.settings.deadline_ms;
        queue.push(Job {
            deadline: Some(deadline),
            last_deadline: Some(deadline),
            waiting: 1,
            ..job(context, target)
        });
        let plan = queue.plan_after(context.now, self.earliest, &self.in_flight);
        let planned = plan.iter().find(|p| p.job.model == target.model);
        planned.map_or(context.now, |p| p.start)
    }
}

/// Loads to start now, and drains that free memory for the loads that start next.
pub(super) fn loads(
    context: &Context,
    fleet: &mut Fleet,
    targets: &BTreeMap<Name, Target>,
    rate_limiter: &mut RateLimiter,
) -> Vec<Action> {
    let schedule = Schedule::new(context, fleet, targets, rate_limiter);
    let mut missing: Vec<&Target> = targets.values().filter(|t| t.missing() > 0).collect();
    missing.sort_by_key(|t| {
        (
            priority_class(t),
            t.total.deadline,
            schedule.wait_ms(context, t),
        )
    });
    let mut actions = Vec::new();
    let mut slots = free_slots(context, &schedule);
    for target in sort_by_schedule(missing, &schedule) {
        for _ in 0..target.missing() {
            let wait_ms = schedule.wait_ms(context, target);
            let Some(choice) = choose(context, fleet, targets, target, wait_ms) else {
                break;
            };
            let may_start = match choice.source {
                Source::Store => {
                    slots > reserved_slots(context, target)
                        && rate_limiter.next_start() <= context.now
                }
                Source::Disk | Source::Memory => true,
            };
            if choice.fits && may_start {
                if choice.source == Source::Store {
                    slots -= 1;
                    rate_limiter.record_start(context.now, store_rate(context));
                }
                actions.push(start(fleet, target, &choice));
            } else {
                let drain_now = may_start || wait_ms <= context.config.drain_ms;
                actions.extend(reserve_later(fleet, target, &choice, drain_now));
            }
        }
    }
    actions
}

/// Orders loads by reason (demand, then `min_replicas`, then ahead of demand) and, for the same
/// reason, by position in the schedule.
fn sort_by_schedule<'a>(missing: Vec<&'a Target>, schedule: &Schedule) -> Vec<&'a Target> {
    let position = |target: &Target| {
        let position = schedule
            .plan
            .iter()
            .position(|p| p.job.model == target.model);
        // Loads outside the schedule don't use the weight store, so they delay none of its loads.
        position.map_or(0, |p| p + 1)
    };
    let mut missing = missing;
    missing.sort_by_key(|t| (priority_class(t), position(t)));
    missing
}

fn priority_class(target: &Target) -> u8 {
    match target.reason {
        Some(Reason::Demand) => 0,
        Some(Reason::MinReplicas) => 1,
        Some(Reason::Prewarm) | None => 2,
    }
}

/// Reserves the memory and returns the load command.
fn start(fleet: &mut Fleet, target: &Target, choice: &Choice) -> Action {
    let engine = fleet.engines[choice.index].engine.id.clone();
    fleet.reserve(choice.index, &target.model, target.memory_mb);
    Action::Load {
        model: target.model.clone(),
        version: target.version.clone(),
        engine,
        memory_mb: target.memory_mb,
        limit: target.settings.max_replicas,
    }
}

/// Drains replicas and reserves memory for a load that can't start yet, if `drain_now`; otherwise
/// does nothing.
fn reserve_later(
    fleet: &mut Fleet,
    target: &Target,
    choice: &Choice,
    drain_now: bool,
) -> Vec<Action> {
    if !drain_now {
        return Vec::new();
    }
    let mut actions = Vec::new();
    for replica in &choice.victims {
        fleet.drain(replica);
        actions.push(Action::Drain {
            replica: replica.clone(),
        });
    }
    fleet.reserve_draining(choice.index, target.memory_mb);
    actions
}

/// Expected milliseconds until a model without a ready replica can serve; `None` if no live engine
/// can host it or its `max_replicas` is 0.
pub(super) fn ready_in_ms(
    context: &Context,
    fleet: &Fleet,
    targets: &BTreeMap<Name, Target>,
    schedule: &Schedule,
    target: &Target,
) -> Option<u64> {
    let loading = context
        .tracker
        .loads
        .iter()
        .filter(|(id, _)| id.model == target.model && id.version == target.version)
        .map(|(id, _)| context.load_left_ms(target, id))
        .min();
    if loading.is_some() {
        return loading;
    }
    let engines = fleet.engines.iter().map(|v| v.engine);
    let hosts = engines
        .filter(|e| super::choice::can_host(e, target))
        .count();
    if hosts == 0 || target.settings.max_replicas == 0 {
        return None;
    }
    let store_wait_ms = schedule.wait_ms(context, target);
    let Some(choice) = choose(context, fleet, targets, target, store_wait_ms) else {
        return Some(BUSY_ENGINES_WAIT_MS + store_wait_ms + context.fastest_load_ms(target));
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
    Some(wait_ms.max(drain_ms) + choice.load_ms)
}

fn job(context: &Context, target: &Target) -> Job {
    Job {
        model: target.model.clone(),
        deadline: target.total.deadline,
        last_deadline: target.total.last_deadline,
        waiting: target.total.waiting,
        load_ms: context.load_ms(target, Source::Store),
    }
}

/// Expected ends of the store loads in flight on live engines.
fn store_ends(context: &Context, fleet: &Fleet, targets: &BTreeMap<Name, Target>) -> Vec<Millis> {
    let live = |engine: &Name| fleet.engines.iter().any(|v| v.engine.id == *engine);
    context
        .tracker
        .loads
        .iter()
        .filter(|(id, load)| load.source == Source::Store && live(&id.engine))
        .filter_map(|(id, _)| {
            let target = targets.get(&id.model)?;
            Some(context.now + context.load_left_ms(target, id))
        })
        .collect()
}

fn free_slots(context: &Context, schedule: &Schedule) -> usize {
    let limit = store_settings(context).store_concurrency as usize;
    limit.saturating_sub(schedule.in_flight.len())
}

/// Store slots that a load must leave free: half of them for a load ahead of demand, otherwise
/// none.
fn reserved_slots(context: &Context, target: &Target) -> usize {
    match target.reason {
        Some(Reason::Prewarm) => store_settings(context).store_concurrency as usize / 2,
        Some(Reason::Demand | Reason::MinReplicas) | None => 0,
    }
}

fn store_rate(context: &Context) -> f64 {
    store_settings(context).store_loads_per_second
}

/// Settings of the weight store. All services share the store, so only the settings at the root of
/// the tree apply.
fn store_settings(context: &Context) -> Effective {
    context.tree.effective("", None, None)
}
