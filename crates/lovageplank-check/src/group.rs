//! The control group: three real consensus nodes, their disks and the network between them.
//!
//! The network is a set of messages. One that is never delivered is lost; one delivered late is
//! reordered; one delivered and kept is duplicated; a leader none of whose messages is delivered
//! is cut off. Each node has its own clock, which moves only when it times out, so no invariant
//! can lean on clocks that agree. A crash keeps the disk. How often the costly things happen is
//! bounded by a [`Budget`], the rest by nothing.
//!
//! Messages that can no longer change their receiver are taken off the network, and with them
//! those of an earlier term than the receiver's: they only tell the sender of the later term.

use crate::Model;
use lovageplank_core::consensus::{
    Body, Config, Entry, Id, Index, Input, MemberInfo, Membership, Message, Mutant, Node, Output,
    Role, Snapshot, StoredState, Term,
};
use lovageplank_core::prelude::*;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

const ELECTION_TIMEOUT_MS: Millis = 10;
/// More than half of the election timeout: the second timeout of a leader that hears nobody ends
/// its office.
const HEARTBEAT_MS: Millis = 6;
/// One entry in each message, so that entries are acknowledged one by one.
const BATCH_BYTES: usize = 0;

record! { copy =>
    /// How often things may happen on one way.
    #[derive(Default)]
    pub struct Budget {
        /// Timeouts of any node.
        pub timeouts: u8,
        /// Proposals to leaders.
        pub proposals: u8,
        /// Crashes, each followed by a restart from the disk.
        pub crashes: u8,
        /// Messages delivered twice.
        pub duplicates: u8,
        /// Snapshots taken.
        pub snapshots: u8,
        /// Reads at leaders.
        pub reads: u8,
    }
}

record! { copy =>
    /// One thing that may happen.
    pub enum Event {
        /// The node's timer runs out.
        Timeout(Id),
        /// A command is proposed to a leader.
        Propose(Id),
        /// The node crashes and starts again from its disk.
        Crash(Id),
        /// The node takes a snapshot of its applied state.
        Snapshot(Id),
        /// A read is asked of a leader.
        Read(Id),
        /// A message arrives.
        Deliver,
        /// A message arrives, and will once more.
        Duplicate,
    }
}

/// An [`Event`] with the message that it is about.
#[derive(Clone)]
pub struct Action {
    event: Event,
    packet: Option<Arc<Packet>>,
}

record! { key =>
    struct Packet {
        from: Id,
        to: Id,
        message: Message,
    }
}

/// The model.
#[derive(Clone, Debug)]
pub struct Group {
    budget: Budget,
    mutant: Option<Mutant>,
    pre_vote: bool,
    disks: BTreeMap<Id, StoredState>,
}

/// State of the nodes and of their environment.
#[derive(Clone)]
pub struct State {
    /// Shared with the states from which only other members have moved.
    members: BTreeMap<Id, Arc<Member>>,
    /// By fingerprint.
    network: BTreeMap<u64, Arc<Packet>>,
    budget: Budget,
    /// The leader of each term so far.
    leaders: BTreeMap<Term, Id>,
    /// What was applied first at each index.
    committed: BTreeMap<Index, Committed>,
    /// What was committed when a read was asked for, by its token.
    reads: BTreeMap<u64, Index>,
    /// The first invariant that a step violated.
    violation: Option<&'static str>,
}

#[derive(Clone)]
struct Committed {
    entry: Arc<Entry>,
    /// Term of the node that applied it first.
    term: Term,
}

#[derive(Clone)]
struct Member {
    node: Node,
    disk: StoredState,
    now: Millis,
    /// Of node and disk.
    fingerprint: u64,
}

impl Group {
    /// Three voters with empty disks.
    pub fn new(budget: Budget) -> Group {
        let disks = (1..=3).map(|id| (Id(id), StoredState::default())).collect();
        Group {
            budget,
            mutant: None,
            pre_vote: false,
            disks,
        }
    }

    /// Seeds a fault into all nodes.
    #[must_use]
    pub fn mutant(self, mutant: impl Into<Option<Mutant>>) -> Group {
        let mutant = mutant.into();
        Group { mutant, ..self }
    }

    /// Switches pre-votes, which make the way to a leader longer.
    #[must_use]
    pub fn pre_vote(self, pre_vote: bool) -> Group {
        Group { pre_vote, ..self }
    }

    /// Lets a node start with this disk. The disks together have to be a state that the
    /// protocol can reach without a commit.
    #[must_use]
    pub fn disk(mut self, id: Id, disk: StoredState) -> Group {
        self.disks.insert(id, disk);
        self
    }

    fn start(&self, id: Id, disk: &StoredState, now: Millis) -> Node {
        let config = Config::new(id, id.0)
            .election_timeout_ms(ELECTION_TIMEOUT_MS)
            .heartbeat_ms(HEARTBEAT_MS)
            .max_batch_bytes(BATCH_BYTES)
            .pre_vote(self.pre_vote)
            .mutant(self.mutant);
        Node::new(config, disk.clone(), self.membership(), now)
    }

