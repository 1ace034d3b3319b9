//! Decisions: loads, adoptions, drains and unloads.

use super::{Adoption, Decision, Ledger, Load, MAX_PAIRS, Op, Pair, Phase, Refusal, Reply};
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
        let known = engine.pair(replica);
        if known.is_some_and(|p| p.phase != Phase::Doubtful) {
            return Err(Refusal::Exists);
        }
        if known.is_none() && engine.pairs.len() >= MAX_PAIRS {
            return Err(Refusal::Full);
        }
        let doubtful_mb = known.map_or(0, Pair::reserved_mb);
        let free_mb = engine.free_beside_mb(known);
        let memory_mb = load.memory_mb.max(doubtful_mb);
        if load.memory_mb == 0 || memory_mb > free_mb {
            return Err(Refusal::Memory { free_mb });
        }
        let fencing = engine.fencing;
        let before = known.map_or(Phase::Loading, |p| p.phase);
        self.idle(replica)?;
        if !fencing && let Some(token) = self.stray(replica, &Op::Unload) {
            return Err(Refusal::Outstanding { token });
        }
        let replaced = self.room(replica, load.limit, load.surge, load.replace_lost)?;
        self.replace(&replaced);
        let pair = Pair {
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
            seen_at: index,
            adapters: BTreeSet::new(),
        };
        let key = (replica.model.clone(), replica.version.clone());
        self.engine_mut(&replica.engine)?.pairs.insert(key, pair);
        self.command(index, replica, Op::Load, before)
    }

    pub(super) fn adopt(&mut self, index: u64, adoption: &Adoption) -> Result<Reply, Refusal> {
        let replica = &adoption.replica;
        let engine = self.engines.get(&replica.engine);
        let engine = engine.ok_or(Refusal::UnknownEngine)?;
        if engine.lost {
            return Err(Refusal::Lost);
        }
        let pair = engine.pair(replica).ok_or(Refusal::UnknownReplica)?;
        let replaced = pair.decided.is_some_and(|d| d.replaced);
        if !matches!(pair.phase, Phase::Found | Phase::Ready)
            || (pair.phase == Phase::Ready && !replaced)
        {
            return Err(Refusal::Phase);
        }
        let memory_mb = adoption.memory_mb.max(pair.reserved_mb());
        let free_mb = engine.free_beside_mb(Some(pair));
        if adoption.memory_mb == 0 || memory_mb > free_mb {
            return Err(Refusal::Memory { free_mb });
        }
        if let Some(token) = self.stray(replica, &Op::Unload) {
            return Err(Refusal::Outstanding { token });
        }
        self.room(replica, adoption.limit, adoption.surge, false)?;
        let pair = self.pair_mut(replica)?;
        pair.phase = Phase::Ready;
        pair.memory_mb = memory_mb;
        pair.decided = Some(Decision {
            token: index,
            limit: adoption.limit,
            surge: adoption.surge,
            replaced: false,
        });
        Ok(Reply::Changed)
    }

    pub(super) fn drain(&mut self, replica: &ReplicaId) -> Result<Reply, Refusal> {
        let pair = self.pair_mut(replica)?;
        match pair.phase {
            Phase::Ready | Phase::Draining => pair.phase = Phase::Draining,
            _ => return Err(Refusal::Phase),
        }
        Ok(Reply::Changed)
    }

    /// No copy of an unload can be under way to a draining replica: one that was refused drains
    /// again only when its last copy was answered.
    pub(super) fn undrain(&mut self, replica: &ReplicaId) -> Result<Reply, Refusal> {
        let pair = self.pair_mut(replica)?;
        match pair.phase {
            Phase::Ready | Phase::Draining => pair.phase = Phase::Ready,
            _ => return Err(Refusal::Phase),
        }
        Ok(Reply::Changed)
    }

    pub(super) fn unload(&mut self, index: u64, replica: &ReplicaId) -> Result<Reply, Refusal> {
        let pair = self.pair(replica).ok_or(Refusal::UnknownReplica)?;
        let (phase, command) = (pair.phase, pair.command);
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
        self.idle(replica)?;
        let pair = self.pair_mut(replica)?;
        pair.phase = Phase::Unloading;
        pair.command = Some(index);
        self.command(index, replica, Op::Unload, before)
    }

    pub(super) fn adapter(
        &mut self,
        index: u64,
        replica: &ReplicaId,
        op: Op,
    ) -> Result<Reply, Refusal> {
        let (Op::LoadAdapter(adapter) | Op::UnloadAdapter(adapter)) = &op else {
            return Err(Refusal::Phase);
        };
        let concerns = |other: &Op| match other {
            Op::LoadAdapter(a) | Op::UnloadAdapter(a) => a == adapter,
            Op::Load | Op::Unload => false,
        };
        let mut commands = self.commands.values();
        if let Some(command) = commands.find(|c| c.replica == *replica && concerns(&c.op)) {
            let token = command.token;
            return Err(Refusal::Busy { token });
        }
        let pair = self.pair_mut(replica)?;
        let held = pair.adapters.contains(adapter);
        match (pair.phase, &op) {
            (Phase::Ready, Op::LoadAdapter(_)) if held => Err(Refusal::Exists),
            (_, Op::UnloadAdapter(_)) if !held => Err(Refusal::UnknownReplica),
            (Phase::Ready, _) | (Phase::Draining, Op::UnloadAdapter(_)) => {
                self.command(index, replica, op, Phase::Ready)
            }
            _ => Err(Refusal::Phase),
        }
    }

    /// Makes room under the limit for one more replica; yields those on lost engines that must
    /// count as replaced for it.
    fn room(
        &self,
        replica: &ReplicaId,
        limit: u32,
        surge: u32,
        replace_lost: bool,
    ) -> Result<Vec<ReplicaId>, Refusal> {
        let mut counted = self.counted(&replica.model);
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
            let spare = |(id, lost): &(ReplicaId, bool)| {
                replace_lost && *lost && (same(id) || !version_full)
            };
            let Some(place) = counted.iter().position(spare) else {
                let counted = u32::try_from(counted.len()).unwrap_or(u32::MAX);
                return Err(Refusal::Limit { counted });
            };
            replaced.push(counted.remove(place).0);
        }
    }

    /// Replicas of a model that count against its limit, with whether their engine is lost.
    fn counted(&self, model: &Name) -> Vec<(ReplicaId, bool)> {
        let mut counted = Vec::new();
        for engine in self.engines.values() {
            for ((m, version), pair) in &engine.pairs {
                if m == model && pair.decided.is_some_and(|d| !d.replaced) {
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

    fn replace(&mut self, replicas: &[ReplicaId]) {
        for replica in replicas {
            if let Ok(pair) = self.pair_mut(replica)
                && let Some(decision) = &mut pair.decided
            {
                decision.replaced = true;
            }
        }
    }
}
