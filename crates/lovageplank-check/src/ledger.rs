//! Model of the ledger: two engines, the leader that commands them and the messages between them.
//!
//! Each engine has memory for one replica, of one of at most two models. The second engine ignores
//! fencing tokens. The commands, outcomes and reports in flight are sets: a message that is never
//! taken from its set is lost, and one that is taken late is delayed or reordered. A command is
//! duplicated by its resends, each of which is committed under its own send number. The ledger
//! assumes that the connection itself repeats no send; [`Mutant::RepeatLoad`] and
//! [`Mutant::RepeatUnload`] violate this assumption. When the leader is deposed, the outcomes and
//! reports that it waited for are lost; the commands that it committed and sent may still arrive.
//!
//! A log entry that changes nothing takes no index in this model. Otherwise the index would
//! distinguish states that behave equally.

mod engine;
mod state;

use crate::Model;
use engine::{CommandMessage, EngineReport};
use lovageplank_core::ledger::{self, Ledger, Load, Observation, Op, Outcome, Phase, Reply};
use lovageplank_core::prelude::*;
pub use state::State;

/// Memory of an engine.
const CAPACITY_MB: u64 = 100;
/// Memory of a replica; an engine has memory for only one.
const REPLICA_MB: u64 = 60;

record! { copy =>
    /// Maximum number of events of each kind in a trace; `models` is the number of models.
    #[derive(Default)]
    pub struct Budget {
        /// Number of models, 1 or 2.
        pub models: u8,
        /// Loads that the leader decides.
        pub loads: u8,
        /// Unloads that the leader decides.
        pub unloads: u8,
        /// Resends of commands.
        pub resends: u8,
        /// Reports that the leader requests.
        pub asks: u8,
        /// Reports that engines push without a request.
        pub pushes: u8,
        /// Crashes of engines, each followed by a restart as a new incarnation.
        pub crashes: u8,
        /// Changes of the leader.
        pub depositions: u8,
        /// Increases of the replica limit, each by one.
        pub raises: u8,
        /// Sends that provably don't reach the engine.
        pub not_sent: u8,
        /// Sends that an engine refuses for a reason other than the fencing token.
        pub refusals: u8,
    }
}

record! { copy =>
    /// A fault of the driver that the search must find.
    pub enum Mutant {
        /// A command is sent although its log entry is never committed.
        SendBeforeCommit,
        /// A pushed report is committed with the last log index as its basis, instead of 0.
        PushedReportIsProof,
        /// A new leader resolves all open sends of unresolved commands as not sent.
        ForgetUnresolved,
        /// An unload is resolved as done as soon as it is committed.
        ReuseBeforeProof,
        /// A send is delivered to the engine's current incarnation, whichever one it was sent to.
        AnyIncarnation,
        /// A send of a load may be delivered twice or more often.
        RepeatLoad,
        /// A send of an unload may be delivered twice or more often.
        RepeatUnload,
        /// The first entry of a new leader gets the index of the last entry before it.
        ReuseIndex,
        /// A command is sent again although the resend is not committed.
        ResendUncommitted,
    }
}

impl Mutant {
    /// Each mutant with its name on the command line.
    pub const NAMED: [(&str, Mutant); 9] = [
        ("send-before-commit", Mutant::SendBeforeCommit),
        ("pushed-report-is-proof", Mutant::PushedReportIsProof),
        ("forget-unresolved", Mutant::ForgetUnresolved),
        ("reuse-before-proof", Mutant::ReuseBeforeProof),
        ("any-incarnation", Mutant::AnyIncarnation),
        ("repeat-load", Mutant::RepeatLoad),
        ("repeat-unload", Mutant::RepeatUnload),
        ("reuse-index", Mutant::ReuseIndex),
        ("resend-uncommitted", Mutant::ResendUncommitted),
    ];
}

record! { key =>
    /// An event at the leader, an engine or on the network. Engines and models are given by index.
    pub enum Action {
        /// The leader commits the load of a model on an engine and sends it.
        Load(u8, u8),
        /// The leader sends a load whose log entry is lost; only with [`Mutant::SendBeforeCommit`].
        LoadUncommitted(u8, u8),
        /// The leader drains a replica, if it is ready, and commits and sends its unload.
        Unload(u8, u8),
        /// The leader commits one more send of the command with this token, and sends it.
        Resend(u64),
        /// A command arrives at its engine.
        Deliver(CommandMessage),
        /// A command arrives and stays in flight; only with [`Mutant::RepeatLoad`] or
        /// [`Mutant::RepeatUnload`].
        Repeat(CommandMessage),
        /// A command provably doesn't reach its engine.
        NotSent(CommandMessage),
        /// A command arrives, and the engine refuses it for a reason other than the fencing token.
        Refuse(CommandMessage),
        /// The leader commits the outcome of a send, given by token and send number.
        Answer(u64, u32, Outcome),
        /// The leader requests a report from an engine.
        Ask(u8),
        /// An engine sends the report requested from this incarnation with this basis.
        Report(u8, u64, u64),
        /// An engine pushes a report.
        Push(u8),
        /// The leader commits a report.
        Observe(EngineReport),
        /// An engine completes the load or unload of a model.
        Finish(u8, u8),
        /// An engine crashes and restarts without replicas as a new incarnation.
        Crash(u8),
        /// The leader registers an engine's new incarnation.
        Register(u8),
        /// Another process becomes the leader.
        Depose,
        /// The settings allow one more replica of each model.
        Raise,
    }
}

