//! Founding of a control group: links that come up in any order, and processes that restart.
//!
//! The platform says that the deployment starts for the first time only at a process's first
//! start; a process that restarts has no founders. One that may vote keeps its identity and its
//! group, an observer nothing.

use crate::Model;
use lovageplank_core::consensus::{Id, MemberInfo, Membership};
use lovageplank_core::fleet::bootstrap::{Bootstrap, Peer};
use lovageplank_core::prelude::*;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A seeded fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A process that restarts still takes the deployment for new.
    FoundersAfterRestart,
    /// A process that may vote gets a new identity at a restart, as if it had lost its disk, while
    /// its group is being founded.
    NewIdentity,
}

impl Mutant {
    /// All by name.
    pub const NAMED: [(&str, Mutant); 2] = [
        ("founders-after-restart", Mutant::FoundersAfterRestart),
        ("new-identity", Mutant::NewIdentity),
    ];
}

/// Processes that are to found a group.
#[derive(Clone, Debug)]
pub struct Founders {
    /// Whether each may vote.
    votes: Vec<bool>,
    /// How many of them, from the first on, found the group.
    first: usize,
    restarts: u32,
    mutant: Option<Mutant>,
}

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Action {
    /// A link between two processes comes up.
    Connect(usize, usize),
    /// The oldest frame from one process to another arrives.
    Deliver(usize, usize),
    /// A process dies and starts again.
    Restart(usize),
}

/// A process.
#[derive(Clone, Debug)]
struct Process {
    id: Id,
    founding: Bootstrap,
    group: Option<Membership>,
}

/// What is on its way between two linked processes.
type Frames = VecDeque<(Id, Option<Membership>)>;

/// Everything.
#[derive(Clone, Debug)]
pub struct State {
    processes: Vec<Process>,
    /// Frames by sender and receiver; both ways are there while the two are linked.
    links: BTreeMap<(usize, usize), Frames>,
    restarts: u32,
    next_id: u64,
}

impl Founders {
    /// Processes that may vote or not, of which the first `first` found the group, and which
    /// restart so often altogether.
    pub fn new(votes: &[bool], first: usize, restarts: u32) -> Founders {
        Founders {
            votes: votes.to_vec(),
            first,
            restarts,
            mutant: None,
        }
    }

    /// Seeds a fault.
    #[must_use]
    pub fn mutant(self, mutant: Option<Mutant>) -> Founders {
        Founders { mutant, ..self }
    }

    fn peer(&self, at: usize) -> Peer {
        Peer {
            member: MemberInfo::new(name(at), name(at)),
            can_vote: self.votes[at],
        }
    }

    fn founders(&self) -> Vec<Name> {
        (0..self.first).map(name).collect()
    }

    fn restart(&self, state: &mut State, at: usize) {
        state.links.retain(|(a, b), _| *a != at && *b != at);
        let old = state.processes[at].id;
        for process in &mut state.processes {
            process.founding.remove_peer(old);
        }
        let keeps = self.votes[at] && self.mutant != Some(Mutant::NewIdentity);
        let group = state.processes[at].group.take().filter(|_| keeps);
        let id = if keeps { old } else { Id(state.next_id) };
        state.next_id += 1;
        let founders = match self.mutant {
            Some(Mutant::FoundersAfterRestart) => self.founders(),
            Some(Mutant::NewIdentity) | None => Vec::new(),
        };
        let formed = group.is_some();
        state.processes[at] = Process {
            id,
            founding: Bootstrap::new(id, self.peer(at), founders, formed),
            group,
        };
    }

    /// A process does what is due, and tells all that it is linked to.
    fn turn(state: &mut State, at: usize) {
        let process = &mut state.processes[at];
        let appointed = process.founding.designate().is_some();
        let formed = process.founding.form();
        let news = appointed || formed.is_some();
        process.group = formed.or(process.group.take());
        if !news {
            return;
        }
        let frame = state.frame(at);
        for ((from, _), frames) in &mut state.links {
            if *from == at {
                frames.push_back(frame.clone());
            }
        }
    }
}

impl State {
    /// What a process says of its group.
    fn frame(&self, at: usize) -> (Id, Option<Membership>) {
        let process = &self.processes[at];
        let appointed = process.founding.designated();
        let group = process.group.as_ref().or(appointed);
        (process.id, group.cloned())
    }
}

impl Model for Founders {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let ids = (1..).map(Id);
        let processes = (0..self.votes.len()).zip(ids).map(|(at, id)| Process {
            id,
            founding: Bootstrap::new(id, self.peer(at), self.founders(), false),
            group: None,
        });
        let mut state = State {
            processes: processes.collect(),
            links: BTreeMap::new(),
            restarts: self.restarts,
            next_id: 100,
        };
        for at in 0..self.votes.len() {
            Founders::turn(&mut state, at);
        }
        vec![state]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let count = self.votes.len();
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
        }
        let arriving = state.links.iter().filter(|(_, frames)| !frames.is_empty());
        actions.extend(arriving.map(|((from, to), _)| Action::Deliver(*from, *to)));
        actions
    }

    fn next(&self, state: &State, action: &Action) -> State {
        let mut state = state.clone();
        match *action {
            Action::Connect(a, b) => {
                let (of_a, of_b) = (state.frame(a), state.frame(b));
                state.links.insert((a, b), VecDeque::from([of_a]));
                state.links.insert((b, a), VecDeque::from([of_b]));
            }
            Action::Deliver(from, to) => {
                let frames = state.links.get_mut(&(from, to));
                if let Some((id, group)) = frames.and_then(VecDeque::pop_front) {
                    let peer = self.peer(from);
                    state.processes[to].founding.update_peer(id, peer, group);
                    Founders::turn(&mut state, to);
                }
            }
            Action::Restart(at) => {
                state.restarts -= 1;
                self.restart(&mut state, at);
                Founders::turn(&mut state, at);
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
        if groups.len() > 1 {
            return Err(format!("one group: {groups:?}"));
        }
        let observers = (0..self.votes.len()).filter(|at| !self.votes[*at]);
        let mut observers = observers.map(|at| state.processes[at].id);
        if observers.any(|id| groups.iter().flatten().any(|voter| **voter == id)) {
            return Err("observers don't vote".into());
        }
        Ok(())
    }
}

fn name(at: usize) -> Name {
    format!("host-{at}").into()
}
