//! Model of the settings: two operators, the log, and a state machine that restarts from its
//! snapshot.
//!
//! Each operator drafts a change based on the version that it reads, and sends it. If the answer is
//! lost, the operator may send the same change again. A change that was sent may be delivered once
//! more at any later time, as by a proxy or an earlier leader. The state machine is the production
//! `state::Machine`, so snapshots pass through its real encoding.

use crate::Model;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Change, ChangeId, Edit, Version};
use lovageplank_core::state::{Command, Machine, Reply};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Paths of the settings that the operators change. Both operators may change either setting.
const SETTING_PATHS: [&str; 2] = ["deadline_ms", "queue_limit"];
/// Value set by the first draft of operator 0. Every other draft sets a larger value.
const BASE_VALUE: u64 = 1_000;
/// Difference between the values that the two operators set in drafts of the same number. The
/// values of all drafts differ as long as each operator drafts at most this many changes.
const OPERATOR_VALUE_STEP: u64 = 100;

record! { copy =>
    /// Maximum number of events of each kind in a trace.
    #[derive(Default)]
    pub struct Budget {
        /// Changes that each operator drafts.
        pub drafts: u8,
        /// Answers that are lost, after each of which the operator may send the change again.
        pub lost_answers: u8,
        /// Further deliveries of changes that were sent before.
        pub repeats: u8,
        /// Snapshots that the state machine takes.
        pub snapshots: u8,
        /// Restarts from the last snapshot and the log after it.
        pub restores: u8,
    }
}

record! { copy =>
    /// A fault of the driver that the search must find.
    pub enum Mutant {
        /// A resend has a new id and, as its base, the version in force at the time of the resend.
        ResendFreshId,
        /// A restart loads the snapshot without replaying the log after it.
        RestoreOlder,
        /// The base of a change is replaced by the version in force when the change is applied.
        BlindBase,
        /// The operator sends the whole tree as read, based on a version that was read later.
        TornRead,
        /// A repeated change is answered with the version in force instead of the one that it made.
        AnswerLatest,
        /// A restart replays the log after the snapshot twice.
        ReplayTwice,
        /// A snapshot lacks its last byte.
        TornSnapshot,
    }
}

impl Mutant {
    /// Each mutant with its name on the command line.
    pub const NAMED: [(&str, Mutant); 7] = [
        ("resend-fresh-id", Mutant::ResendFreshId),
        ("restore-older", Mutant::RestoreOlder),
        ("blind-base", Mutant::BlindBase),
        ("torn-read", Mutant::TornRead),
        ("answer-latest", Mutant::AnswerLatest),
        ("replay-twice", Mutant::ReplayTwice),
        ("torn-snapshot", Mutant::TornSnapshot),
    ];
}

record! { copy =>
    /// An event at an operator or the state machine. Operators are given by index.
    pub enum Action {
        /// The operator reads the version and drafts a change of the setting with this index in
        /// `SETTING_PATHS`.
        Draft(u8, u8),
        /// The operator's change is applied, and the operator receives the answer.
        Send(u8),
        /// The operator's change is applied, and the answer is lost.
        SendUnanswered(u8),
        /// The change with this index among those sent before is applied once more.
        Repeat(u8),
        /// The state machine takes a snapshot.
        Snapshot,
        /// The state machine restarts from its last snapshot and the log after it.
        Restore,
    }
}

/// Model of the settings and two operators.
#[derive(Clone, Debug)]
pub struct SettingsModel {
    budget: Budget,
    mutant: Option<Mutant>,
}

/// State of the state machine, the log and the operators.
#[derive(Clone)]
pub struct State {
    machine: Machine,
    /// Commands in the log after the snapshot.
    log: Vec<Command>,
    /// The last snapshot, encoded; until one is taken, a restart replays the whole log.
    snapshot: Option<Arc<[u8]>>,
    operators: [Operator; 2],
    /// The changes sent so far, without duplicates.
    submitted: Vec<Submission>,
    /// The changes that made versions 1, 2 and so on.
    accepted: Vec<Submission>,
    /// Events that may still happen.
    budget: Budget,
    /// The invariant that a step violated, if any.
    violation: Option<&'static str>,
}

#[derive(Clone, Default)]
struct Operator {
    drafted_count: u8,
    /// The change to send, or to send again after a lost answer.
    pending: Option<Submission>,
    /// Whether the pending change was sent and its answer lost.
    unanswered: bool,
}

