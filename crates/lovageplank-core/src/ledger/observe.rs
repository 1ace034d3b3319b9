//! What engines report, weighed against what may have happened since.

use super::{Ledger, MAX_PAIRS, Observation, Observed, Op, Pair, Phase, Refusal, Reply};
use crate::backend::LoadedReplica;
use crate::prelude::*;
use crate::view::ReplicaId;

impl Ledger {
    pub(super) fn observe(
        &mut self,
        index: u64,
        observation: &Observation,
    ) -> Result<Reply, Refusal> {
        let engine = self.engines.get(&observation.engine);
        let engine = engine.ok_or(Refusal::UnknownEngine)?;
        if engine.incarnation != observation.incarnation {
            let current = engine.incarnation;
            return Err(Refusal::Stale { current });
        }
        let known: Vec<(Name, Name)> = engine.pairs.keys().cloned().collect();
        let mut observed = Observed::default();
        for loaded in &observation.loaded {
            self.present(index, observation, loaded, &mut observed);
        }
        for (model, version) in known {
            let listed = |l: &LoadedReplica| l.model == model && l.version == version;
            if !observation.loaded.iter().any(listed) {
                let replica = ReplicaId {
                    model,
                    version,
                    engine: observation.engine.clone(),
                };
                self.absent(index, observation.basis, &replica, &mut observed);
            }
        }
        Ok(Reply::Observed(observed))
    }

    fn present(
        &mut self,
        index: u64,
        observation: &Observation,
        loaded: &LoadedReplica,
        observed: &mut Observed,
    ) {
        let replica = ReplicaId {
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            engine: observation.engine.clone(),
        };
        self.fence(&replica, loaded.fencing_token);
        let stray_unload = self.stray(&replica, &Op::Unload).is_some();
        let Ok(engine) = self.engine_mut(&observation.engine) else {
            return;
        };
        let current = engine.cleared_at == 0 || observation.basis >= engine.cleared_at;
        let room = engine.pairs.len() < MAX_PAIRS;
        let key = (replica.model.clone(), replica.version.clone());
        let Some(pair) = engine.pairs.get_mut(&key) else {
            if current && room {
                let pair = found(index, loaded, engine.free_mb());
                engine.pairs.insert(key, pair);
                observed.found.push(replica);
            }
            return;
        };
        if current {
            pair.measured_mb = pair.measured_mb.max(loaded.memory_mb);
        }
        match pair.phase {
            Phase::Loading => {
                let token = pair.command.unwrap_or(u64::MAX);
                let executed = loaded.fencing_token >= token;
                // A replica that an older copy loaded could still be cut off by an older unload.
                if loaded.loading || !(executed || (current && !stray_unload)) {
                    return;
                }
                pair.phase = Phase::Ready;
                pair.seen_at = index;
                pair.adapters.clone_from(&loaded.adapters);
                observed.ready.push(replica);
                self.settle(token);
            }
            // An older report may show the replica from before its unload.
            Phase::Doubtful if loaded.loading || observation.basis < pair.seen_at => {}
            Phase::Doubtful => {
                pair.phase = Phase::Found;
                pair.seen_at = index;
                observed.found.push(replica);
            }
            Phase::Ready | Phase::Draining => pair.adapters.clone_from(&loaded.adapters),
            Phase::Unloading | Phase::Found => {}
        }
    }

    /// The report does not list a replica that may be loaded.
    fn absent(&mut self, index: u64, basis: u64, replica: &ReplicaId, observed: &mut Observed) {
        let Ok(pair) = self.pair_mut(replica) else {
            return;
        };
        let (phase, command, seen_at) = (pair.phase, pair.command, pair.seen_at);
        let record = command.and_then(|token| self.commands.get(&token));
        let conclusive = match phase {
            Phase::Loading => record.is_some_and(|r| r.answered_at.is_some()),
            Phase::Ready | Phase::Draining | Phase::Found | Phase::Unloading => true,
            Phase::Doubtful => self.stray(replica, &Op::Load).is_none(),
        };
        if !conclusive || basis < seen_at {
            return;
        }
        if let Some(token) = command {
            self.settle(token);
        }
        self.close(index, replica);
        if phase != Phase::Doubtful {
            observed.gone.push(replica.clone());
        }
    }
}

/// A replica that nobody decided; one of unknown size counts for all that is free.
fn found(index: u64, loaded: &LoadedReplica, free_mb: u64) -> Pair {
    let memory_mb = match loaded.memory_mb {
        0 => free_mb,
        memory_mb => memory_mb,
    };
    Pair {
        memory_mb,
        measured_mb: loaded.memory_mb,
        phase: if loaded.loading {
            Phase::Doubtful
        } else {
            Phase::Found
        },
        decided: None,
        command: None,
        seen_at: index,
        adapters: loaded.adapters.clone(),
    }
}
