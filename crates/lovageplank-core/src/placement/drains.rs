//! Drains replicas that are surplus or no longer worth their idle time.

use super::fleet::{Fleet, Place};
use super::planner::Context;
use super::want::Want;
use super::{Action, Resident};
use crate::prelude::*;
use crate::view::ReplicaId;

/// Shortest idle time of a replica that demand no longer needs while others serve the model.
const SURPLUS_IDLE_MS: u64 = 10_000;
/// Cost share of a replica's idle second while its accelerator runs something else.
const SHARED_IDLE: f64 = 0.05;

/// Replicas to drain regardless of any load.
pub(super) fn drains(
    context: &Context,
    fleet: &Fleet,
    wants: &BTreeMap<Name, Want>,
) -> Vec<Action> {
    let mut serving = BTreeMap::<Name, u32>::new();
    for resident in fleet.places.iter().flat_map(|p| &p.ready) {
        *serving.entry(resident.model.clone()).or_default() += 1;
    }
    let mut actions = Vec::new();
    for place in &fleet.places {
        for resident in &place.ready {
            let left = serving.entry(resident.model.clone()).or_default();
            if leaves(context, wants, place, resident, *left) {
                *left -= 1;
                let replica = place.engine.replica_id(resident);
                actions.push(Action::Drain { replica });
            }
        }
    }
    actions
}

/// Whether a replica should be drained while `serving` replicas of its model serve.
fn leaves(
    context: &Context,
    wants: &BTreeMap<Name, Want>,
    place: &Place,
    resident: &Resident,
    serving: u32,
) -> bool {
    let Some(want) = wants.get(&resident.model) else {
        return true;
    };
    if !place.engine.services.contains(&want.service) || serving > want.settings.max_replicas {
        return true;
    }
    if resident.version != want.version {
        return old_version_leaves(want);
    }
    if resident.running > 0 || serving <= want.desired {
        return false;
    }
    let id = place.engine.replica_id(resident);
    idle_leaves(context, want, place, &id, serving)
}

/// An old version goes as the new one serves, or first where both may not be loaded at once.
fn old_version_leaves(want: &Want) -> bool {
    want.ready > 0 || !want.active() || want.held >= want.settings.max_replicas
}

fn idle_leaves(
    context: &Context,
    want: &Want,
    place: &Place,
    id: &ReplicaId,
    serving: u32,
) -> bool {
    let idle_ms = context.track.idle_ms(context.now, id);
    if idle_ms < want.settings.keep_alive_min_ms {
        return false;
    }
    if idle_ms >= want.settings.keep_alive_max_ms {
        return true;
    }
    if serving > 1 {
        return idle_ms >= SURPLUS_IDLE_MS;
    }
    context.gain(want, 0, idle_share(place)) <= 0.0
}

/// The share of the accelerator's idle time that one of its replicas answers for.
pub(super) fn idle_share(place: &Place) -> f64 {
    if place.ready.iter().any(|r| r.running > 0) {
        return SHARED_IDLE;
    }
    let sharers = u32::try_from(place.ready.len().max(1)).unwrap_or(u32::MAX);
    1.0 / f64::from(sharers)
}