/// A change and the operator's intent, against which the invariants are checked.
#[derive(Clone, PartialEq)]
struct Submission {
    operator: u8,
    /// Number of the operator's draft, from 0; a resend keeps it.
    draft_number: u8,
    /// The version that the operator read before sending the change.
    read_version: Version,
    path: &'static str,
    value: u64,
    change: Change,
}

impl SettingsModel {
    /// Creates a model of an empty state machine and two operators.
    pub fn new(budget: Budget) -> SettingsModel {
        SettingsModel {
            budget,
            mutant: None,
        }
    }

    /// Sets the fault to inject, if any.
    #[must_use]
    pub fn mutant(self, mutant: impl Into<Option<Mutant>>) -> SettingsModel {
        let mutant = mutant.into();
        SettingsModel { mutant, ..self }
    }

    fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn draft(&self, state: &mut State, operator: u8, path: u8) {
        let draft_number = state.operators[usize::from(operator)].drafted_count;
        let path = SETTING_PATHS[usize::from(path)];
        let value =
            BASE_VALUE + OPERATOR_VALUE_STEP * u64::from(operator) + u64::from(draft_number);
        let read_version = state.machine.settings.version();
        let edit = if self.has_mutant(Mutant::TornRead) {
            state.whole_tree_edit(path, value)
        } else {
            Edit {
                path: path.to_owned(),
                value: Some(value.into()),
            }
        };
        let change = Change {
            id: ChangeId(format!("{operator}-{draft_number}").into()),
            base: read_version,
            author: format!("operator{operator}").into(),
            at_ms: 0,
            edits: vec![edit],
        };
        let operator_state = &mut state.operators[usize::from(operator)];
        operator_state.drafted_count += 1;
        operator_state.unanswered = false;
        operator_state.pending = Some(Submission {
            operator,
            draft_number,
            read_version,
            path,
            value,
            change,
        });
    }

    fn send(&self, state: &mut State, operator: u8, answered: bool) {
        let index = usize::from(operator);
        let version = state.machine.settings.version();
        let operator_state = &mut state.operators[index];
        let Some(mut submission) = operator_state.pending.take() else {
            return;
        };
        if self.has_mutant(Mutant::ResendFreshId) && operator_state.unanswered {
            submission.change.id = ChangeId(format!("{}-again", submission.change.id.0).into());
            submission.change.base = version;
            submission.read_version = version;
        }
        if self.has_mutant(Mutant::TornRead) && !operator_state.unanswered {
            submission.change.base = version;
            submission.read_version = version;
        }
        operator_state.unanswered = !answered;
        operator_state.pending = (!answered).then(|| submission.clone());
        if !state.submitted.contains(&submission) {
            state.submitted.push(submission.clone());
        }
        self.commit_change(state, submission);
    }

    fn commit_change(&self, state: &mut State, mut submission: Submission) {
        let version_before = state.machine.settings.version();
        if self.has_mutant(Mutant::BlindBase) {
            submission.change.base = version_before;
        }
        let command = Command::Change(submission.change.clone());
        let index = state.machine.applied + 1;
        let reply = state.machine.apply(index, &command);
        state.log.push(command);
        let Reply::Changed(mut answer) = reply else {
            return;
        };
        if state.machine.settings.version() > version_before {
            state.accepted.push(submission);
            return;
        }
        if self.has_mutant(Mutant::AnswerLatest) {
            answer.version = version_before;
        }
        // The version is unchanged, so the change was accepted before, and the answer must be the
        // version that it made then.
        let first = usize::try_from(answer.version.0).ok();
        let first = first.and_then(|version| state.accepted.get(version.checked_sub(1)?));
        if first.is_none_or(|first| first.change.id != submission.change.id) {
            state.violation = Some("a resend gets the first answer");
        }
    }

    fn restore(&self, state: &mut State) {
        let snapshot = state.snapshot.as_deref().map(Machine::decode);
        let Ok(mut machine) = snapshot.unwrap_or_else(|| Ok(Machine::default())) else {
            state.violation = Some("a snapshot can be read");
            return;
        };
        let replays = match self.mutant {
            Some(Mutant::RestoreOlder) => 0,
            Some(Mutant::ReplayTwice) => 2,
            _ => 1,
        };
        for _ in 0..replays {
            for command in &state.log {
                machine.apply(machine.applied + 1, command);
            }
        }
        if machine.settings.version() < state.machine.settings.version() {
            state.violation = Some("the version never goes back");
        } else if machine != state.machine {
            state.violation = Some("a restart changes nothing");
        }
        state.machine = machine;
    }
}

