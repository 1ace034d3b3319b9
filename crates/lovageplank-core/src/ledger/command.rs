//! Commands to engines, their sends and the outcomes of the sends.

use super::{Ledger, Outcome, Phase, Refusal, ReplicaState, Reply};
use crate::prelude::*;
use crate::view::ReplicaId;

/// Maximum number of open sends per command; beyond it, a resend is refused with [`Refusal::Full`]
/// until the outcome of one of them is committed.
pub const MAX_OPEN_SENDS: usize = 8;

record! { key =>
    /// Operation of a command.
    #[serde(rename_all = "snake_case")]
    pub enum Op {
        /// Load the replica.
        Load,
        /// Unload the replica.
        Unload,
        /// Load the adapter on the replica.
        LoadAdapter(Name),
        /// Unload the adapter from the replica.
        UnloadAdapter(Name),
    }
}

record! { key =>
    /// A committed command to an engine.
    pub struct CommandRecord {
        /// Log index of the record, used as fencing token and command id.
        pub token: u64,
        /// The replica to operate on.
        pub replica: ReplicaId,
        /// Incarnation of the engine; the command must not be sent to any other.
        pub incarnation: u64,
        /// The operation.
        pub op: Op,
        /// Number of sends permitted so far, which is the number of the latest one.
        pub sends: u32,
        /// Numbers of the sends without an outcome, which may still arrive.
        #[serde(rename = "open")]
        pub open_sends: BTreeSet<u32>,
        /// Log index of the first outcome that was `Accepted` or `Done`.
        pub answered_at: Option<u64>,
        /// Whether the command's effect is known or it was superseded; its record is then kept only
        /// for its open sends.
        pub settled: bool,
        /// Whether sends of an earlier load were open when this unload was committed, on an engine
        /// that ignores fencing tokens: a copy of the load may be executed after the unload.
        #[serde(rename = "raced")]
        pub races_with_load: bool,
        /// Phase of the replica before the command. It is restored if an unload, or the load of a
        /// doubtful replica, is not executed.
        #[serde(rename = "before")]
        pub(super) previous_phase: Phase,
    }
}

impl Ledger {
    /// Records a command with its first send; the calling function has checked that it is allowed.
    pub(super) fn commit_command(
        &mut self,
        index: u64,
        replica: &ReplicaId,
        op: Op,
        previous_phase: Phase,
    ) -> Result<Reply, Refusal> {
        let fencing = self.engine_mut(&replica.engine)?.fencing;
        let races_with_load =
            op == Op::Unload && !fencing && self.settled_command(replica, &Op::Load).is_some();
        let record = CommandRecord {
            token: index,
            replica: replica.clone(),
            incarnation: self.engine_mut(&replica.engine)?.incarnation,
            op,
            sends: 1,
            open_sends: BTreeSet::from([1]),
            answered_at: None,
            settled: false,
            races_with_load,
            previous_phase,
        };
        self.commands.insert(index, record.clone());
        Ok(Reply::Command(record))
    }

    /// Returns [`Refusal::Busy`] while a load or unload of any version of the model on the engine is
    /// unresolved.
    pub(super) fn refuse_if_busy(&self, replica: &ReplicaId) -> Result<(), Refusal> {
        let busy = self.commands.values().find(|c| {
            !c.settled
                && matches!(c.op, Op::Load | Op::Unload)
                && c.replica.engine == replica.engine
                && c.replica.model == replica.model
        });
        match busy {
            Some(command) => Err(Refusal::Busy {
                token: command.token,
            }),
            None => Ok(()),
        }
    }

    /// Token of a settled command for the replica of which a copy may still arrive.
    pub(super) fn settled_command(&self, replica: &ReplicaId, op: &Op) -> Option<u64> {
        let mut commands = self.commands.values();
        let command = commands.find(|c| c.settled && c.op == *op && c.replica == *replica)?;
        Some(command.token)
    }