/// Model of two engines and the leader that commands them.
#[derive(Clone, Debug)]
pub struct LedgerModel {
    budget: Budget,
    mutant: Option<Mutant>,
    completes_immediately: bool,
}

impl LedgerModel {
    /// Creates a model of two engines without replicas, which may complete commands at any time
    /// after receipt.
    pub fn new(budget: Budget) -> LedgerModel {
        LedgerModel {
            budget,
            mutant: None,
            completes_immediately: false,
        }
    }

    /// Sets whether engines complete a command on receipt, rather than at any later time.
    #[must_use]
    pub fn completes_immediately(self, completes_immediately: bool) -> LedgerModel {
        LedgerModel {
            completes_immediately,
            ..self
        }
    }

    /// Sets the fault to inject, if any.
    #[must_use]
    pub fn mutant(self, mutant: impl Into<Option<Mutant>>) -> LedgerModel {
        let mutant = mutant.into();
        LedgerModel { mutant, ..self }
    }

    fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Adds the actions that don't start from a message in flight.
    fn add_component_actions(&self, state: &State, actions: &mut Vec<Action>) {
        let budget = &state.budget;
        for engine in 0..2 {
            for model in 0..budget.models {
                let replica_state = state
                    .ledger()
                    .replica_state(&engine::replica_id(engine, model));
                if budget.loads > 0 {
                    actions.push(Action::Load(engine, model));
                    if self.has_mutant(Mutant::SendBeforeCommit) {
                        actions.push(Action::LoadUncommitted(engine, model));
                    }
                }
                if budget.unloads > 0 && replica_state.is_some() {
                    actions.push(Action::Unload(engine, model));
                }
                let replica = state.engines[usize::from(engine)].replicas.get(&model);
                if replica.is_some_and(|r| r.loading || r.unloading) {
                    actions.push(Action::Finish(engine, model));
                }
            }
            if budget.asks > 0 {
                actions.push(Action::Ask(engine));
            }
            if budget.pushes > 0 {
                actions.push(Action::Push(engine));
            }
            if budget.crashes > 0 {
                actions.push(Action::Crash(engine));
            }
            if state.is_unregistered(engine) {
                actions.push(Action::Register(engine));
            }
        }
        if budget.resends > 0 {
            let tokens = state.ledger().unresolved().map(|r| r.token);
            actions.extend(tokens.map(Action::Resend));
        }
        if budget.depositions > 0 {
            actions.push(Action::Depose);
        }
        if budget.raises > 0 {
            actions.push(Action::Raise);
        }
    }

    /// Adds the actions that take or drop a message in flight.
    fn add_message_actions(&self, state: &State, actions: &mut Vec<Action>) {
        for command in &state.commands {
            actions.push(Action::Deliver(command.clone()));
            let duplicating_mutant = match command.op {
                Op::Load => Mutant::RepeatLoad,
                _ => Mutant::RepeatUnload,
            };
            if self.has_mutant(duplicating_mutant) {
                actions.push(Action::Repeat(command.clone()));
            }
            if state.budget.not_sent > 0 {
                actions.push(Action::NotSent(command.clone()));
            }
            if state.budget.refusals > 0 {
                actions.push(Action::Refuse(command.clone()));
            }
        }
        let outcomes = state.outcomes.iter();
        actions
            .extend(outcomes.map(|(token, send, outcome)| Action::Answer(*token, *send, *outcome)));
        let report_requests = state.report_requests.iter();
        actions.extend(
            report_requests.map(|(e, incarnation, basis)| Action::Report(*e, *incarnation, *basis)),
        );
        actions.extend(state.reports.iter().cloned().map(Action::Observe));
    }

    fn apply_leader_action(&self, state: &mut State, action: &Action) {
        match *action {
            Action::Load(engine, model) => {
                state.budget.loads -= 1;
                let load = state.load_decision(engine, model);
                state.commit_and_send(&ledger::Action::Load(load));
            }
            Action::LoadUncommitted(engine, model) => {
                state.budget.loads -= 1;
                state.send_uncommitted(engine, model);
            }
            Action::Unload(engine, model) => {
                state.budget.unloads -= 1;
                self.unload(state, engine, model);
            }
            Action::Resend(token) => {
                state.budget.resends -= 1;
                let ledger_before = state.shared_ledger.clone();
                state.commit_and_send(&ledger::Action::Resend { token });
                if self.has_mutant(Mutant::ResendUncommitted) {
                    state.shared_ledger = ledger_before;
                }
            }
            Action::Raise => {
                state.budget.raises -= 1;
                state.limit += 1;
            }
            Action::Depose => {
                state.budget.depositions -= 1;
                self.change_leader(state);
            }
            _ => {}
        }
    }

