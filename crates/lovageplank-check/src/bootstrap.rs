//! Model of the bootstrap of a control group.
//!
//! Links come up in any order, and processes restart. The platform reports a new deployment only
//! at the first start of a process, so a restarted process gets no initial voters. A restarted
//! process that may vote keeps its identity and its group; an observer keeps neither.

use crate::Model;
use lovageplank_core::consensus::{Id, MemberInfo, Membership};
use lovageplank_core::fleet::bootstrap::{Bootstrap, FOUNDING_WAIT_MS, Peer};
use lovageplank_core::prelude::*;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A fault that the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A restarted process gets the initial voters again, as if the deployment were new.
    FoundersAfterRestart,
    /// A process that may vote restarts with a new identity and without its group, as if it had
    /// lost its disk while the group is being formed.
    NewIdentity,
}

impl Mutant {
    /// Each mutant with its name on the command line.
    pub const NAMED: [(&str, Mutant); 2] = [
        ("founders-after-restart", Mutant::FoundersAfterRestart),
        ("new-identity", Mutant::NewIdentity),
    ];
}

/// Model of processes that bootstrap a control group.
#[derive(Clone, Debug)]
pub struct BootstrapModel {
    /// Whether each process may vote.
    can_vote: Vec<bool>,
    /// Number of initial voters, which are the first processes.
    initial_voter_count: usize,
    /// Maximum number of restarts in a trace, of all processes together.
    restarts: u32,
    /// Maximum number of waits in a trace, of all processes together.
    waits: u32,
    mutant: Option<Mutant>,
}

/// An event at a process or on a link. Processes are given by index.
#[derive(Clone, Debug)]
pub enum Action {
    /// A link between two processes comes up.
    Connect(usize, usize),
    /// The oldest frame in flight from the first process to the second is delivered.
    Deliver(usize, usize),
    /// A process restarts, and its links go down.
    Restart(usize),
    /// A process waits as long as initial voters may stay away.
    Wait(usize),
}

/// A process and the group that it belongs to, if any.
#[derive(Clone, Debug)]
struct Process {
    id: Id,
    bootstrap: Bootstrap,
    group: Option<Membership>,
    now: Millis,
}

/// Frames in flight from one process to another: the sender's identity and the group that it
/// reports.
type FrameQueue = VecDeque<(Id, Option<Membership>)>;

/// State of the processes and the links.
#[derive(Clone, Debug)]
pub struct State {
    processes: Vec<Process>,
    /// Frames by sender and receiver; two linked processes have a queue in each direction.
    links: BTreeMap<(usize, usize), FrameQueue>,
    /// Restarts that may still happen.
    restarts: u32,
    /// Waits that may still happen.
    waits: u32,
    /// Groups that a majority of their voters has adopted at some time, by these voters.
    chosen: BTreeSet<Vec<Id>>,
    /// Identity of the next process that restarts without its own.
    next_id: u64,
}

impl BootstrapModel {
    /// Creates a model with one process for each element of `can_vote`, which states whether the
    /// process may vote. The first `initial_voter_count` processes are the initial voters. A trace
    /// has at most `restarts` restarts.
    pub fn new(can_vote: &[bool], initial_voter_count: usize, restarts: u32) -> BootstrapModel {
        BootstrapModel {
            can_vote: can_vote.to_vec(),
            initial_voter_count,
            restarts,
            waits: 0,
            mutant: None,
        }
    }

    /// Sets how often processes may wait as long as initial voters may stay away.
    #[must_use]
    pub fn waits(self, waits: u32) -> BootstrapModel {
        BootstrapModel { waits, ..self }
    }

    /// Sets the fault to inject, if any.
    #[must_use]
    pub fn mutant(self, mutant: Option<Mutant>) -> BootstrapModel {
        BootstrapModel { mutant, ..self }
    }

    fn peer(&self, index: usize) -> Peer {
        Peer {
            member: MemberInfo::new(process_name(index), process_name(index)),
            can_vote: self.can_vote[index],
        }
    }

    fn initial_voters(&self) -> Vec<Name> {
        (0..self.initial_voter_count).map(process_name).collect()
    }

    fn restart(&self, state: &mut State, index: usize) {
        state.links.retain(|(a, b), _| *a != index && *b != index);
        let old_id = state.processes[index].id;
        for process in &mut state.processes {
            process.bootstrap.remove_peer(old_id);
        }
        let keeps_identity = self.can_vote[index] && self.mutant != Some(Mutant::NewIdentity);
        let group = state.processes[index]
            .group
            .take()
            .filter(|_| keeps_identity);
        let id = if keeps_identity {
            old_id
        } else {
            Id(state.next_id)
        };
        state.next_id += 1;
        let initial_voters = match self.mutant {
            Some(Mutant::FoundersAfterRestart) => self.initial_voters(),
            Some(Mutant::NewIdentity) | None => Vec::new(),
        };
        let formed = group.is_some();
        state.processes[index] = Process {
            id,
            bootstrap: Bootstrap::new(id, self.peer(index), initial_voters, formed),
            group,
            now: 0,
        };
    }

