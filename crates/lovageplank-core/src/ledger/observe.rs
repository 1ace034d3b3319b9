//! Reports of engines, applied only as far as they can't be outdated.

use super::{
    Ledger, MAX_REPLICAS_PER_ENGINE, Observation, ObservedChanges, Op, Phase, Refusal,
    ReplicaState, Reply,
};
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
        let known: Vec<(Name, Name)> = engine.replica_states.keys().cloned().collect();
        let mut observed = ObservedChanges::default();
        for loaded in &observation.loaded {
            self.observe_present(index, observation, loaded, &mut observed);
        }
        for (model, version) in known {
            let listed = |l: &LoadedReplica| l.model == model && l.version == version;
            if !observation.loaded.iter().any(listed) {
                let replica = ReplicaId {
                    model,
                    version,
                    engine: observation.engine.clone(),
                };
                self.observe_absent(index, observation.basis, &replica, &mut observed);
            }
        }
        Ok(Reply::Observed(observed))
    }

    fn observe_present(
        &mut self,
        index: u64,
        observation: &Observation,
        loaded: &LoadedReplica,
        observed: &mut ObservedChanges,
    ) {
        let replica = ReplicaId {
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            engine: observation.engine.clone(),
        };
        self.drop_fenced_commands(&replica, loaded.fencing_token);
        let unload_may_arrive = self.settled_command(&replica, &Op::Unload).is_some();
        let Ok(engine) = self.engine_mut(&observation.engine) else {
            return;
        };
        let after_last_removal =
            engine.last_removal_index == 0 || observation.basis >= engine.last_removal_index;
        let has_capacity = engine.replica_states.len() < MAX_REPLICAS_PER_ENGINE;
        let key = (replica.model.clone(), replica.version.clone());
        let Some(state) = engine.replica_states.get_mut(&key) else {
            if after_last_removal && has_capacity {
                let state = found_replica(index, loaded, engine.free_mb());
                engine.replica_states.insert(key, state);
                observed.found.push(replica);
            }
            return;
        };
        if after_last_removal {
            state.measured_mb = state.measured_mb.max(loaded.memory_mb);
        }
        match state.phase {
            Phase::Loading => {
                let token = state.command.unwrap_or(u64::MAX);
                let executed = loaded.fencing_token >= token;
                // An open send of an earlier unload could still remove a replica that a copy of an
                // earlier load made appear.
                if loaded.loading || !(executed || (after_last_removal && !unload_may_arrive)) {
                    return;
                }
                state.phase = Phase::Ready;
                state.min_report_basis = index;
                state.adapters.clone_from(&loaded.adapters);
                observed.ready.push(replica);
                self.settle(token);
            }
            // A report with a smaller basis may list the replica from before its unload.
            Phase::Doubtful if loaded.loading || observation.basis < state.min_report_basis => {}
            Phase::Doubtful => {
                state.phase = Phase::Found;
                state.min_report_basis = index;
                observed.found.push(replica);
            }
            Phase::Ready | Phase::Draining => state.adapters.clone_from(&loaded.adapters),
            Phase::Unloading | Phase::Found => {}
        }
    }

    /// Applies a report that does not list a replica which may be loaded.
    fn observe_absent(
        &mut self,
        index: u64,
        basis: u64,
        replica: &ReplicaId,
        observed: &mut ObservedChanges,
    ) {
        let Ok(state) = self.replica_state_mut(replica) else {
            return;
        };
        let (phase, command, min_report_basis) =
            (state.phase, state.command, state.min_report_basis);
        let record = command.and_then(|token| self.commands.get(&token));
        let conclusive = match phase {
            Phase::Loading => record.is_some_and(|r| r.answered_at.is_some()),
            Phase::Ready | Phase::Draining | Phase::Found | Phase::Unloading => true,
            Phase::Doubtful => self.settled_command(replica, &Op::Load).is_none(),
        };
        if !conclusive || basis < min_report_basis {
            return;
        }
        if let Some(token) = command {
            self.settle(token);
        }
        self.mark_not_loaded(index, replica);
        if phase != Phase::Doubtful {
            observed.gone.push(replica.clone());
        }
    }
}

/// State of a reported replica without a decision. If the engine reported no size (0), the replica
/// reserves all free memory.
fn found_replica(index: u64, loaded: &LoadedReplica, free_mb: u64) -> ReplicaState {
    let memory_mb = match loaded.memory_mb {
        0 => free_mb,
        memory_mb => memory_mb,
    };
    ReplicaState {
        memory_mb,
        measured_mb: loaded.memory_mb,
        phase: if loaded.loading {
            Phase::Doubtful
        } else {
            Phase::Found
        },
        decided: None,
        command: None,
        min_report_basis: index,
        adapters: loaded.adapters.clone(),
    }
}
