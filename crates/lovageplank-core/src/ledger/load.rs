//! Placement decisions: loads, adoptions, drains, unloads and adapter commands.

use super::{
    Adoption, Decision, Ledger, Load, MAX_REPLICAS_PER_ENGINE, Op, Phase, Refusal, ReplicaState,
    Reply,
};
use crate::prelude::*;
use crate::view::ReplicaId;

impl Ledger {
    pub(super) fn load(&mut self, index: u64, load: &Load) -> Result<Reply, Refusal> {
        let replica = &load.replica;
        let engine = self.engines.get(&replica.engine);
        let engine = engine.ok_or(Refusal::UnknownEngine)?;
        if engine.lost {
            return Err(Refusal::Lost);
        }
        let known = engine.replica_state(replica);
        if known.is_some_and(|p| p.phase != Phase::Doubtful) {
            return Err(Refusal::Exists);
        }
        if known.is_none() && engine.replica_states.len() >= MAX_REPLICAS_PER_ENGINE {
            return Err(Refusal::Full);
        }
        let doubtful_mb = known.map_or(0, ReplicaState::reserved_mb);
        let free_mb = engine.free_mb_excluding(known);
        let memory_mb = load.memory_mb.max(doubtful_mb);
        if load.memory_mb == 0 || memory_mb > free_mb {
            return Err(Refusal::Memory { free_mb });
        }
        let fencing = engine.fencing;
        let before = known.map_or(Phase::Loading, |p| p.phase);
        self.refuse_if_busy(replica)?;
        if !fencing && let Some(token) = self.settled_command(replica, &Op::Unload) {
            return Err(Refusal::Outstanding { token });
        }
        let replaced =
            self.replicas_to_replace(replica, load.limit, load.surge, load.replace_lost)?;
        self.mark_replaced(&replaced);
        let state = ReplicaState {
            memory_mb,
            measured_mb: 0,
            phase: Phase::Loading,
            decided: Some(Decision {
                token: index,
                limit: load.limit,
                surge: load.surge,
                replaced: false,
            }),
            command: Some(index),
            min_report_basis: index,
            adapters: BTreeSet::new(),
        };
        let key = (replica.model.clone(), replica.version.clone());
        self.engine_mut(&replica.engine)?
            .replica_states
            .insert(key, state);
        self.commit_command(index, replica, Op::Load, before)
    }

    pub(super) fn adopt(&mut self, index: u64, adoption: &Adoption) -> Result<Reply, Refusal> {
        let replica = &adoption.replica;
        let engine = self.engines.get(&replica.engine);
        let engine = engine.ok_or(Refusal::UnknownEngine)?;
        if engine.lost {
            return Err(Refusal::Lost);
        }
        let state = engine
            .replica_state(replica)
            .ok_or(Refusal::UnknownReplica)?;
        let replaced = state.decided.is_some_and(|d| d.replaced);
        if !matches!(state.phase, Phase::Found | Phase::Ready)
            || (state.phase == Phase::Ready && !replaced)
        {
            return Err(Refusal::Phase);
        }
        let memory_mb = adoption.memory_mb.max(state.reserved_mb());
        let free_mb = engine.free_mb_excluding(Some(state));
        if adoption.memory_mb == 0 || memory_mb > free_mb {
            return Err(Refusal::Memory { free_mb });
        }
        if let Some(token) = self.settled_command(replica, &Op::Unload) {
            return Err(Refusal::Outstanding { token });
        }
        self.replicas_to_replace(replica, adoption.limit, adoption.surge, false)?;
        let state = self.replica_state_mut(replica)?;
        state.phase = Phase::Ready;
        state.memory_mb = memory_mb;
        state.decided = Some(Decision {
            token: index,
            limit: adoption.limit,
            surge: adoption.surge,
            replaced: false,
        });
        Ok(Reply::Changed)
    }

    pub(super) fn drain(&mut self, replica: &ReplicaId) -> Result<Reply, Refusal> {
        let state = self.replica_state_mut(replica)?;
        match state.phase {
            Phase::Ready | Phase::Draining => state.phase = Phase::Draining,
            _ => return Err(Refusal::Phase),
        }
        Ok(Reply::Changed)
    }

    /// Returns a draining replica to service. No copy of an unload can still reach it, since a replica
    /// whose unload was refused goes back to draining only after the last open send was answered.
    pub(super) fn undrain(&mut self, replica: &ReplicaId) -> Result<Reply, Refusal> {
        let state = self.replica_state_mut(replica)?;
        match state.phase {
            Phase::Ready | Phase::Draining => state.phase = Phase::Ready,
            _ => return Err(Refusal::Phase),
        }
        Ok(Reply::Changed)
    }

