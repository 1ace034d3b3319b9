//! Chooses an engine for a load, and the replicas to drain for it.

use super::fleet::{Fleet, Place};
use super::planner::{Context, tail_cost};
use super::want::{Reason, Want};
use super::{Engine, Resident};
use crate::load::{Source, seconds};
use crate::prelude::*;
use crate::view::ReplicaId;
use std::collections::BTreeMap as Map;

/// How far ahead the wake of a replica is weighed before it is evicted, in seconds.
const EVICTION_HORIZON_S: f64 = 600.0;
/// A load ahead of demand must save this many times what its evictions cost, so that two models
/// don't evict each other in turns.
const EVICTION_MARGIN: f64 = 2.0;
/// Idle seconds that weights are expected to cause on an accelerator that held none.
const FRESH_ENGINE_IDLE_S: f64 = 3.0;
/// Seconds of wait that each model in an engine's disk cache counts for when another joins them.
const CROWDED_CACHE_S: f64 = 0.2;
/// Seconds of wait that a second replica in the same failure domain counts for.
const SAME_DOMAIN_S: f64 = 3.0;

/// An engine for a load.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    /// Index of the engine's place in the fleet.
    pub(super) index: usize,
    /// Where the weights come from.
    pub(super) source: Source,
    /// Milliseconds that the load itself is expected to take.
    pub(super) took_ms: u64,
    /// Replicas to drain first.
    pub(super) victims: Vec<ReplicaId>,
    /// Whether memory is free now.
    pub(super) fits: bool,
}

/// The cheapest engine for a load; none when no engine has or can make room.
///
/// `store_wait_ms` is how long a load from the weight store would wait for its turn.
pub(super) fn choose(
    context: &Context,
    fleet: &Fleet,
    wants: &Map<Name, Want>,
    want: &Want,
    store_wait_ms: u64,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for index in 0..fleet.places.len() {
        let Some((cost, choice)) = weigh(context, fleet, wants, want, store_wait_ms, index) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Whether an engine could hold a model if nothing else were on it.
pub(super) fn possible(engine: &Engine, want: &Want) -> bool {
    engine.live && engine.services.contains(&want.service) && engine.memory_mb >= want.memory_mb
}

fn weigh(
    context: &Context,
    fleet: &Fleet,
    wants: &Map<Name, Want>,
    want: &Want,
    store_wait_ms: u64,
    index: usize,
) -> Option<(f64, Choice)> {
    let place = &fleet.places[index];
    if !usable(context, place, want) {
        return None;
    }
    let source = Source::of(&place.engine.cached, &want.model);
    let took_ms = context.took_ms(want, source);
    let room = make_room(context, fleet, wants, want, place)?;
    let mut wait_ms = took_ms;
    if source == Source::Store {
        wait_ms += store_wait_ms;
    }
    if !room.fits {
        wait_ms += context.config.drain_ms;
    }
    let mut penalty_s = 0.0;
    if source == Source::Store {
        penalty_s += CROWDED_CACHE_S * count(place.engine.cached.disk.len());
    }
    let callers = context.burst(want).max(f64::from(want.total.waiting));
    if same_domain(fleet, place, want) {
        penalty_s += SAME_DOMAIN_S;
    }
    let mut cost =
        want.settings.cold_start_weight * callers * tail_cost(seconds(wait_ms) + penalty_s)
            + room.cost;
    if place.is_empty() {
        cost += want.settings.idle_weight * FRESH_ENGINE_IDLE_S;
    }
    cost += context.tie_break(&place.engine.id, &want.model);
    let choice = Choice {
        index,
        source,
        took_ms,
        victims: room.victims,
        fits: room.fits,
    };
    Some((cost, choice))
}

fn usable(context: &Context, place: &Place, want: &Want) -> bool {
    possible(place.engine, want)
        && !place.models.contains(&want.model)
        && !context
            .track
            .backs_off(context.now, &want.model, &place.engine.id)
}

fn same_domain(fleet: &Fleet, place: &Place, want: &Want) -> bool {
    fleet
        .holders(&want.model)
        .any(|p| p.engine.failure_domain == place.engine.failure_domain)
}

fn count(n: usize) -> f64 {
    u32::try_from(n).map_or(f64::MAX, f64::from)
}

struct Room {
    victims: Vec<ReplicaId>,
    fits: bool,
    cost: f64,
}

/// Finds memory for a load: free, freed by drains in progress, or freed by draining idle replicas.
fn make_room(
    context: &Context,
    fleet: &Fleet,
    wants: &Map<Name, Want>,
    want: &Want,
    place: &Place,
) -> Option<Room> {
    let mut room_mb = place.free_mb + place.coming_mb;
    let mut room = Room {
        victims: Vec::new(),
        fits: place.free_mb >= want.memory_mb,
        cost: 0.0,
    };
    if room_mb >= want.memory_mb {
        return Some(room);
    }
    let mut candidates: Vec<(f64, &Resident)> = place
        .ready
        .iter()
        .filter(|r| evictable(context, fleet, wants, place, r))
        .map(|r| (bring_back_cost(context, wants, r), *r))
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.model.cmp(&b.1.model)));
    for (cost, resident) in candidates {
        if room_mb >= want.memory_mb {
            break;
        }
        room_mb += resident.memory_mb;
        room.cost += cost;
        room.victims.push(place.engine.replica_id(resident));
    }
    let worth = match want.reason {
        Some(Reason::Prewarm) => wake_cost(context, want) > EVICTION_MARGIN * room.cost,
        Some(Reason::Demand | Reason::Floor) | None => true,
    };
    (room_mb >= want.memory_mb && worth).then_some(room)
}

/// Whether a replica may be drained to make room: idle past its floor, and not kept by settings.
fn evictable(
    context: &Context,
    fleet: &Fleet,
    wants: &Map<Name, Want>,
    place: &Place,
    resident: &Resident,
) -> bool {
    if resident.running > 0 {
        return false;
    }
    let Some(holder) = wants.get(&resident.model) else {
        return true;
    };
    let id = place.engine.replica_id(resident);
    let idle_ms = context.track.idle_ms(context.now, &id);
    let serving = fleet.ready(&resident.model).count();
    holder.total.waiting == 0
        && idle_ms >= holder.settings.keep_alive_min_ms
        && serving > holder.settings.min_replicas as usize
}

/// What draining a replica is expected to cost its callers.
fn bring_back_cost(context: &Context, wants: &Map<Name, Want>, resident: &Resident) -> f64 {
    let Some(holder) = wants.get(&resident.model) else {
        return 0.0;
    };
    wake_cost(context, holder)
}

/// Expected cost of the model's next cold start, if it comes soon.
fn wake_cost(context: &Context, want: &Want) -> f64 {
    context.cold_cost(want) * context.wake_probability(want, EVICTION_HORIZON_S)
}
