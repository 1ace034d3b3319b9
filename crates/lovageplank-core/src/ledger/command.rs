//! Commands, their sends and their answers.

use super::{Ledger, Outcome, Phase, Refusal, ReplicaState, Reply};
use crate::prelude::*;
use crate::view::ReplicaId;

/// Most sends of one command that may be open at once.
pub const MAX_OPEN_SENDS: usize = 8;

record! { key =>
    /// What a command asks of an engine.
    #[serde(rename_all = "snake_case")]
    pub enum Op {
        /// Load the replica.
        Load,
        /// Unload the replica.
        Unload,
        /// Load an adapter on the replica.
        LoadAdapter(Name),
        /// Unload an adapter of the replica.
        UnloadAdapter(Name),
    }
}

record! { key =>
    /// A committed command.
    pub struct CommandRecord {
        /// Log index of the record; the fencing token and the command's id.
        pub token: u64,
        /// The replica that it concerns.
        pub replica: ReplicaId,
        /// The engine's incarnation; the command must reach no other.
        pub incarnation: u64,
        /// What it asks.
        pub op: Op,
        /// Sends permitted so far; the last one's number.
        pub sends: u32,
        /// Numbers of the sends that may still arrive.
        #[serde(rename = "open")]
        pub open_sends: BTreeSet<u32>,
        /// Index of the first answer by which the engine took it.
        pub answered_at: Option<u64>,
        /// Whether its effect is known; kept then only for its open sends.
        pub settled: bool,
        /// Whether a copy of an old load was open when this unload was committed, so that it may be
        /// executed after the unload.
        #[serde(rename = "raced")]
        pub races_with_load: bool,
        /// The replica's phase before it.
        #[serde(rename = "before")]
        pub(super) previous_phase: Phase,
    }
}

impl Ledger {
    /// Commits a command; the caller has checked that it may be.
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

    /// Refuses while a load or unload of any version of the model on the engine is unresolved.
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

    /// A settled command for the replica of which a copy may still arrive.
    pub(super) fn settled_command(&self, replica: &ReplicaId, op: &Op) -> Option<u64> {
        let mut commands = self.commands.values();
        let stray = commands.find(|c| c.settled && c.op == *op && c.replica == *replica)?;
        Some(stray.token)
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

    /// An answer to a copy of a command whose effect was known before.
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
            // What made it doubtful before is as open as it was.
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
            // Another copy may have been executed, or be on its way.
            Outcome::Rejected | Outcome::NotSent if !record.open_sends.is_empty() => {}
            Outcome::Rejected | Outcome::NotSent => {
                state.phase = record.previous_phase;
                self.settle(record.token);
            }
        }
        Ok(())
    }

    /// Adapters take no memory of their own, so nothing depends on copies that arrive late.
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
            // An adapter counts as loaded when a report shows it, else routers would send work too
            // early; one that is to go counts as gone at once.
            Outcome::Accepted if load => {}
            Outcome::Accepted | Outcome::Done => {
                state.adapters.remove(adapter);
            }
            Outcome::Rejected | Outcome::NotSent => {}
        }
    }

    /// The effect of a load or unload is known; its record stays only for open sends.
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

    /// The engine has executed `token` for the replica, so it refuses older ones if it checks.
    pub(super) fn drop_fenced_commands(&mut self, replica: &ReplicaId, token: u64) {
        if self.engines.get(&replica.engine).is_some_and(|e| e.fencing) {
            self.commands
                .retain(|t, c| !(c.settled && *t < token && c.replica == *replica));
        }
    }

    /// An answer fences older commands. If one of them was a load in doubt, it may have been executed
    /// just before: reports that were asked for earlier prove no absence any more.
    fn drop_commands_fenced_by_answer(&mut self, index: u64, replica: &ReplicaId, token: u64) {
        let load_may_arrive = self.settled_command(replica, &Op::Load).is_some();
        self.drop_fenced_commands(replica, token);
        if load_may_arrive && let Ok(state) = self.replica_state_mut(replica) {
            state.min_report_basis = index;
        }
    }

    /// The replica is not loaded; forgets it unless a copy of an old load may still arrive.
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
