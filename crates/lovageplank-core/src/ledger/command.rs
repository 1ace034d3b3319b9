//! Commands, their sends and their answers.

use super::{Ledger, Outcome, Pair, Phase, Refusal, Reply};
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
    pub struct Record {
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
        pub open: BTreeSet<u32>,
        /// Index of the first answer by which the engine took it.
        pub answered_at: Option<u64>,
        /// Whether its effect is known; kept then only for its open sends.
        pub settled: bool,
        /// Whether a copy of an old load was open when this unload was committed, so that it may be
        /// executed after the unload.
        pub raced: bool,
        /// The replica's phase before it.
        pub(super) before: Phase,
    }
}

impl Ledger {
    /// Commits a command; the caller has checked that it may be.
    pub(super) fn command(
        &mut self,
        index: u64,
        replica: &ReplicaId,
        op: Op,
        before: Phase,
    ) -> Result<Reply, Refusal> {
        let fencing = self.engine_mut(&replica.engine)?.fencing;
        let raced = op == Op::Unload && !fencing && self.stray(replica, &Op::Load).is_some();
        let record = Record {
            token: index,
            replica: replica.clone(),
            incarnation: self.engine_mut(&replica.engine)?.incarnation,
            op,
            sends: 1,
            open: BTreeSet::from([1]),
            answered_at: None,
            settled: false,
            raced,
            before,
        };
        self.commands.insert(index, record.clone());
        Ok(Reply::Command(record))
    }