    /// The voters.
    pub fn membership(&self) -> Membership {
        let voter = MemberInfo::new("", "");
        self.disks.keys().fold(Membership::default(), |all, id| {
            all.with_voter(*id, voter.clone())
        })
    }

    fn member(&self, id: Id, disk: &StoredState) -> Member {
        let mut member = Member {
            node: self.start(id, disk, 0),
            disk: disk.clone(),
            now: 0,
            fingerprint: 0,
        };
        member.update_fingerprint();
        member
    }
}

impl Model for Group {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let member = |(id, disk): (&Id, &StoredState)| (*id, Arc::new(self.member(*id, disk)));
        vec![State {
            members: self.disks.iter().map(member).collect(),
            network: BTreeMap::new(),
            budget: self.budget,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            reads: BTreeMap::new(),
            violation: None,
        }]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        for (id, member) in &state.members {
            let events = member.events(*id, state.budget).into_iter();
            let packet = None;
            actions.extend(events.map(|event| Action {
                event,
                packet: packet.clone(),
            }));
        }
        for packet in state.network.values() {
            let mut push = |event| {
                let packet = Some(Arc::clone(packet));
                actions.push(Action { event, packet });
            };
            push(Event::Deliver);
            if state.budget.duplicates > 0 {
                push(Event::Duplicate);
            }
        }
        actions
    }

    fn next(&self, state: &State, action: &Action) -> State {
        let mut state = state.clone();
        match action.event {
            Event::Timeout(id) => state.time_out(id),
            Event::Propose(id) => {
                state.budget.proposals -= 1;
                let data = vec![state.budget.proposals];
                state.step(id, Input::Propose { data });
            }
            Event::Crash(id) => {
                state.budget.crashes -= 1;
                state.change(id, |member| {
                    member.node = self.start(id, &member.disk, member.now);
                });
                state.drop_dead();
            }
            Event::Snapshot(id) => {
                state.budget.snapshots -= 1;
                let index = state.members[&id].node.applied();
                let data = Arc::from(Vec::new());
                state.step(id, Input::Snapshot { index, data });
            }
            Event::Read(id) => state.read(id),
            Event::Deliver | Event::Duplicate => state.deliver(action),
        }
        state
    }

    fn fingerprint(&self, state: &State) -> u64 {
        let mut hasher = DefaultHasher::new();
        for member in state.members.values() {
            hasher.write_u64(member.fingerprint);
        }
        for packet in state.network.keys() {
            hasher.write_u64(*packet);
        }
        state.budget.hash(&mut hasher);
        state.leaders.hash(&mut hasher);
        for known in state.committed.values() {
            (known.entry.position(), known.term).hash(&mut hasher);
        }
        state.reads.hash(&mut hasher);
        state.violation.hash(&mut hasher);
        hasher.finish()
    }

    fn check(&self, state: &State) -> Result<(), String> {
        state.violation.map_or(Ok(()), |name| Err(name.to_owned()))
    }
}

impl Member {
    fn events(&self, id: Id, budget: Budget) -> Vec<Event> {
        let leads = self.node.role() == Role::Leader;
        let fresh = self.node.applied() > self.node.snapshot_index();
        [
            (budget.timeouts > 0, Event::Timeout(id)),
            (budget.proposals > 0 && leads, Event::Propose(id)),
            (budget.crashes > 0, Event::Crash(id)),
            (budget.snapshots > 0 && fresh, Event::Snapshot(id)),
            (budget.reads > 0 && leads, Event::Read(id)),
        ]
        .into_iter()
        .filter_map(|(possible, event)| possible.then_some(event))
        .collect()
    }

    /// Whether the node holds an entry, or a snapshot that stands for it.
    fn holds(&self, entry: &Entry) -> bool {
        entry.index <= self.node.snapshot_index() || self.node.entry(entry.index) == Some(entry)
    }

    /// Whether the disk holds an entry, or a snapshot that stands for it.
    fn has_durable(&self, entry: &Entry) -> bool {
        let snapshot = self.disk.snapshot.as_ref();
        snapshot.is_some_and(|snapshot| entry.index <= snapshot.index)
            || self.disk.entries.contains(entry)
    }

    fn update_fingerprint(&mut self) {
        let mut hasher = DefaultHasher::new();
        self.node.fingerprint(&mut hasher);
        self.disk.vote.hash(&mut hasher);
        let snapshot = self.disk.snapshot.as_ref().map(Snapshot::position);
        snapshot.hash(&mut hasher);
        for entry in &self.disk.entries {
            entry.position().hash(&mut hasher);
        }
        self.fingerprint = hasher.finish();
    }

