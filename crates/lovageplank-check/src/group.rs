//! Model of the control group: three production consensus nodes, their disks and the network.
//!
//! The network is a set of messages. A message that is never delivered is lost, one that is
//! delivered after later ones is reordered, and one that stays in the set when it is delivered is
//! duplicated. A leader none of whose messages is delivered is partitioned. Each node has its own
//! clock, which advances only when the node times out, so no invariant can depend on synchronized
//! clocks. A crash keeps the disk. A [`Budget`] limits how often each kind of event happens in a
//! trace, except [`Event::Deliver`], which is not limited.
//!
//! Messages that can no longer change their receiver are removed from the network. Messages of an
//! earlier term than the receiver's are removed too: the reply to them would only inform the
//! sender of the later term.

use crate::Model;
use lovageplank_core::consensus::{
    Body, Config, Entry, Id, Index, Input, MemberInfo, Membership, Message, Mutant, Node, Output,
    Role, Snapshot, StoredState, Term,
};
use lovageplank_core::prelude::*;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Shortest election timeout of a node, on its own clock.
const ELECTION_TIMEOUT_MS: Millis = 10;
/// More than half of the election timeout, so that a leader that receives no replies steps down at
/// its second timeout.
const HEARTBEAT_INTERVAL_MS: Millis = 6;
/// 0 limits each message to one entry, so that entries are acknowledged one by one.
const MAX_BATCH_BYTES: usize = 0;

record! { copy =>
    /// Maximum number of events of each kind in a trace.
    #[derive(Default)]
    pub struct Budget {
        /// Timeouts, of all nodes together.
        pub timeouts: u8,
        /// Proposals to leaders.
        pub proposals: u8,
        /// Crashes, each followed by a restart from the disk.
        pub crashes: u8,
        /// Deliveries that leave the message on the network, so that it may be delivered twice.
        pub duplicates: u8,
        /// Snapshots that nodes take of their applied state.
        pub snapshots: u8,
        /// Reads requested from leaders.
        pub reads: u8,
    }
}

record! { copy =>
    /// An event at a node or on the network.
    pub enum Event {
        /// The node's timer expires: its clock advances to the node's next deadline.
        Timeout(Id),
        /// A command is proposed to a leader.
        Propose(Id),
        /// The node crashes and restarts from its disk.
        Crash(Id),
        /// The node takes a snapshot of its applied state.
        Snapshot(Id),
        /// A read is requested from a leader.
        Read(Id),
        /// A message is delivered and removed from the network.
        Deliver,
        /// A message is delivered and stays on the network.
        Duplicate,
    }
}

/// An [`Event`] and, if it is a delivery, the message that is delivered.
#[derive(Clone)]
pub struct Action {
    event: Event,
    packet: Option<Arc<Packet>>,
}

record! { key =>
    /// A message on the network.
    struct Packet {
        from: Id,
        to: Id,
        message: Message,
    }
}

/// Model of a control group of three voters.
#[derive(Clone, Debug)]
pub struct GroupModel {
    budget: Budget,
    mutant: Option<Mutant>,
    pre_vote: bool,
    disks: BTreeMap<Id, StoredState>,
}

/// State of the nodes, their disks and the network.
#[derive(Clone)]
pub struct State {
    /// By identity; a member that a step leaves unchanged is shared with the previous state.
    members: BTreeMap<Id, Arc<Member>>,
    /// Messages by fingerprint.
    network: BTreeMap<u64, Arc<Packet>>,
    /// Events that may still happen.
    budget: Budget,
    /// First leader of each term.
    leaders: BTreeMap<Term, Id>,
    /// The entry that was applied first at each index, by any node.
    committed: BTreeMap<Index, AppliedEntry>,
    /// For each pending read, by token, the last index committed when it was requested.
    reads: BTreeMap<u64, Index>,
    /// The first invariant that was violated.
    violation: Option<&'static str>,
}

/// A committed entry, as first applied by a node.
#[derive(Clone)]
struct AppliedEntry {
    entry: Arc<Entry>,
    /// Term of the node that applied it first.
    term: Term,
}

/// A node with its disk and its clock.
#[derive(Clone)]
struct Member {
    node: Node,
    disk: StoredState,
    now: Millis,
    /// Fingerprint of `node` and `disk`.
    fingerprint: u64,
}

impl GroupModel {
    /// Creates a model of three voters with empty disks, without pre-votes.
    pub fn new(budget: Budget) -> GroupModel {
        let disks = (1..=3).map(|id| (Id(id), StoredState::default())).collect();
        GroupModel {
            budget,
            mutant: None,
            pre_vote: false,
            disks,
        }
    }

    /// Injects a fault into all nodes.
    #[must_use]
    pub fn mutant(self, mutant: impl Into<Option<Mutant>>) -> GroupModel {
        let mutant = mutant.into();
        GroupModel { mutant, ..self }
    }

    /// Sets whether elections start with a pre-vote, which lengthens the traces to a leader.
    #[must_use]
    pub fn pre_vote(self, pre_vote: bool) -> GroupModel {
        GroupModel { pre_vote, ..self }
    }

    /// Sets the disk from which the node `id` starts. The disks together must be a state that the
    /// protocol can reach without committing an entry.
    #[must_use]
    pub fn disk(mut self, id: Id, disk: StoredState) -> GroupModel {
        self.disks.insert(id, disk);
        self
    }