    /// Designates or forms a group if the process can, and then sends the group to all processes
    /// linked to it.
    fn advance(state: &mut State, index: usize) {
        let process = &mut state.processes[index];
        let designated = process.bootstrap.designate().is_some();
        let formed = process.bootstrap.form(process.now);
        let changed = designated || formed.is_some();
        process.group = formed.or(process.group.take());
        state.note_chosen();
        if !changed {
            return;
        }
        let frame = state.frame(index);
        for ((from, _), frames) in &mut state.links {
            if *from == index {
                frames.push_back(frame.clone());
            }
        }
    }
}

impl State {
    /// Notes groups that a majority of their voters has adopted. Only such a group can elect a leader.
    fn note_chosen(&mut self) {
        let groups = self.processes.iter().filter_map(|p| p.group.as_ref());
        let groups: BTreeSet<Vec<Id>> = groups.map(voters).collect();
        for group in groups {
            let has_adopted = |process: &&Process| {
                group.contains(&process.id)
                    && process.group.as_ref().map(voters).as_ref() == Some(&group)
            };
            let adopted = self.processes.iter().filter(has_adopted).count();
            if adopted > group.len() / 2 {
                self.chosen.insert(group);
            }
        }
    }

    /// Returns the frame that a process sends: its identity, and its group or else the group that
    /// it designated.
    fn frame(&self, index: usize) -> (Id, Option<Membership>) {
        let process = &self.processes[index];
        let designated = process.bootstrap.designated();
        let group = process.group.as_ref().or(designated);
        (process.id, group.cloned())
    }
}

impl Model for BootstrapModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let ids = (1..).map(Id);
        let processes = (0..self.can_vote.len())
            .zip(ids)
            .map(|(index, id)| Process {
                id,
                bootstrap: Bootstrap::new(id, self.peer(index), self.initial_voters(), false),
                group: None,
                now: 0,
            });
        let mut state = State {
            processes: processes.collect(),
            links: BTreeMap::new(),
            restarts: self.restarts,
            waits: self.waits,
            chosen: BTreeSet::new(),
            next_id: 100,
        };
        for index in 0..self.can_vote.len() {
            BootstrapModel::advance(&mut state, index);
        }
        vec![state]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let count = self.can_vote.len();
        let mut actions = Vec::new();
        for a in 0..count {
            for b in a + 1..count {
                if !state.links.contains_key(&(a, b)) {
                    actions.push(Action::Connect(a, b));
                }
            }
            if state.restarts > 0 {
                actions.push(Action::Restart(a));
            }
            if state.waits > 0 {
                actions.push(Action::Wait(a));
            }
        }
        let deliverable = state.links.iter().filter(|(_, frames)| !frames.is_empty());
        actions.extend(deliverable.map(|((from, to), _)| Action::Deliver(*from, *to)));
        actions
    }

    fn next(&self, state: &State, action: &Action) -> State {
        let mut state = state.clone();
        match *action {
            Action::Connect(a, b) => {
                let (frame_from_a, frame_from_b) = (state.frame(a), state.frame(b));
                state.links.insert((a, b), VecDeque::from([frame_from_a]));
                state.links.insert((b, a), VecDeque::from([frame_from_b]));
            }
            Action::Deliver(from, to) => {
                let frames = state.links.get_mut(&(from, to));
                if let Some((id, group)) = frames.and_then(VecDeque::pop_front) {
                    let peer = self.peer(from);
                    state.processes[to].bootstrap.update_peer(id, peer, group);
                    BootstrapModel::advance(&mut state, to);
                }
            }
            Action::Wait(index) => {
                state.waits -= 1;
                state.processes[index].now += FOUNDING_WAIT_MS;
                BootstrapModel::advance(&mut state, index);
            }
            Action::Restart(index) => {
                state.restarts -= 1;
                self.restart(&mut state, index);
                BootstrapModel::advance(&mut state, index);
            }
        }
        state
    }

    fn fingerprint(&self, state: &State) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{state:?}").hash(&mut hasher);
        hasher.finish()
    }

    fn check(&self, state: &State) -> Result<(), String> {
        let groups = state.processes.iter().filter_map(|p| p.group.as_ref());
        let groups: BTreeSet<Vec<&Id>> = groups.map(|g| g.voters.keys().collect()).collect();
        if groups.len() > 1 && self.waits == 0 {
            return Err(format!("one group: {groups:?}"));
        }
        // A majority may form a group that others don't adopt, which then has no leader.
        if state.chosen.len() > 1 {
            return Err(format!("one group: {:?}", state.chosen));
        }
        let observers = (0..self.can_vote.len()).filter(|index| !self.can_vote[*index]);
        let mut observers = observers.map(|index| state.processes[index].id);
        if observers.any(|id| groups.iter().flatten().any(|voter| **voter == id)) {
            return Err("observers don't vote".into());
        }
        Ok(())
    }
}

/// The identities of a group's voters.
fn voters(group: &Membership) -> Vec<Id> {
    group.voters.keys().copied().collect()
}

fn process_name(index: usize) -> Name {
    format!("host-{index}").into()
}