    /// Whether a message can change nothing here, now or later.
    fn ignores(&self, packet: &Packet) -> bool {
        let Message { term, body } = &packet.message;
        if *term != self.node.term() {
            return *term < self.node.term();
        }
        let role = self.node.role();
        let voted_for = self.disk.vote.voted_for;
        match body {
            Body::VoteReply { granted } => !granted || role != Role::Candidate,
            Body::AppendAccepted { .. } | Body::AppendRejected { .. } => role != Role::Leader,
            Body::RequestVote { .. } => voted_for.is_some_and(|id| id != packet.from),
            _ => false,
        }
    }
}

impl State {
    fn time_out(&mut self, id: Id) {
        self.budget.timeouts -= 1;
        if let Some(member) = self.members.get_mut(&id) {
            let member = Arc::make_mut(member);
            member.now = member.now.max(member.node.deadline());
        }
        self.step(id, Input::Tick);
    }

    fn read(&mut self, id: Id) {
        self.budget.reads -= 1;
        let token = u64::from(self.budget.reads);
        let last = self.committed.keys().next_back().copied();
        self.reads.insert(token, last.unwrap_or_default());
        self.step(id, Input::ReadIndex { token });
    }

    fn deliver(&mut self, action: &Action) {
        let Some(packet) = &action.packet else {
            return;
        };
        if action.event == Event::Duplicate {
            self.budget.duplicates -= 1;
        } else {
            self.network.remove(&packet.fingerprint());
        }
        let Packet { from, to, message } = Packet::clone(packet);
        self.step(to, Input::Receive { from, message });
    }

    fn step(&mut self, id: Id, input: Input) {
        let mut outputs = Vec::new();
        self.change(id, |member| {
            outputs = member.node.step(member.now, input);
            for output in &outputs {
                member.disk.apply_persistence(output);
            }
        });
        let term = self.members[&id].node.term();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(id, to, message),
                Output::Apply(entry) => self.apply(entry, term),
                Output::ReadReady { token } => self.check_read(id, token),
                Output::ReadRefused { token, .. } => drop(self.reads.remove(&token)),
                _ => {}
            }
        }
        self.drop_dead();
        self.check_leader(id);
        self.check_disks();
    }

    fn change(&mut self, id: Id, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.members.get_mut(&id) {
            let member = Arc::make_mut(member);
            change(member);
            member.update_fingerprint();
        }
    }

    fn send(&mut self, from: Id, to: Id, mut message: Message) {
        // A later read needs a later round, so rounds matter only while one is waited for; else
        // they would tell apart states that behave equally.
        if self.reads.is_empty() {
            reset_round(&mut message.body);
        }
        let packet = Packet { from, to, message };
        self.network.insert(packet.fingerprint(), Arc::new(packet));
    }

    fn drop_dead(&mut self) {
        let members = &self.members;
        self.network
            .retain(|_, packet| !members[&packet.to].ignores(packet));
    }

    fn apply(&mut self, entry: Entry, term: Term) {
        let known = self.committed.get(&entry.index);
        if known.is_some_and(|known| *known.entry != entry) {
            self.violate("a committed entry is changed");
        }
        self.committed
            .entry(entry.index)
            .or_insert_with(|| Committed {
                entry: Arc::new(entry),
                term,
            });
    }

    fn check_read(&mut self, id: Id, token: u64) {
        if self.reads.remove(&token) > Some(self.members[&id].node.applied()) {
            self.violate("a read misses what was committed before it");
        }
    }

    fn check_leader(&mut self, id: Id) {
        let member = &self.members[&id];
        if member.node.role() != Role::Leader {
            return;
        }
        let term = member.node.term();
        let mut earlier = self.committed.values().filter(|known| known.term < term);
        let holds_all = earlier.all(|known| member.holds(&known.entry));
        if *self.leaders.entry(term).or_insert(id) != id {
            self.violate("two leaders in one term");
        } else if !holds_all {
            self.violate("a leader lacks a committed entry");
        }
    }

    fn check_disks(&mut self) {
        let quorum = self.members.len() / 2 + 1;
        let mut committed = self.committed.values();
        let is_safe = committed.all(|known| {
            let holders = self.members.values();
            let holders = holders.filter(|member| member.has_durable(&known.entry));
            holders.count() >= quorum
        });
        if !is_safe {
            self.violate("a committed entry is on no quorum of disks");
        }
    }

    fn violate(&mut self, invariant: &'static str) {
        self.violation.get_or_insert(invariant);
    }
}

fn reset_round(body: &mut Body) {
    match body {
        Body::Append { round, .. }
        | Body::AppendAccepted { round, .. }
        | Body::AppendRejected { round, .. }
        | Body::Install { round, .. } => *round = 0,
        _ => {}
    }
}

impl Packet {
    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

impl fmt::Debug for Action {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let event = &self.event;
        let Some(packet) = &self.packet else {
            return write!(formatter, "{event:?}");
        };
        let Packet { from, to, message } = packet.as_ref();
        let Message { term, body } = message;
        write!(
            formatter,
            "{event:?} {} -> {} in {term:?}: {body:?}",
            from.0, to.0
        )
    }
}