    pub(super) fn resend(&mut self, token: u64) -> Result<Reply, Refusal> {
        let record = self.commands.get_mut(&token).filter(|c| !c.settled);
        let record = record.ok_or(Refusal::UnknownCommand)?;
        if record.open_sends.len() >= MAX_OPEN_SENDS {
            return Err(Refusal::Full);
        }
        record.sends += 1;
        record.open_sends.insert(record.sends);
        Ok(Reply::Command(record.clone()))
    }

    pub(super) fn resolve(
        &mut self,
        index: u64,
        token: u64,
        send: u32,
        outcome: Outcome,
    ) -> Result<Reply, Refusal> {
        let record = self.commands.get_mut(&token);
        let record = record.ok_or(Refusal::UnknownCommand)?;
        if !record.open_sends.remove(&send) {
            let known = (1..=record.sends).contains(&send);
            return if known {
                Ok(Reply::Changed)
            } else {
                Err(Refusal::UnknownCommand)
            };
        }
        let accepted = matches!(outcome, Outcome::Accepted | Outcome::Done);
        if accepted && record.answered_at.is_none() {
            record.answered_at = Some(index);
        }
        let record = record.clone();
        if accepted {
            self.drop_commands_fenced_by_answer(index, &record.replica, token);
        }
        if record.settled {
            self.resolve_settled(index, &record, accepted);
            return Ok(Reply::Changed);
        }
        match &record.op {
            Op::Load => self.resolve_load(index, &record, outcome)?,
            Op::Unload => self.resolve_unload(index, &record, outcome)?,
            Op::LoadAdapter(adapter) => self.resolve_adapter(&record, adapter, true, outcome),
            Op::UnloadAdapter(adapter) => self.resolve_adapter(&record, adapter, false, outcome),
        }
        Ok(Reply::Changed)
    }

    /// Applies the outcome of a send whose command was settled before.
    fn resolve_settled(&mut self, index: u64, record: &CommandRecord, accepted: bool) {
        if accepted
            && record.op == Op::Load
            && let Ok(state) = self.replica_state_mut(&record.replica)
        {
            state.min_report_basis = index;
        }
        if record.open_sends.is_empty() {
            self.commands.remove(&record.token);
        }
    }

    fn resolve_load(
        &mut self,
        index: u64,
        record: &CommandRecord,
        outcome: Outcome,
    ) -> Result<(), Refusal> {
        let state = self.replica_state_mut(&record.replica)?;
        match outcome {
            Outcome::Accepted => state.min_report_basis = index,
            Outcome::Done => {
                state.min_report_basis = index;
                state.phase = Phase::Ready;
                self.settle(record.token);
            }
            Outcome::Rejected | Outcome::NotSent if record.answered_at.is_some() => {}
            Outcome::NotSent if !record.open_sends.is_empty() => {}
            // Sends that made the replica doubtful before this load are still open.
            Outcome::Rejected | Outcome::NotSent if record.previous_phase == Phase::Doubtful => {
                state.phase = Phase::Doubtful;
                state.min_report_basis = index;
                self.settle(record.token);
            }
            Outcome::Rejected | Outcome::NotSent => {
                self.settle(record.token);
                self.mark_not_loaded(index, &record.replica);
            }
        }
        Ok(())
    }

    fn resolve_unload(
        &mut self,
        index: u64,
        record: &CommandRecord,
        outcome: Outcome,
    ) -> Result<(), Refusal> {
        let state = self.replica_state_mut(&record.replica)?;
        match outcome {
            Outcome::Accepted => {}
            Outcome::Done if record.races_with_load => {
                state.phase = Phase::Doubtful;
                state.min_report_basis = index;
                self.settle(record.token);
                self.engine_mut(&record.replica.engine)?.last_removal_index = index;
            }
            Outcome::Done => {
                self.settle(record.token);
                self.mark_not_loaded(index, &record.replica);
            }
            Outcome::Rejected | Outcome::NotSent if record.answered_at.is_some() => {}
            // Another copy may have been executed or may still arrive.
            Outcome::Rejected | Outcome::NotSent if !record.open_sends.is_empty() => {}
            Outcome::Rejected | Outcome::NotSent => {
                state.phase = record.previous_phase;
                self.settle(record.token);
            }
        }
        Ok(())
    }

