//! Command records, fencing tokens and memory reservations.
//!
//! The ledger is the one place that counts replicas and accelerator memory. The replicated log
//! drives it: a command for an engine is first committed as a [`CommandRecord`] and sent only then, so
//! that each command which can still reach an engine is known to every later leader.
//!
//! ```
//! use lovageplank_core::ledger::{Action, Engine, Ledger, Load, Reply};
//! use lovageplank_core::view::ReplicaId;
//! let mut ledger = Ledger::default();
//! ledger.register(1, Engine::new("e1", 7, 80_000)).unwrap();
//! let replica = ReplicaId { model: "lime".into(), version: "1".into(), engine: "e1".into() };
//! let load = Load { replica, memory_mb: 60_000, limit: 1, surge: 0, replace_lost: false };
//! let Ok(Reply::Command(record)) = ledger.apply(2, &Action::Load(load)) else { panic!() };
//! assert_eq!(record.token, 2);
//! assert_eq!(ledger.free_mb("e1"), 20_000);
//! ```
//!
//! # What proves what
//!
//! A command counts as one that may still be executed until something proves the opposite; no
//! clock is involved.
//!
//! - The fencing token is the log index of the record, so it grows with each command.
//! - Each send of a command is numbered and committed before it happens: the first with the record
//!   itself, each further one by [`Action::Resend`]. A send stays *open* until its own answer.
//! - A send must use a connection on which the engine's incarnation was seen to be the record's.
//!   A command then dies with the process that it was sent to, and a new incarnation ends them all.
//! - A report proves that a replica is there, unless it may be older than an unload of the same
//!   replica. It proves that a replica is *not* there only when its `basis` says that it was asked
//!   for after the replica was known to be there or after the command was answered. Announcements
//!   that engines push have basis 0 and prove no absence.
//! - An engine that accepted a load lists the replica, as `loading`, in each report from then on.
//!
//! # Engines that ignore fencing tokens
//!
//! A copy of a `load` that arrives after the `unload` loads the replica again; a copy of an
//! `unload` that arrives after a new `load` cuts it off. So, while sends of a load are open, the
//! unloaded replica stays [`Phase::Doubtful`]: it counts and its memory stays reserved. While sends
//! of an unload are open, the replica can't be loaded or taken back into service. Both end with the
//! answers or with a new incarnation. Only resent commands and those of a lost leader get there; a
//! command with one send has no open copy after its answer.
//!
//! An engine that checks tokens refuses a token below the highest that it executed for the replica,
//! also after an unload; there an answered later command ends all doubt about earlier ones.
//!
//! # Engines out of sight
//!
//! The replicas of a lost engine stay decided, counted and reserved. A load with `replace_lost`
//! marks as many of them as replaced as the limit asks for: the decided set grows by the
//! replacement, and when the engine returns, [`Ledger::surplus`] names what to drain. Without it
//! (a setting that would rather wait than hold two) lost replicas bar new ones. A lost engine that
//! was forgotten is let in again under a new incarnation only.

mod action;
mod check;
mod command;
mod engine;
mod load;
mod observe;
mod query;

pub use action::{Action, Adoption, Load, Observation, ObservedChanges, Outcome, Refusal, Reply};
pub use check::Violation;
pub use command::{CommandRecord, MAX_OPEN_SENDS, Op};
pub use engine::{Decision, Engine, Phase, ReplicaState};

use crate::prelude::*;
use crate::view::ReplicaId;
use std::collections::VecDeque;

/// Most engines that are known at once.
pub const MAX_ENGINES: usize = 5_000;
/// Most replicas of one engine.
pub const MAX_REPLICAS_PER_ENGINE: usize = 256;
/// Forgotten engines whose incarnations are remembered.
pub const MAX_FORGOTTEN: usize = 10_000;

record! { data =>
    /// All engines, their replicas and the commands that may still reach them.
    #[derive(Default)]
    pub struct Ledger {
        engines: BTreeMap<Name, Engine>,
        /// Commands whose effect is unknown, and known ones of which sends are open.
        commands: BTreeMap<u64, CommandRecord>,
        /// Incarnations of forgotten engines.
        forgotten: BTreeMap<Name, u64>,
        /// The names in `forgotten`, oldest first.
        forgotten_order: VecDeque<Name>,
    }
}

