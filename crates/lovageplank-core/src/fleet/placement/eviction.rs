//! Which loaded models an engine may unload, and the value of keeping each.

use super::Planner;
use super::census::Census;
use super::demand::{has_spare_replica, has_surplus_replica};
use super::engine::{Engine, ModelState};
use crate::fleet::deployment;
use crate::prelude::*;

/// Milliseconds for which a model stays loaded that has had no requests since it was loaded: those
/// that waited for it are not in the routers' reports yet.
const MIN_LOADED_MS: Millis = 700;
/// Milliseconds for which a model stays loaded after it last had requests.
const MIN_IDLE_MS: Millis = 100;
/// Requests per second that are added to the arrival rate of a model when its only replica is
/// considered for eviction.
const LAST_REPLICA_RATE_PER_S: f64 = 0.02;

/// Requests per second that are added to the arrival rate of a surplus replica that still has
/// requests: its unload has to wait for them.
const DRAIN_RATE_PER_S: f64 = 0.1;
/// Milliseconds for which a model in use that needs all its replicas stays loaded at least, before a model that no engine
/// has loaded takes its place.
const TURN_MS: Millis = 4_000;
/// Fraction of the slots of an engine. A surplus replica that runs more requests is kept.
const DRAIN_LOAD_RATIO: f64 = 0.1;

/// Which loaded models may be unloaded for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Victims {
    /// Those without requests, and surplus replicas with few.
    Idle,
    /// Besides, models in use: those whose other replicas can run their requests, and the others after [`TURN_MS`].
    InUse,
}

impl Planner {
    /// Models that an engine may unload, each with the value of keeping it loaded, lowest value first. The value
    /// is in requests per second: the arrival rate of the model per replica (0 for a surplus replica), plus
    /// [`LAST_REPLICA_RATE_PER_S`] for the last replica and [`DRAIN_RATE_PER_S`] for one that still
    /// has requests. A model that the document doesn't list has no value and comes first, since no caller may
    /// ask for it.
    pub(super) fn eviction_candidates(
        &self,
        now: Millis,
        spec: &deployment::EngineSpec,
        engine: &Engine,
        census: &Census,
        victims: Victims,
    ) -> Vec<(f64, Name)> {
        let idle = engine.loaded.iter().filter(|(model, model_state)| {
            let min_ms = if model_state.requested {
                MIN_IDLE_MS
            } else {
                MIN_LOADED_MS
            };
            let idle = engine.running(model) == 0 && now >= model_state.used_at + min_ms;
            let yields = match victims {
                Victims::Idle => false,
                Victims::InUse => {
                    has_spare_replica(spec, model, census) || had_turn(now, model_state)
                }
            };
            idle || yields || can_drain(spec, engine, model, census)
        });
        let mut victims: Vec<(f64, Name)> = idle
            .map(|(model, _)| {
                if !spec.models.contains_key(model) {
                    return (0.0, model.clone());
                }
                let replicas = census.replicas(model).max(1);
                let rate = self.rate(now, &engine.service, model);
                #[allow(clippy::cast_precision_loss)] // Few engines.
                let share = rate / replicas as f64;
                let surplus = has_surplus_replica(spec, model, census);
                let share = if surplus { 0.0 } else { share };
                let last_replica_bonus = if replicas == 1 {
                    LAST_REPLICA_RATE_PER_S
                } else {
                    0.0
                };
                let drain = if engine.running(model) > 0 {
                    DRAIN_RATE_PER_S
                } else {
                    0.0
                };
                (share + last_replica_bonus + drain, model.clone())
            })
            .collect();
        victims.sort_by(|a, b| {
            let listed = |model: &Name| spec.models.contains_key(model);
            let by_value = || a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1));
            listed(&a.1).cmp(&listed(&b.1)).then_with(by_value)
        });
        victims
    }
}

/// Whether a model may be unloaded although it has requests: the other replicas can run what
/// comes, and few requests are left here, which end soon.
fn can_drain(
    spec: &deployment::EngineSpec,
    engine: &Engine,
    model: &Name,
    census: &Census,
) -> bool {
    let running = engine.running(model);
    let few = f64::from(running) <= DRAIN_LOAD_RATIO * f64::from(spec.slots);
    running > 0 && few && has_surplus_replica(spec, model, census)
}

/// Whether a model has been loaded for its turn.
fn had_turn(now: Millis, model_state: &ModelState) -> bool {
    now >= model_state.loaded_at + TURN_MS
}