    fn new_node(&self, id: Id, disk: &StoredState, now: Millis) -> Node {
        let config = Config::new(id, id.0)
            .election_timeout_ms(ELECTION_TIMEOUT_MS)
            .heartbeat_ms(HEARTBEAT_INTERVAL_MS)
            .max_batch_bytes(MAX_BATCH_BYTES)
            .pre_vote(self.pre_vote)
            .mutant(self.mutant);
        Node::new(config, disk.clone(), self.membership(), now)
    }

    /// Returns the membership with which each node starts.
    pub fn membership(&self) -> Membership {
        let voter = MemberInfo::new("", "");
        self.disks.keys().fold(Membership::default(), |all, id| {
            all.with_voter(*id, voter.clone())
        })
    }

    fn new_member(&self, id: Id, disk: &StoredState) -> Member {
        let mut member = Member {
            node: self.new_node(id, disk, 0),
            disk: disk.clone(),
            now: 0,
            fingerprint: 0,
        };
        member.update_fingerprint();
        member
    }
}

impl Model for GroupModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let member = |(id, disk): (&Id, &StoredState)| (*id, Arc::new(self.new_member(*id, disk)));
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
            let events = member.enabled_events(*id, state.budget).into_iter();
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
            Event::Timeout(id) => state.expire_timer(id),
            Event::Propose(id) => {
                state.budget.proposals -= 1;
                let data = vec![state.budget.proposals];
                state.step(id, Input::Propose { data });
            }
            Event::Crash(id) => {
                state.budget.crashes -= 1;
                state.update_member(id, |member| {
                    member.node = self.new_node(id, &member.disk, member.now);
                });
                state.remove_ignored_messages();
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
        for applied in state.committed.values() {
            (applied.entry.position(), applied.term).hash(&mut hasher);
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
    fn enabled_events(&self, id: Id, budget: Budget) -> Vec<Event> {
        let is_leader = self.node.role() == Role::Leader;
        let can_snapshot = self.node.applied() > self.node.snapshot_index();
        [
            (budget.timeouts > 0, Event::Timeout(id)),
            (budget.proposals > 0 && is_leader, Event::Propose(id)),
            (budget.crashes > 0, Event::Crash(id)),
            (budget.snapshots > 0 && can_snapshot, Event::Snapshot(id)),
            (budget.reads > 0 && is_leader, Event::Read(id)),
        ]
        .into_iter()
        .filter_map(|(enabled, event)| enabled.then_some(event))
        .collect()
    }

    /// Whether the node has the entry, or a snapshot that includes it.
    fn node_has(&self, entry: &Entry) -> bool {
        entry.index <= self.node.snapshot_index() || self.node.entry(entry.index) == Some(entry)
    }

    /// Whether the disk has the entry, or a snapshot that includes it.
    fn disk_has(&self, entry: &Entry) -> bool {
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

    /// Whether the message can change this member neither now nor later.
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
    fn expire_timer(&mut self, id: Id) {
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
        self.update_member(id, |member| {
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
        self.remove_ignored_messages();
        self.check_leader(id);
        self.check_durability();
    }

    fn update_member(&mut self, id: Id, update: impl FnOnce(&mut Member)) {
        if let Some(member) = self.members.get_mut(&id) {
            let member = Arc::make_mut(member);
            update(member);
            member.update_fingerprint();
        }
    }

    fn send(&mut self, from: Id, to: Id, mut message: Message) {
        // Heartbeat rounds matter only while a read is pending, since a later read waits for a
        // later round. At other times they would distinguish states that behave equally.
        if self.reads.is_empty() {
            reset_round(&mut message.body);
        }
        let packet = Packet { from, to, message };
        self.network.insert(packet.fingerprint(), Arc::new(packet));
    }

    fn remove_ignored_messages(&mut self) {
        let members = &self.members;
        self.network
            .retain(|_, packet| !members[&packet.to].ignores(packet));
    }

    fn apply(&mut self, entry: Entry, term: Term) {
        let applied = self.committed.get(&entry.index);
        if applied.is_some_and(|applied| *applied.entry != entry) {
            self.record_violation("a committed entry is changed");
        }
        self.committed
            .entry(entry.index)
            .or_insert_with(|| AppliedEntry {
                entry: Arc::new(entry),
                term,
            });
    }

    fn check_read(&mut self, id: Id, token: u64) {
        if self.reads.remove(&token) > Some(self.members[&id].node.applied()) {
            self.record_violation("a read misses what was committed before it");
        }
    }

    fn check_leader(&mut self, id: Id) {
        let member = &self.members[&id];
        if member.node.role() != Role::Leader {
            return;
        }
        let term = member.node.term();
        let mut earlier = self
            .committed
            .values()
            .filter(|applied| applied.term < term);
        let has_all = earlier.all(|applied| member.node_has(&applied.entry));
        if *self.leaders.entry(term).or_insert(id) != id {
            self.record_violation("two leaders in one term");
        } else if !has_all {
            self.record_violation("a leader lacks a committed entry");
        }
    }

    fn check_durability(&mut self) {
        let quorum = self.members.len() / 2 + 1;
        let mut committed = self.committed.values();
        let is_safe = committed.all(|applied| {
            let disks = self.members.values();
            let disks = disks.filter(|member| member.disk_has(&applied.entry));
            disks.count() >= quorum
        });
        if !is_safe {
            self.record_violation("a committed entry is on no quorum of disks");
        }
    }

    fn record_violation(&mut self, invariant: &'static str) {
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
