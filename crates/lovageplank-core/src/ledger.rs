//! Replicated ledger of replicas, memory reservations and commands to engines.
//!
//! Replicas and accelerator memory are counted only here. Entries of the replicated log are the only
//! input: a command to an engine is committed as a [`CommandRecord`] before it is sent, so every
//! later leader knows each command that can still reach an engine.
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
//! # Evidence about commands and replicas
//!
//! A command may still be executed until an answer, a report or a new incarnation proves otherwise.
//! No clock is involved.
//!
//! - The fencing token of a command is the log index of its record, so tokens increase with each
//!   command.
//! - Each send of a command has a number that is committed before the send: the first with the
//!   record, each further one by [`Action::Resend`]. A send is *open* until its own outcome is
//!   committed.
//! - A command must be sent on a connection on which the engine identified itself with the record's
//!   incarnation. Open sends therefore end with the engine's process, and registering a new
//!   incarnation drops all commands of the earlier one.
//! - A report that lists a replica without `loading` proves it loaded, unless the report may predate
//!   the latest removal of a replica on that engine. A listed fencing token at or above that of a pending load
//!   proves in any case that the load was executed.
//! - A report that omits a replica proves it absent only if the report's `basis` shows that it was
//!   requested after the replica was known to be loaded or after the engine accepted its load.
//!   Announcements that engines push have basis 0 and never prove absence.
//! - An engine that accepted a load must list the replica, with `loading` set while the load runs, in
//!   every later report.
//!
//! # Engines that ignore fencing tokens
//!
//! A copy of a load that arrives after the unload loads the replica again, and a copy of an unload
//! that arrives after a new load removes the replica. Therefore:
//!
//! - While sends of a load are open, the unloaded replica stays [`Phase::Doubtful`]: it counts
//!   against the limit and its memory stays reserved.
//! - While sends of an unload are open, the replica can be neither loaded nor returned to service.
//!
//! Both states end when the open sends are answered or a new incarnation registers. Only resent
//! commands and commands of a leader that lost its leadership lead to them, since a command with one
//! send has no open send after its answer.
//!
//! An engine that checks tokens refuses a token below the highest that it executed for the replica,
//! also after an unload. There, an accepted later command proves that no earlier one can still be
//! executed.
//!
//! # Lost engines
//!
//! The replicas of a lost engine, one whose lease expired, stay decided, count against the limit and
//! keep their reservations. A load with `replace_lost` marks as many of them replaced as the limit
//! requires. Replaced replicas no longer count; when the engine returns, [`Ledger::surplus`] lists
//! those to drain. Without `replace_lost` (settings that prefer waiting to holding two replicas),
//! replicas on lost engines keep new ones from loading. A lost engine that was forgotten registers
//! again only under a larger incarnation.

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

/// Maximum number of registered engines; a new one beyond it is refused with [`Refusal::Full`].
pub const MAX_ENGINES: usize = 5_000;
/// Maximum number of replicas per engine. Beyond it, loads are refused with [`Refusal::Full`] and
/// replicas that only a report shows are not recorded.
pub const MAX_REPLICAS_PER_ENGINE: usize = 256;
/// Maximum number of forgotten engines whose incarnations are kept. Beyond it, the incarnation that
/// was added first is dropped, and that engine may register under its old incarnation again.
pub const MAX_FORGOTTEN: usize = 10_000;

record! { data =>
    /// Registered engines, their replicas and the commands that may still reach them.
    #[derive(Default)]
    pub struct Ledger {
        engines: BTreeMap<Name, Engine>,
        /// By token: unresolved commands, and settled ones that still have open sends.
        commands: BTreeMap<u64, CommandRecord>,
        /// Last incarnation of each forgotten engine; it and smaller ones can't register.
        forgotten: BTreeMap<Name, u64>,
        /// The keys of `forgotten` in order of insertion.
        forgotten_order: VecDeque<Name>,
    }
}

impl Ledger {
    /// Applies one log entry; a refusal changes nothing.
    ///
    /// `index` is the entry's log index and must increase with each call.
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

    /// Adds an engine or updates its properties. A larger incarnation replaces the earlier one and
    /// drops its replicas and commands.
    ///
    /// # Errors
    ///
    /// - [`Refusal::Stale`]: the incarnation is smaller than the registered one, or was forgotten.
    /// - [`Refusal::Incarnation`]: memory or fencing differ within one incarnation.
    /// - [`Refusal::Full`]: [`MAX_ENGINES`] engines are registered.
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