    /// Refuses while a load or unload of any version of the model on the engine is unresolved.
    pub(super) fn idle(&self, replica: &ReplicaId) -> Result<(), Refusal> {
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
    pub(super) fn stray(&self, replica: &ReplicaId, op: &Op) -> Option<u64> {
        let mut commands = self.commands.values();
        let stray = commands.find(|c| c.settled && c.op == *op && c.replica == *replica)?;
        Some(stray.token)
    }

    pub(super) fn resend(&mut self, token: u64) -> Result<Reply, Refusal> {
        let record = self.commands.get_mut(&token).filter(|c| !c.settled);
        let record = record.ok_or(Refusal::UnknownCommand)?;
        if record.open.len() >= MAX_OPEN_SENDS {
            return Err(Refusal::Full);
        }
        record.sends += 1;
        record.open.insert(record.sends);
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
        if !record.open.remove(&send) {
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
            self.fence_answered(index, &record.replica, token);
        }
        if record.settled {
            self.late(index, &record, accepted);
            return Ok(Reply::Changed);
        }
        match &record.op {
            Op::Load => self.loaded(index, &record, outcome)?,
            Op::Unload => self.unloaded(index, &record, outcome)?,
            Op::LoadAdapter(adapter) => self.adapted(&record, adapter, true, outcome),
            Op::UnloadAdapter(adapter) => self.adapted(&record, adapter, false, outcome),
        }
        Ok(Reply::Changed)
    }

    /// An answer to a copy of a command whose effect was known before.
    fn late(&mut self, index: u64, record: &Record, accepted: bool) {
        if accepted
            && record.op == Op::Load
            && let Ok(pair) = self.pair_mut(&record.replica)
        {
            pair.seen_at = index;
        }
        if record.open.is_empty() {
            self.commands.remove(&record.token);
        }
    }

    fn loaded(&mut self, index: u64, record: &Record, outcome: Outcome) -> Result<(), Refusal> {
        let pair = self.pair_mut(&record.replica)?;
        match outcome {
            Outcome::Accepted => pair.seen_at = index,
            Outcome::Done => {
                pair.seen_at = index;
                pair.phase = Phase::Ready;
                self.settle(record.token);
            }
            Outcome::Rejected | Outcome::NotSent if record.answered_at.is_some() => {}
            Outcome::NotSent if !record.open.is_empty() => {}
            // What made it doubtful before is as open as it was.
            Outcome::Rejected | Outcome::NotSent if record.before == Phase::Doubtful => {
                pair.phase = Phase::Doubtful;
                pair.seen_at = index;
                self.settle(record.token);
            }
            Outcome::Rejected | Outcome::NotSent => {
                self.settle(record.token);
                self.close(index, &record.replica);
            }
        }
        Ok(())
    }

    fn unloaded(&mut self, index: u64, record: &Record, outcome: Outcome) -> Result<(), Refusal> {
        let pair = self.pair_mut(&record.replica)?;
        match outcome {
            Outcome::Accepted => {}
            Outcome::Done if record.raced => {
                pair.phase = Phase::Doubtful;
                pair.seen_at = index;
                self.settle(record.token);
                self.engine_mut(&record.replica.engine)?.cleared_at = index;
            }
            Outcome::Done => {
                self.settle(record.token);
                self.close(index, &record.replica);
            }
            Outcome::Rejected | Outcome::NotSent if record.answered_at.is_some() => {}
            // Another copy may have been executed, or be on its way.
            Outcome::Rejected | Outcome::NotSent if !record.open.is_empty() => {}
            Outcome::Rejected | Outcome::NotSent => {
                pair.phase = record.before;
                self.settle(record.token);
            }
        }
        Ok(())
    }

    /// Adapters take no memory of their own, so nothing depends on copies that arrive late.
    fn adapted(&mut self, record: &Record, adapter: &Name, load: bool, outcome: Outcome) {
        if outcome == Outcome::NotSent && !record.open.is_empty() {
            return;
        }
        self.commands.remove(&record.token);
        let Ok(pair) = self.pair_mut(&record.replica) else {
            return;
        };
        match outcome {
            Outcome::Done if load => {
                pair.adapters.insert(adapter.clone());
            }
            // An adapter counts as loaded when a report shows it, else routers would send work too
            // early; one that is to go counts as gone at once.
            Outcome::Accepted if load => {}
            Outcome::Accepted | Outcome::Done => {
                pair.adapters.remove(adapter);
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
        if let Ok(pair) = self.pair_mut(&record.replica) {
            pair.command = None;
        }
        let engine = self.engines.get(&record.replica.engine);
        let fenced = record.op == Op::Unload
            && record.answered_at.is_some()
            && engine.is_some_and(|e| e.fencing);
        if record.open.is_empty() || fenced {
            self.commands.remove(&token);
        }
    }

    /// The engine has executed `token` for the replica, so it refuses older ones if it checks.
    pub(super) fn fence(&mut self, replica: &ReplicaId, token: u64) {
        if self.engines.get(&replica.engine).is_some_and(|e| e.fencing) {
            self.commands
                .retain(|t, c| !(c.settled && *t < token && c.replica == *replica));
        }
    }

    /// An answer fences older commands. If one of them was a load in doubt, it may have been executed
    /// just before: reports that were asked for earlier prove no absence any more.
    fn fence_answered(&mut self, index: u64, replica: &ReplicaId, token: u64) {
        let doubtful = self.stray(replica, &Op::Load).is_some();
        self.fence(replica, token);
        if doubtful && let Ok(pair) = self.pair_mut(replica) {
            pair.seen_at = index;
        }
    }

    /// The replica is not loaded; forgets it unless a copy of an old load may still arrive.
    pub(super) fn close(&mut self, index: u64, replica: &ReplicaId) {
        self.commands.retain(|_, c| {
            let adapter = matches!(c.op, Op::LoadAdapter(_) | Op::UnloadAdapter(_));
            !(adapter && c.replica == *replica)
        });
        let doubtful = self.stray(replica, &Op::Load).is_some();
        let Some(engine) = self.engines.get_mut(&replica.engine) else {
            return;
        };
        engine.cleared_at = index;
        let key = (replica.model.clone(), replica.version.clone());
        if !doubtful {
            engine.pairs.remove(&key);
        } else if let Some(pair) = engine.pairs.get_mut(&key) {
            *pair = Pair {
                phase: Phase::Doubtful,
                command: None,
                adapters: BTreeSet::new(),
                seen_at: index,
                ..pair.clone()
            };
        }
    }
}
