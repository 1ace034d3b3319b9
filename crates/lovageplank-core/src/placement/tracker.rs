//! Records decisions until the engines report them, failed loads and the last use of replicas.

use super::{Action, Engine};
use crate::load::Source;
use crate::prelude::*;
use crate::view::{Phase, ReplicaId};

/// Backoff in milliseconds after the first failed load of a model on an engine. It doubles with
/// each further failure; the model may be loaded on other engines meanwhile.
const BACKOFF_MIN_MS: u64 = 2_000;
/// Maximum backoff in milliseconds between attempts to load a model on an engine.
const BACKOFF_MAX_MS: u64 = 60_000;

/// Minimum time in milliseconds between a model's load from the store and a load that only caches
/// its weights. Caches that dropped the weights within this time would drop them again.
const STAGING_INTERVAL_MS: u64 = 6 * 3_600_000;

/// A load that was decided or is in progress.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Load {
    /// When it was decided, or first reported by an engine.
    pub(super) started: Millis,
    /// Where the weights come from.
    pub(super) source: Source,
    /// Accelerator memory in megabytes.
    pub(super) memory_mb: u64,
    /// Whether an engine has reported it.
    pub(super) reported: bool,
}

/// The backoff after a failed load.
#[derive(Clone, Copy, Debug)]
struct Failure {
    until: Millis,
    backoff_ms: u64,
}

/// Pending loads and drains, backoffs after failed loads, and times of last use.
#[derive(Clone, Debug, Default)]
pub(super) struct Tracker {
    pub(super) loads: BTreeMap<ReplicaId, Load>,
    /// When each drain was decided that no engine has reported.
    drains: BTreeMap<ReplicaId, Millis>,
    /// By model and engine.
    failures: BTreeMap<(Name, Name), Failure>,
    /// When each replica last ran a request, or became ready.
    last_busy: BTreeMap<ReplicaId, Millis>,
    /// When a load of each model from the store was last decided.
    store_loaded_at: BTreeMap<Name, Millis>,
}

impl Tracker {
    /// Updates the records from the engines' state; drops loads and drains that no engine has
    /// reported for `pending_timeout_ms`.
    pub(super) fn sync(&mut self, now: Millis, engines: &[Engine], pending_timeout_ms: u64) {
        let replicas: BTreeMap<ReplicaId, (&Engine, Phase, u32, u64)> = engines
            .iter()
            .flat_map(|e| e.replicas.iter().map(move |r| (e, r)))
            .map(|(e, r)| (e.replica_id(r), (e, r.phase, r.running, r.memory_mb)))
            .collect();
        self.drains
            .retain(|_, decided_at| now.saturating_sub(*decided_at) < pending_timeout_ms);
        self.drains
            .retain(|id, _| replicas.get(id).is_some_and(|r| r.1 != Phase::Draining));
        self.loads.retain(|id, load| match replicas.get(id) {
            Some((_, phase, ..)) => *phase == Phase::Loading,
            None => !load.reported && now.saturating_sub(load.started) < pending_timeout_ms,
        });
        self.last_busy.retain(|id, _| replicas.contains_key(id));
        for (id, (engine, phase, running, memory_mb)) in replicas {
            match phase {
                Phase::Loading => self.record_loading(now, id, engine, memory_mb),
                Phase::Ready | Phase::Draining => self.record_ready(now, id, running),
            }
        }
    }

    /// Records the loads and drains that were just decided.
    pub(super) fn record_decisions(&mut self, now: Millis, actions: &[Action], engines: &[Engine]) {
        for action in actions {
            match action {
                Action::Drain { replica } => {
                    self.drains.insert(replica.clone(), now);
                }
                Action::Load {
                    model,
                    version,
                    engine,
                    memory_mb,
                    ..
                } => {
                    let id = ReplicaId {
                        model: model.clone(),
                        version: version.clone(),
                        engine: engine.clone(),
                    };
                    let load = Load {
                        started: now,
                        source: source_at(engines, engine, model),
                        memory_mb: *memory_mb,
                        reported: false,
                    };
                    if load.source == Source::Store {
                        self.store_loaded_at.insert(model.clone(), now);
                    }
                    self.loads.insert(id, load);
                }
                Action::LoadAdapter { .. } | Action::UnloadAdapter { .. } => {}
            }
        }
    }

    /// Records the end of a load; a failure starts or doubles the backoff for its model and engine.
    pub(super) fn record_load_end(&mut self, now: Millis, model: &Name, engine: &Name, ok: bool) {
        let key = (model.clone(), engine.clone());
        if ok {
            self.failures.remove(&key);
            return;
        }
        self.loads
            .retain(|id, _| id.model != *model || id.engine != *engine);
        let previous_ms = self.failures.get(&key).map_or(0, |f| f.backoff_ms);
        let backoff_ms = (previous_ms * 2).clamp(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
        let failure = Failure {
            until: now + backoff_ms,
            backoff_ms,
        };
        self.failures.insert(key, failure);
    }

    /// Whether the backoff after a failed load of the model on the engine is running.
    pub(super) fn is_backing_off(&self, now: Millis, model: &Name, engine: &Name) -> bool {
        let failure = self.failures.get(&(model.clone(), engine.clone()));
        failure.is_some_and(|f| now < f.until)
    }

    /// Whether a load of the model from the store was decided within [`STAGING_INTERVAL_MS`].
    pub(super) fn recently_loaded_from_store(&self, model: &Name, now: Millis) -> bool {
        let loaded = self.store_loaded_at.get(model);
        loaded.is_some_and(|at| now.saturating_sub(*at) < STAGING_INTERVAL_MS)
    }

    /// Whether a drain was decided that no engine has reported yet.
    pub(super) fn drain_pending(&self, replica: &ReplicaId) -> bool {
        self.drains.contains_key(replica)
    }

    /// Milliseconds since the replica last ran a request, or since it became ready.
    /// 0 for an unknown replica.
    pub(super) fn idle_ms(&self, now: Millis, replica: &ReplicaId) -> u64 {
        let last_busy = self.last_busy.get(replica).copied();
        now.saturating_sub(last_busy.unwrap_or(now))
    }

    fn record_loading(&mut self, now: Millis, id: ReplicaId, engine: &Engine, memory_mb: u64) {
        let source = Source::of(&engine.cached, &id.model);
        let load = self.loads.entry(id).or_insert(Load {
            started: now,
            source,
            memory_mb,
            reported: true,
        });
        load.reported = true;
    }

    fn record_ready(&mut self, now: Millis, id: ReplicaId, running: u32) {
        if running > 0 {
            self.last_busy.insert(id, now);
        } else {
            self.last_busy.entry(id).or_insert(now);
        }
    }
}

/// The source of a load of `model` on `engine`; the store if the engine is unknown.
fn source_at(engines: &[Engine], engine: &Name, model: &Name) -> Source {
    engines
        .iter()
        .find(|e| e.id == *engine)
        .map_or(Source::Store, |e| Source::of(&e.cached, model))
}