    pub(super) fn unload(&mut self, index: u64, replica: &ReplicaId) -> Result<Reply, Refusal> {
        let state = self.replica_state(replica).ok_or(Refusal::UnknownReplica)?;
        let (phase, command) = (state.phase, state.command);
        let record = command.and_then(|token| self.commands.get(&token));
        let executing = record.is_some_and(|r| r.answered_at.is_some());
        let before = match phase {
            Phase::Draining | Phase::Found | Phase::Doubtful => phase,
            Phase::Loading if executing => Phase::Doubtful,
            Phase::Loading | Phase::Unloading => {
                let token = command.unwrap_or_default();
                return Err(Refusal::Busy { token });
            }
            Phase::Ready => return Err(Refusal::Phase),
        };
        if let Some(token) = command {
            self.settle(token);
        }
        self.refuse_if_busy(replica)?;
        let state = self.replica_state_mut(replica)?;
        state.phase = Phase::Unloading;
        state.command = Some(index);
        self.commit_command(index, replica, Op::Unload, before)
    }

    pub(super) fn command_adapter(
        &mut self,
        index: u64,
        replica: &ReplicaId,
        op: Op,
    ) -> Result<Reply, Refusal> {
        let (Op::LoadAdapter(adapter) | Op::UnloadAdapter(adapter)) = &op else {
            return Err(Refusal::Phase);
        };
        let same_adapter = |other: &Op| match other {
            Op::LoadAdapter(a) | Op::UnloadAdapter(a) => a == adapter,
            Op::Load | Op::Unload => false,
        };
        let mut commands = self.commands.values();
        if let Some(command) = commands.find(|c| c.replica == *replica && same_adapter(&c.op)) {
            let token = command.token;
            return Err(Refusal::Busy { token });
        }
        let state = self.replica_state_mut(replica)?;
        let loaded = state.adapters.contains(adapter);
        match (state.phase, &op) {
            (Phase::Ready, Op::LoadAdapter(_)) if loaded => Err(Refusal::Exists),
            (_, Op::UnloadAdapter(_)) if !loaded => Err(Refusal::UnknownReplica),
            (Phase::Ready, _) | (Phase::Draining, Op::UnloadAdapter(_)) => {
                self.commit_command(index, replica, op, Phase::Ready)
            }
            _ => Err(Refusal::Phase),
        }
    }

    /// Checks that the limit allows one more replica and returns the replicas on lost engines that
    /// must be marked replaced for it.
    fn replicas_to_replace(
        &self,
        replica: &ReplicaId,
        limit: u32,
        surge: u32,
        replace_lost: bool,
    ) -> Result<Vec<ReplicaId>, Refusal> {
        let mut counted = self.counted_replicas(&replica.model);
        counted.retain(|(id, _)| id != replica);
        let mut replaced = Vec::new();
        loop {
            let same = |id: &ReplicaId| id.version == replica.version;
            let of_version = counted.iter().filter(|(id, _)| same(id)).count();
            let others = counted.len() - of_version;
            let surge = if others == 0 { 0 } else { surge };
            let version_full = of_version >= limit as usize;
            let model_full = counted.len() >= limit as usize + surge as usize;
            if !version_full && !model_full {
                return Ok(replaced);
            }
            let replaceable = |(id, lost): &(ReplicaId, bool)| {
                replace_lost && *lost && (same(id) || !version_full)
            };
            let Some(position) = counted.iter().position(replaceable) else {
                let counted = u32::try_from(counted.len()).unwrap_or(u32::MAX);
                return Err(Refusal::Limit { counted });
            };
            replaced.push(counted.remove(position).0);
        }
    }

    /// Replicas of a model that count against its limit, each with whether its engine is lost.
    fn counted_replicas(&self, model: &Name) -> Vec<(ReplicaId, bool)> {
        let mut counted = Vec::new();
        for engine in self.engines.values() {
            for ((m, version), state) in &engine.replica_states {
                if m == model && state.decided.is_some_and(|d| !d.replaced) {
                    let id = ReplicaId {
                        model: m.clone(),
                        version: version.clone(),
                        engine: engine.id.clone(),
                    };
                    counted.push((id, engine.lost));
                }
            }
        }
        counted
    }

    fn mark_replaced(&mut self, replicas: &[ReplicaId]) {
        for replica in replicas {
            if let Ok(state) = self.replica_state_mut(replica)
                && let Some(decision) = &mut state.decided
            {
                decision.replaced = true;
            }
        }
    }
}
