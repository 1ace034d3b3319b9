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
use engine::{Copy, Report};
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
        Deliver(Copy),
        /// A send arrives and will once more; with a mutant that repeats only.
        Repeat(Copy),
        /// A send provably never left.
        NotSent(Copy),
        /// A send arrives and the engine refuses it.
        Refuse(Copy),
        /// An answer is committed.
        Answer(u64, u32, Outcome),
        /// The leader asks an engine for a report.
        Ask(u8),
        /// The engine answers a question that carries this incarnation and basis.
        Report(u8, u64, u64),
        /// The engine pushes a report.
        Push(u8),
        /// A report is committed.
        Observe(Report),
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
pub struct World {
    budget: Budget,
    mutant: Option<Mutant>,
    at_once: bool,
}

impl World {
    /// Two engines that hold nothing.
    pub fn new(budget: Budget) -> World {
        World {
            budget,
            mutant: None,
            at_once: false,
        }
    }

    /// Whether engines end a command when they take it, rather than at any later moment.
    #[must_use]
    pub fn at_once(self, at_once: bool) -> World {
        World { at_once, ..self }
    }

    /// Sets the seeded fault.
    #[must_use]
    pub fn mutant(self, mutant: impl Into<Option<Mutant>>) -> World {
        let mutant = mutant.into();
        World { mutant, ..self }
    }

    fn has(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn decisions(&self, state: &State, actions: &mut Vec<Action>) {
        let budget = &state.budget;
        for engine in 0..2 {
            for model in 0..budget.models {
                let pair = state
                    .ledger()
                    .replica_state(&engine::replica(engine, model));
                if budget.loads > 0 {
                    actions.push(Action::Load(engine, model));
                    if self.has(Mutant::SendBeforeCommit) {
                        actions.push(Action::LoadUncommitted(engine, model));
                    }
                }
                if budget.unloads > 0 && pair.is_some() {
                    actions.push(Action::Unload(engine, model));
                }
                let held = state.engines[usize::from(engine)].held.get(&model);
                if held.is_some_and(|h| h.loading || h.unloading) {
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

    fn messages(&self, state: &State, actions: &mut Vec<Action>) {
        for copy in &state.copies {
            actions.push(Action::Deliver(copy.clone()));
            let repeat = match copy.op {
                Op::Load => Mutant::RepeatLoad,
                _ => Mutant::RepeatUnload,
            };
            if self.has(repeat) {
                actions.push(Action::Repeat(copy.clone()));
            }
            if state.budget.not_sent > 0 {
                actions.push(Action::NotSent(copy.clone()));
            }
            if state.budget.refusals > 0 {
                actions.push(Action::Refuse(copy.clone()));
            }
        }
        let answers = state.answers.iter();
        actions
            .extend(answers.map(|(token, send, outcome)| Action::Answer(*token, *send, *outcome)));
        let asked = state.asked.iter();
        actions
            .extend(asked.map(|(e, incarnation, basis)| Action::Report(*e, *incarnation, *basis)));
        actions.extend(state.reports.iter().cloned().map(Action::Observe));
    }

    fn decide(&self, state: &mut State, action: &Action) {
        match *action {
            Action::Load(engine, model) => {
                state.budget.loads -= 1;
                let load = state.load(engine, model);
                state.command(&ledger::Action::Load(load));
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
                let before = state.book.clone();
                state.command(&ledger::Action::Resend { token });
                if self.has(Mutant::ResendUncommitted) {
                    state.book = before;
                }
            }
            Action::Raise => {
                state.budget.raises -= 1;
                state.limit += 1;
            }
            Action::Depose => {
                state.budget.depositions -= 1;
                self.depose(state);
            }
            _ => {}
        }
    }

    fn unload(&self, state: &mut State, engine: u8, model: u8) {
        let replica = engine::replica(engine, model);
        state.apply(&ledger::Action::Drain(replica.clone()));
        let reply = state.command(&ledger::Action::Unload(replica));
        if self.has(Mutant::ReuseBeforeProof)
            && let Some(Reply::Command(record)) = reply
        {
            state.resolve(record.token, 1, Outcome::Done);
        }
    }

    fn depose(&self, state: &mut State) {
        state.answers.clear();
        state.asked.clear();
        state.reports.clear();
        if self.has(Mutant::ForgetUnresolved) {
            let ledger = state.ledger().clone();
            for record in ledger.unresolved() {
                for send in &record.open_sends {
                    state.resolve(record.token, *send, Outcome::NotSent);
                }
            }
        }
        if self.has(Mutant::ReuseIndex) {
            state.index -= 1;
        }
    }

    fn deliver(&self, state: &mut State, copy: &Copy) {
        let place = usize::from(copy.engine);
        let mut engine = state.engines[place].clone();
        if engine.incarnation != copy.incarnation && !self.has(Mutant::AnyIncarnation) {
            return;
        }
        let pair = state
            .ledger()
            .replica_state(&engine::replica(copy.engine, copy.model));
        let serves = pair.is_some_and(|p| p.phase == Phase::Ready);
        let outcome = engine.execute(copy, self.at_once);
        if serves && copy.op == Op::Unload && outcome != Outcome::Rejected {
            state.violation = Some("a ready replica is not cut off");
        }
        state.engines[place] = engine;
        state.answers.insert((copy.token, copy.send, outcome));
    }

    fn observe(&self, state: &mut State, report: &Report) {
        let proof = report.basis == 0 && self.has(Mutant::PushedReportIsProof);
        let observation = Observation {
            engine: engine::name(report.engine),
            incarnation: report.incarnation,
            loaded: report.loaded(),
            basis: if proof { state.index } else { report.basis },
        };
        state.apply(&ledger::Action::Observe(observation));
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        vec![State::new(self.budget)]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        self.decisions(state, &mut actions);
        self.messages(state, &mut actions);
        actions
    }

    fn next(&self, state: &State, action: &Action) -> State {
        let mut next = state.clone();
        match action {
            Action::Deliver(copy) => {
                next.copies.remove(copy);
                self.deliver(&mut next, copy);
            }
            Action::Repeat(copy) => self.deliver(&mut next, copy),
            Action::NotSent(copy) => {
                next.budget.not_sent -= 1;
                next.copies.remove(copy);
                next.answers
                    .insert((copy.token, copy.send, Outcome::NotSent));
            }
            Action::Refuse(copy) => {
                next.budget.refusals -= 1;
                next.copies.remove(copy);
                next.answers
                    .insert((copy.token, copy.send, Outcome::Rejected));
            }
            Action::Answer(token, send, outcome) => {
                next.answers.remove(&(*token, *send, *outcome));
                next.resolve(*token, *send, *outcome);
            }
            Action::Ask(engine) => {
                next.budget.asks -= 1;
                let incarnation = next.engines[usize::from(*engine)].incarnation;
                next.asked.insert((*engine, incarnation, next.index));
            }
            Action::Report(engine, incarnation, basis) => {
                next.asked.remove(&(*engine, *incarnation, *basis));
                if next.engines[usize::from(*engine)].incarnation == *incarnation {
                    next.report(*engine, *basis);
                }
            }
            Action::Push(engine) => {
                next.budget.pushes -= 1;
                next.report(*engine, 0);
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
            decision => self.decide(&mut next, decision),
        }
        next.drop_dead(self.has(Mutant::AnyIncarnation));
        next
    }

    fn fingerprint(&self, state: &State) -> u64 {
        state.fingerprint()
    }

    fn check(&self, state: &State) -> Result<(), String> {
        state.check()
    }
}