impl State {
    /// Returns an edit that replaces the whole tree by a copy with one setting changed.
    fn whole_tree_edit(&self, path: &str, value: u64) -> Edit {
        let tree = self.machine.settings.tree();
        let mut document = tree.get("").ok().flatten().unwrap_or_default();
        document["settings"][path] = value.into();
        Edit {
            path: String::new(),
            value: Some(document),
        }
    }

    fn check(&self) -> Result<(), &'static str> {
        if let Some(violation) = self.violation {
            return Err(violation);
        }
        let mut drafts = BTreeSet::new();
        let mut bases = BTreeSet::new();
        let mut values = BTreeMap::new();
        for accepted in &self.accepted {
            if !drafts.insert((accepted.operator, accepted.draft_number)) {
                return Err("a change applies at most once");
            }
            if !bases.insert(accepted.read_version) {
                return Err("no two accepted changes share a base");
            }
            values.insert(accepted.path, accepted.value);
        }
        for (path, value) in values {
            let actual = self.machine.settings.tree().get(path);
            if actual.ok().flatten().and_then(|actual| actual.as_u64()) != Some(value) {
                return Err("an accepted change stays until a later one overrides it");
            }
        }
        Ok(())
    }
}

impl Model for SettingsModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        vec![State {
            machine: Machine::default(),
            log: Vec::new(),
            snapshot: None,
            operators: [Operator::default(), Operator::default()],
            submitted: Vec::new(),
            accepted: Vec::new(),
            budget: self.budget,
            violation: None,
        }]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let budget = &state.budget;
        let mut actions = Vec::new();
        for operator in 0..2 {
            let operator_state = &state.operators[usize::from(operator)];
            if operator_state.pending.is_some() {
                actions.push(Action::Send(operator));
                if budget.lost_answers > 0 {
                    actions.push(Action::SendUnanswered(operator));
                }
            } else if operator_state.drafted_count < budget.drafts {
                actions.extend([0, 1].map(|path| Action::Draft(operator, path)));
            }
        }
        if budget.repeats > 0 {
            let indices = 0..u8::try_from(state.submitted.len()).unwrap_or(u8::MAX);
            actions.extend(indices.map(Action::Repeat));
        }
        if budget.snapshots > 0 {
            actions.push(Action::Snapshot);
        }
        if budget.restores > 0 {
            actions.push(Action::Restore);
        }
        actions
    }

    fn next(&self, state: &State, action: &Action) -> State {
        let mut next = state.clone();
        match *action {
            Action::Draft(operator, path) => self.draft(&mut next, operator, path),
            Action::Send(operator) => self.send(&mut next, operator, true),
            Action::SendUnanswered(operator) => {
                next.budget.lost_answers -= 1;
                self.send(&mut next, operator, false);
            }
            Action::Repeat(index) => {
                next.budget.repeats -= 1;
                let submission = next.submitted[usize::from(index)].clone();
                self.commit_change(&mut next, submission);
            }
            Action::Snapshot => {
                next.budget.snapshots -= 1;
                let mut bytes = next.machine.encode();
                if self.has_mutant(Mutant::TornSnapshot) {
                    bytes.pop();
                }
                next.snapshot = Some(bytes.into());
                next.log.clear();
            }
            Action::Restore => {
                next.budget.restores -= 1;
                self.restore(&mut next);
            }
        }
        next
    }

    fn fingerprint(&self, state: &State) -> u64 {
        let mut hasher = DefaultHasher::new();
        state.machine.encode().hash(&mut hasher);
        (&state.snapshot, state.budget, state.violation).hash(&mut hasher);
        for command in &state.log {
            command.encode().hash(&mut hasher);
        }
        for operator_state in &state.operators {
            (operator_state.drafted_count, operator_state.unanswered).hash(&mut hasher);
            operator_state
                .pending
                .iter()
                .for_each(|submission| submission.hash(&mut hasher));
        }
        for submission in state.submitted.iter().chain(&state.accepted) {
            submission.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn check(&self, state: &State) -> Result<(), String> {
        state.check().map_err(str::to_owned)
    }
}

impl Hash for Submission {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (
            self.operator,
            self.draft_number,
            self.read_version,
            self.path,
            self.value,
        )
            .hash(hasher);
        Command::Change(self.change.clone()).encode().hash(hasher);
    }
}
