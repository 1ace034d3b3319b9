//! Drains replicas that are surplus, or whose idle time costs more than a reload.

use super::fleet::{EngineView, Fleet};
use super::planner::Context;
use super::target::Target;
use super::{Action, Replica};
use crate::prelude::*;
use crate::view::ReplicaId;

/// Minimum idle time before a surplus replica is drained while others serve the model.
const SURPLUS_IDLE_MS: u64 = 10_000;
/// Fraction of an idle second's cost that is charged to an idle replica while another replica runs
/// requests on the same accelerator.
const BUSY_IDLE_SHARE: f64 = 0.05;

/// Replicas to drain independently of memory that loads need.
pub(super) fn drains(
    context: &Context,
    fleet: &Fleet,
    targets: &BTreeMap<Name, Target>,
) -> Vec<Action> {
    let mut serving = BTreeMap::<Name, u32>::new();
    for replica in fleet.engines.iter().flat_map(|v| &v.ready) {
        *serving.entry(replica.model.clone()).or_default() += 1;
    }
    let mut actions = Vec::new();
    for view in &fleet.engines {
        for candidate in &view.ready {
            let remaining = serving.entry(candidate.model.clone()).or_default();
            if should_drain(context, targets, view, candidate, *remaining) {
                *remaining -= 1;
                let replica = view.engine.replica_id(candidate);
                actions.push(Action::Drain { replica });
            }
        }
    }
    actions
}

/// Whether a replica should be drained.
///
/// `serving` is the number of ready replicas of its model, including this one.
fn should_drain(
    context: &Context,
    targets: &BTreeMap<Name, Target>,
    view: &EngineView,
    replica: &Replica,
    serving: u32,
) -> bool {
    let Some(target) = targets.get(&replica.model) else {
        return true;
    };
    if !view.engine.services.contains(&target.service) || serving > target.settings.max_replicas {
        return true;
    }
    if replica.version != target.version {
        return should_drain_old_version(target);
    }
    if replica.running > 0 || serving <= target.desired {
        return false;
    }
    let id = view.engine.replica_id(replica);
    should_drain_idle(context, target, view, &id, serving)
}

/// Whether a replica of an old version should be drained: the new version serves, no request waits
/// or runs, or `max_replicas` doesn't allow both versions at once.
fn should_drain_old_version(target: &Target) -> bool {
    target.ready > 0 || !target.active() || target.placed >= target.settings.max_replicas
}

/// Whether an idle replica should be drained, by the keep-alive limits and the expected gain of
/// keeping it.
fn should_drain_idle(
    context: &Context,
    target: &Target,
    view: &EngineView,
    id: &ReplicaId,
    serving: u32,
) -> bool {
    let idle_ms = context.tracker.idle_ms(context.now, id);
    if idle_ms < target.settings.keep_alive_min_ms {
        return false;
    }
    if idle_ms >= target.settings.keep_alive_max_ms {
        return true;
    }
    if serving > 1 {
        return idle_ms >= SURPLUS_IDLE_MS;
    }
    context.gain(target, 0, idle_share(view)) <= 0.0
}

/// The fraction of the accelerator's idle time that is charged to one of its replicas.
pub(super) fn idle_share(view: &EngineView) -> f64 {
    if view.ready.iter().any(|r| r.running > 0) {
        return BUSY_IDLE_SHARE;
    }
    let idle_replicas = u32::try_from(view.ready.len().max(1)).unwrap_or(u32::MAX);
    1.0 / f64::from(idle_replicas)
}
