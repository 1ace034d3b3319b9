//! The ledger: engines, the leader that commands them and the messages between them.
//!
//! Two engines, of which the second ignores fencing tokens, each with room for one of two models.
//! Sends, answers and reports are sets: one that is never taken is lost, one taken late is delayed
//! or reordered. A command is duplicated by its resends, each committed under its own number; that
//! the connection itself repeats no send is the ledger's assumption, and [`Mutant::RepeatLoad`]
//! and [`Mutant::RepeatUnload`] show what comes of breaking it. A deposed leader loses the answers and reports that it waited
//! for; what it had committed to send still arrives.
//!
//! An entry that changes nothing takes no index here, so that states differ only in what matters.

mod engine;
mod state;

use crate::Model;
use engine::{CommandMessage, EngineReport};
use lovageplank_core::ledger::{self, Ledger, Load, Observation, Op, Outcome, Phase, Reply};
use lovageplank_core::prelude::*;
pub use state::State;

/// Memory of an engine, in megabytes.
const CAPACITY_MB: u64 = 100;
/// Memory of a replica, in megabytes; an engine has room for one.
const REPLICA_MB: u64 = 60;

record! { copy =>
    /// How often things may happen on one way.
    #[derive(Default)]
    pub struct Budget {
        /// Models, 1 or 2.
        pub models: u8,
        /// Loads committed.
        pub loads: u8,
        /// Unloads committed.
        pub unloads: u8,
        /// Further sends of a command.
        pub resends: u8,
        /// Reports asked for.
        pub asks: u8,
        /// Reports that an engine pushes.
        pub pushes: u8,
        /// Crashes of an engine, each followed by a new incarnation.
        pub crashes: u8,
        /// Leaders deposed.
        pub depositions: u8,
        /// Times that the limit of replicas is raised by one.
        pub raises: u8,
        /// Sends that provably never left.
        pub not_sent: u8,
        /// Sends that an engine refuses for reasons of its own.
        pub refusals: u8,
    }
}

record! { copy =>
    /// A seeded fault of the driver.
    pub enum Mutant {
        /// A command is sent although its entry was never committed.
        SendBeforeCommit,
        /// A pushed report gets the index at which it came in as its basis.
        PushedReportIsProof,
        /// A new leader takes what is unresolved for not sent.
        ForgetUnresolved,
        /// An unload counts as done when it is committed.
        ReuseBeforeProof,
        /// A send reaches whichever incarnation lives.
        AnyIncarnation,
        /// The send of a load may arrive twice.
        RepeatLoad,
        /// The send of an unload may arrive twice.
        RepeatUnload,
        /// A new leader's first entry takes the index of the last one.
        ReuseIndex,
        /// A resent command gets a copy, but the send isn't committed.
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
    /// One thing that may happen.
    pub enum Action {
        /// The leader commits the load of a model on an engine.
        Load(u8, u8),
        /// A load is sent although the entry is lost; with [`Mutant::SendBeforeCommit`] only.
        LoadUncommitted(u8, u8),
        /// The leader drains a replica, if it is ready, and commits its unload.
        Unload(u8, u8),
        /// The leader commits one more send of the command.
        Resend(u64),
        /// A send arrives at its engine.
        Deliver(CommandMessage),
        /// A send arrives and will once more; with a mutant that repeats only.
        Repeat(CommandMessage),
        /// A send provably never left.
        NotSent(CommandMessage),
        /// A send arrives and the engine refuses it.
        Refuse(CommandMessage),
        /// An answer is committed.
        Answer(u64, u32, Outcome),
        /// The leader asks an engine for a report.
        Ask(u8),
        /// The engine answers a question that carries this incarnation and basis.
        Report(u8, u64, u64),
        /// The engine pushes a report.
        Push(u8),
        /// A report is committed.
        Observe(EngineReport),
        /// An engine's load or unload ends.
        Finish(u8, u8),
        /// An engine crashes and comes back empty under a new incarnation.
        Crash(u8),
        /// The engine's new incarnation is committed.
        Register(u8),
        /// Another leader takes over.
        Depose,
        /// The settings allow one more replica of each model.
        Raise,
    }
}

/// The model.
#[derive(Clone, Debug)]
pub struct LedgerModel {
    budget: Budget,
    mutant: Option<Mutant>,
    completes_immediately: bool,
}

impl LedgerModel {
    /// Two engines that hold nothing.
    pub fn new(budget: Budget) -> LedgerModel {
        LedgerModel {
            budget,
            mutant: None,
            completes_immediately: false,
        }
    }

    /// Whether engines end a command when they take it, rather than at any later moment.
    #[must_use]
    pub fn completes_immediately(self, completes_immediately: bool) -> LedgerModel {
        LedgerModel {
            completes_immediately,
            ..self
        }
    }

    /// Sets the seeded fault.
    #[must_use]
    pub fn mutant(self, mutant: impl Into<Option<Mutant>>) -> LedgerModel {
        let mutant = mutant.into();
        LedgerModel { mutant, ..self }
    }

    fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

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
            Action::Finish(engine, model) => {
                next.engines[usize::from(*engine)].finish_operation(*model)
            }
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