    /// Applies the outcome of an adapter command. Adapters reserve no memory, so copies that arrive
    /// late need no tracking.
    fn resolve_adapter(
        &mut self,
        record: &CommandRecord,
        adapter: &Name,
        load: bool,
        outcome: Outcome,
    ) {
        if outcome == Outcome::NotSent && !record.open_sends.is_empty() {
            return;
        }
        self.commands.remove(&record.token);
        let Ok(state) = self.replica_state_mut(&record.replica) else {
            return;
        };
        match outcome {
            Outcome::Done if load => {
                state.adapters.insert(adapter.clone());
            }
            // An accepted adapter counts as loaded only when a report lists it, since routers would
            // send it work too early otherwise. One being unloaded counts as unloaded at once.
            Outcome::Accepted if load => {}
            Outcome::Accepted | Outcome::Done => {
                state.adapters.remove(adapter);
            }
            Outcome::Rejected | Outcome::NotSent => {}
        }
    }

    /// Marks a load or unload settled; its record stays only while it has open sends. On an engine that
    /// checks fencing tokens, an accepted unload's record is dropped at once.
    pub(super) fn settle(&mut self, token: u64) {
        let Some(record) = self.commands.get_mut(&token) else {
            return;
        };
        record.settled = true;
        let record = record.clone();
        if let Ok(state) = self.replica_state_mut(&record.replica) {
            state.command = None;
        }
        let engine = self.engines.get(&record.replica.engine);
        let fenced = record.op == Op::Unload
            && record.answered_at.is_some()
            && engine.is_some_and(|e| e.fencing);
        if record.open_sends.is_empty() || fenced {
            self.commands.remove(&token);
        }
    }

    /// Drops the replica's settled commands older than `token`, which the engine has executed: an
    /// engine that checks fencing tokens refuses them. Does nothing for other engines.
    pub(super) fn drop_fenced_commands(&mut self, replica: &ReplicaId, token: u64) {
        if self.engines.get(&replica.engine).is_some_and(|e| e.fencing) {
            self.commands
                .retain(|t, c| !(c.settled && *t < token && c.replica == *replica));
        }
    }

    /// Drops commands fenced by the accepted command `token`. If a settled load had open sends, it may
    /// have been executed just before, so reports requested before this outcome no longer prove
    /// absence.
    fn drop_commands_fenced_by_answer(&mut self, index: u64, replica: &ReplicaId, token: u64) {
        let load_may_arrive = self.settled_command(replica, &Op::Load).is_some();
        self.drop_fenced_commands(replica, token);
        if load_may_arrive && let Ok(state) = self.replica_state_mut(replica) {
            state.min_report_basis = index;
        }
    }

    /// Records that the replica is not loaded: drops its adapter commands and removes it, or makes it
    /// doubtful while a copy of a load may still arrive.
    pub(super) fn mark_not_loaded(&mut self, index: u64, replica: &ReplicaId) {
        self.commands.retain(|_, c| {
            let adapter = matches!(c.op, Op::LoadAdapter(_) | Op::UnloadAdapter(_));
            !(adapter && c.replica == *replica)
        });
        let load_may_arrive = self.settled_command(replica, &Op::Load).is_some();
        let Some(engine) = self.engines.get_mut(&replica.engine) else {
            return;
        };
        engine.last_removal_index = index;
        let key = (replica.model.clone(), replica.version.clone());
        if !load_may_arrive {
            engine.replica_states.remove(&key);
        } else if let Some(state) = engine.replica_states.get_mut(&key) {
            *state = ReplicaState {
                phase: Phase::Doubtful,
                command: None,
                adapters: BTreeSet::new(),
                min_report_basis: index,
                ..state.clone()
            };
        }
    }
}
