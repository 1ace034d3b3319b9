//! Queries of the ledger.

use super::{CommandRecord, Engine, Ledger, Observation, Phase, ReplicaState};
use crate::prelude::*;
use crate::view::{self, ReplicaId};

impl Engine {
    /// State of a replica that is or may be loaded on the engine.
    pub fn replica_state(&self, replica: &ReplicaId) -> Option<&ReplicaState> {
        let key = (replica.model.clone(), replica.version.clone());
        self.replica_states.get(&key)
    }

    /// Memory in megabytes reserved by decided replicas, without those found.
    pub fn decided_mb(&self) -> u64 {
        let decided = self.replica_states.values().filter(|p| p.decided.is_some());
        decided.map(|p| p.memory_mb).sum()
    }

    fn replicas_with_ids(&self) -> impl Iterator<Item = (ReplicaId, &ReplicaState)> {
        self.replica_states.iter().map(|((model, version), state)| {
            let id = ReplicaId {
                model: model.clone(),
                version: version.clone(),
                engine: self.id.clone(),
            };
            (id, state)
        })
    }
}

impl Ledger {
    /// The engine with this name.
    pub fn engine(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// All engines, in order of their names.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// State of a replica that is or may be loaded.
    pub fn replica_state(&self, replica: &ReplicaId) -> Option<&ReplicaState> {
        self.engine(&replica.engine)?.replica_state(replica)
    }

    /// All replicas that are or may be loaded, with their states.
    pub fn replica_states(&self) -> impl Iterator<Item = (ReplicaId, &ReplicaState)> {
        self.engines.values().flat_map(Engine::replicas_with_ids)
    }

    /// The record of a command that is unresolved or has open sends.
    pub fn command_record(&self, token: u64) -> Option<&CommandRecord> {
        self.commands.get(&token)
    }

    /// Commands that are not settled, oldest first.
    pub fn unresolved(&self) -> impl Iterator<Item = &CommandRecord> {
        self.commands.values().filter(|c| !c.settled)
    }

    /// Settled commands of which a copy may still arrive, oldest first.
    pub fn settled_commands(&self) -> impl Iterator<Item = &CommandRecord> {
        self.commands.values().filter(|c| c.settled)
    }

    /// Memory in megabytes reserved on an engine; 0 for an unknown one.
    pub fn reserved_mb(&self, engine: &str) -> u64 {
        self.engine(engine).map_or(0, Engine::reserved_mb)
    }

    /// Memory in megabytes free on an engine; 0 for an unknown one.
    pub fn free_mb(&self, engine: &str) -> u64 {
        self.engine(engine).map_or(0, Engine::free_mb)
    }

    /// Memory in megabytes of the largest engine of each service, lost engines included.
    pub fn largest_engine_mb(&self) -> BTreeMap<Name, u64> {
        let mut largest = BTreeMap::new();
        for engine in self.engines.values() {
            for service in &engine.services {
                let mb: &mut u64 = largest.entry(service.clone()).or_default();
                *mb = engine.memory_mb.max(*mb);
            }
        }
        largest
    }

    /// Replicas to drain or unload on engines that are not lost: found ones, and ready ones that were
    /// replaced while their engine was lost.
    pub fn surplus(&self) -> Vec<ReplicaId> {
        let mut surplus = Vec::new();
        for engine in self.engines.values().filter(|e| !e.lost) {
            for (id, state) in engine.replicas_with_ids() {
                let replaced = state.decided.is_some_and(|d| d.replaced);
                if state.phase == Phase::Found || (state.phase == Phase::Ready && replaced) {
                    surplus.push(id);
                }
            }
        }
        surplus
    }

    /// Whether an observation would change the ledger; one that would not needs no log entry.
    pub fn would_change(&self, observation: &Observation) -> bool {
        let Some(engine) = self.engine(&observation.engine) else {
            return false;
        };
        let of_engine = self.commands.iter();
        let of_engine = of_engine.filter(|(_, c)| c.replica.engine == engine.id);
        let before = Ledger {
            engines: BTreeMap::from([(engine.id.clone(), engine.clone())]),
            commands: of_engine.map(|(t, c)| (*t, c.clone())).collect(),
            ..Ledger::default()
        };
        let mut after = before.clone();
        after.observe(u64::MAX, observation).is_ok() && after != before
    }

    /// Whether an announced engine needs a log entry to register it: a new engine, a larger
    /// incarnation, a changed property, or an engine that was lost. A forgotten incarnation needs
    /// none, as it would be refused.
    pub fn needs_registration(&self, engine: &Engine) -> bool {
        let forgotten = self.forgotten.get(&engine.id);
        if forgotten.is_some_and(|incarnation| *incarnation >= engine.incarnation) {
            return false;
        }
        self.engine(&engine.id).is_none_or(|known| {
            known.incarnation < engine.incarnation
                || (known.incarnation == engine.incarnation
                    && (known.lost
                        || known.services != engine.services
                        || known.address != engine.address
                        || known.failure_domain != engine.failure_domain))
        })
    }

    /// Replicas as sent to routers, without those on lost engines, doubtful ones and found ones.
    ///
    /// `ready_in_ms` is always 0, since the ledger has no clock.
    pub fn replicas(&self) -> Vec<view::Replica> {
        let connected = self.engines.values().filter(|e| !e.lost);
        connected
            .flat_map(Engine::replicas_with_ids)
            .filter_map(|(id, state)| {
                let phase = match state.phase {
                    Phase::Loading => view::Phase::Loading,
                    Phase::Ready => view::Phase::Ready,
                    Phase::Draining | Phase::Unloading => view::Phase::Draining,
                    Phase::Doubtful | Phase::Found => return None,
                };
                Some(view::Replica {
                    id,
                    phase,
                    adapters: state.adapters.clone(),
                    ready_in_ms: 0,
                })
            })
            .collect()
    }
}