impl Ledger {
    /// Applies one entry of the log; a refusal changes nothing.
    ///
    /// `index` is the entry's place in the log and grows with each call.
    pub fn apply(&mut self, index: u64, action: &Action) -> Result<Reply, Refusal> {
        match action {
            Action::Load(load) => self.load(index, load),
            Action::Adopt(adoption) => self.adopt(index, adoption),
            Action::Drain(replica) => self.drain(replica),
            Action::Undrain(replica) => self.undrain(replica),
            Action::Unload(replica) => self.unload(index, replica),
            Action::LoadAdapter { replica, adapter } => {
                self.command_adapter(index, replica, Op::LoadAdapter(adapter.clone()))
            }
            Action::UnloadAdapter { replica, adapter } => {
                self.command_adapter(index, replica, Op::UnloadAdapter(adapter.clone()))
            }
            Action::Resend { token } => self.resend(*token),
            Action::Resolve {
                token,
                send,
                outcome,
            } => self.resolve(index, *token, *send, *outcome),
            Action::Observe(observation) => self.observe(index, observation),
            Action::Lost {
                engine,
                incarnation,
            } => self.mark_lost(engine, *incarnation),
            Action::Forget { engine } => self.forget(engine),
        }
    }

    /// Adds an engine, updates it, or replaces its earlier incarnation with all that it held.
    pub fn register(&mut self, index: u64, engine: Engine) -> Result<Reply, Refusal> {
        if let Some(forgotten) = self.forgotten.get(&engine.id)
            && *forgotten >= engine.incarnation
        {
            return Err(Refusal::Stale {
                current: *forgotten,
            });
        }
        let full = self.engines.len() >= MAX_ENGINES;
        let Some(known) = self.engines.get_mut(&engine.id) else {
            if full {
                return Err(Refusal::Full);
            }
            self.insert_engine(index, engine);
            return Ok(Reply::Changed);
        };
        if engine.incarnation < known.incarnation {
            let current = known.incarnation;
            return Err(Refusal::Stale { current });
        }
        if engine.incarnation > known.incarnation {
            self.insert_engine(index, engine);
            return Ok(Reply::Changed);
        }
        if engine.memory_mb != known.memory_mb || engine.fencing != known.fencing {
            return Err(Refusal::Incarnation);
        }
        known.services = engine.services;
        known.address = engine.address;
        known.failure_domain = engine.failure_domain;
        known.lost = false;
        Ok(Reply::Changed)
    }

    fn insert_engine(&mut self, index: u64, mut engine: Engine) {
        self.commands.retain(|_, c| c.replica.engine != engine.id);
        engine.replica_states.clear();
        engine.last_removal_index = 0;
        engine.lost = false;
        engine.registered_at = index;
        self.engines.insert(engine.id.clone(), engine);
    }

    fn mark_lost(&mut self, engine: &Name, incarnation: u64) -> Result<Reply, Refusal> {
        let known = self.engine_mut(engine)?;
        if known.incarnation != incarnation {
            let current = known.incarnation;
            return Err(Refusal::Stale { current });
        }
        known.lost = true;
        Ok(Reply::Changed)
    }

    fn forget(&mut self, engine: &Name) -> Result<Reply, Refusal> {
        let known = self.engine_mut(engine)?;
        if !known.lost {
            return Err(Refusal::InSight);
        }
        let incarnation = known.incarnation;
        self.engines.remove(engine);
        self.commands.retain(|_, c| c.replica.engine != *engine);
        if self.forgotten.insert(engine.clone(), incarnation).is_none() {
            self.forgotten_order.push_back(engine.clone());
        }
        if self.forgotten.len() > MAX_FORGOTTEN
            && let Some(oldest) = self.forgotten_order.pop_front()
        {
            self.forgotten.remove(&oldest);
        }
        Ok(Reply::Changed)
    }

    fn engine_mut(&mut self, engine: &Name) -> Result<&mut Engine, Refusal> {
        self.engines.get_mut(engine).ok_or(Refusal::UnknownEngine)
    }

    fn replica_state_mut(&mut self, replica: &ReplicaId) -> Result<&mut ReplicaState, Refusal> {
        let key = (replica.model.clone(), replica.version.clone());
        let engine = self.engine_mut(&replica.engine)?;
        engine
            .replica_states
            .get_mut(&key)
            .ok_or(Refusal::UnknownReplica)
    }
}
