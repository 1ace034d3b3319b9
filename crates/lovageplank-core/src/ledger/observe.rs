//! What engines report, weighed against what may have happened since.

use super::{Ledger, MAX_PAIRS, Observation, Observed, Op, Pair, Phase, Refusal, Reply};
use crate::backend::Loaded;
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
            let listed = |l: &Loaded| l.model == model && l.version == version;
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
        loaded: &Loaded,
        observed: &mut Observed,
    ) {
        let replica = ReplicaId {
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            engine: observation.engine.clone(),
        };
        self.fence(&replica, loaded.fencing_token);
        let Ok(engine) = self.engine_mut(&observation.engine) else {
            return;
        };
        let current = engine.cleared_at == 0 || observation.basis >= engine.cleared_at;
        let key = (replica.model.clone(), replica.version.clone());
        let room = engine.pairs.len() < MAX_PAIRS;
        let Some(pair) = engine.pairs.get_mut(&key) else {
            if current && room {
                engine.pairs.insert(key, found(index, loaded));
                observed.found.push(replica);
            }
            return;
        };
        match pair.phase {
            Phase::Loading => {
                let token = pair.command.unwrap_or(u64::MAX);
                if loaded.loading || !(current || loaded.fencing_token >= token) {
                    return;
                }
                pair.phase = Phase::Ready;
                pair.seen_at = index;
                pair.adapters.clone_from(&loaded.adapters);
                observed.ready.push(replica);
                self.settle(token);
            }
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
        let answered_at = record.and_then(|r| r.answered_at);
        let gone = match phase {
            Phase::Loading => answered_at.is_some_and(|at| basis >= at),
            Phase::Ready | Phase::Draining | Phase::Found | Phase::Unloading => basis >= seen_at,
            Phase::Doubtful => basis >= seen_at && self.stray(replica, &Op::Load).is_none(),
        };
        if !gone {
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

fn found(index: u64, loaded: &Loaded) -> Pair {
    Pair {
        memory_mb: loaded.memory_mb,
        phase: Phase::Found,
        decided: None,
        command: None,
        seen_at: index,
        adapters: loaded.adapters.clone(),
    }
}