    fn unload(&self, state: &mut State, engine: u8, model: u8) {
        let replica = engine::replica_id(engine, model);
        state.apply(&ledger::Action::Drain(replica.clone()));
        let reply = state.commit_and_send(&ledger::Action::Unload(replica));
        if self.has_mutant(Mutant::ReuseBeforeProof)
            && let Some(Reply::Command(record)) = reply
        {
            state.resolve(record.token, 1, Outcome::Done);
        }
    }

    fn change_leader(&self, state: &mut State) {
        state.outcomes.clear();
        state.report_requests.clear();
        state.reports.clear();
        if self.has_mutant(Mutant::ForgetUnresolved) {
            let ledger = state.ledger().clone();
            for record in ledger.unresolved() {
                for send in &record.open_sends {
                    state.resolve(record.token, *send, Outcome::NotSent);
                }
            }
        }
        if self.has_mutant(Mutant::ReuseIndex) {
            state.index -= 1;
        }
    }

    fn deliver(&self, state: &mut State, command: &CommandMessage) {
        let index = usize::from(command.engine);
        let mut engine = state.engines[index].clone();
        if engine.incarnation != command.incarnation && !self.has_mutant(Mutant::AnyIncarnation) {
            return;
        }
        let replica_state = state
            .ledger()
            .replica_state(&engine::replica_id(command.engine, command.model));
        let is_ready = replica_state.is_some_and(|s| s.phase == Phase::Ready);
        let outcome = engine.execute(command, self.completes_immediately);
        if is_ready && command.op == Op::Unload && outcome != Outcome::Rejected {
            state.violation = Some("a ready replica is not cut off");
        }
        state.engines[index] = engine;
        state
            .outcomes
            .insert((command.token, command.send, outcome));
    }

    fn observe(&self, state: &mut State, report: &EngineReport) {
        let is_proof = report.basis == 0 && self.has_mutant(Mutant::PushedReportIsProof);
        let observation = Observation {
            engine: engine::name(report.engine),
            incarnation: report.incarnation,
            loaded: report.loaded(),
            basis: if is_proof { state.index } else { report.basis },
        };
        state.apply(&ledger::Action::Observe(observation));
    }
}

impl Model for LedgerModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        vec![State::new(self.budget)]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        self.add_component_actions(state, &mut actions);
        self.add_message_actions(state, &mut actions);
        actions
    }

    fn next(&self, state: &State, action: &Action) -> State {
        let mut next = state.clone();
        match action {
            Action::Deliver(command) => {
                next.commands.remove(command);
                self.deliver(&mut next, command);
            }
            Action::Repeat(command) => self.deliver(&mut next, command),
            Action::NotSent(command) => {
                next.budget.not_sent -= 1;
                next.commands.remove(command);
                next.outcomes
                    .insert((command.token, command.send, Outcome::NotSent));
            }
            Action::Refuse(command) => {
                next.budget.refusals -= 1;
                next.commands.remove(command);
                next.outcomes
                    .insert((command.token, command.send, Outcome::Rejected));
            }
            Action::Answer(token, send, outcome) => {
                next.outcomes.remove(&(*token, *send, *outcome));
                next.resolve(*token, *send, *outcome);
            }
            Action::Ask(engine) => {
                next.budget.asks -= 1;
                let incarnation = next.engines[usize::from(*engine)].incarnation;
                next.report_requests
                    .insert((*engine, incarnation, next.index));
            }
            Action::Report(engine, incarnation, basis) => {
                next.report_requests
                    .remove(&(*engine, *incarnation, *basis));
                if next.engines[usize::from(*engine)].incarnation == *incarnation {
                    next.send_report(*engine, *basis);
                }
            }
            Action::Push(engine) => {
                next.budget.pushes -= 1;
                next.send_report(*engine, 0);
            }
            Action::Observe(report) => {
                next.reports.remove(report);
                self.observe(&mut next, report);
            }
            Action::Finish(engine, model) => next.engines[usize::from(*engine)].finish(*model),
            Action::Crash(engine) => {
                next.budget.crashes -= 1;
                next.crash(*engine);
            }
            Action::Register(engine) => next.register(*engine),
            other => self.apply_leader_action(&mut next, other),
        }
        next.remove_undeliverable(self.has_mutant(Mutant::AnyIncarnation));
        next
    }

    fn fingerprint(&self, state: &State) -> u64 {
        state.fingerprint()
    }

    fn check(&self, state: &State) -> Result<(), String> {
        state.check()
    }
}
