//! Simulation of a control group: nodes on a virtual clock, with a network and processes whose
//! faults follow a seed. Each step checks that no two nodes lead in one term, no node votes twice
//! in a term, all nodes apply the same entries, each once, and no read is stale.

use lovageplank_core::consensus::{
    Config, Entry, Id, Index, Input, MemberInfo, Membership, Message, Node, Output, Payload,
    Position, Role, StoredState, Term, Vote,
};
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A node with its simulated disk and state machine.
pub struct Member {
    pub node: Option<Node>,
    disk: StoredState,
    /// Applied commands, by index.
    pub applied: BTreeMap<Index, Vec<u8>>,
    pub reads: Vec<u64>,
    pub replies: Vec<Output>,
}

pub struct Cluster {
    pub now: Millis,
    pub rng: SmallRng,
    pub members: BTreeMap<Id, Member>,
    initial: BTreeMap<Id, Membership>,
    configure: fn(Config) -> Config,
    /// Messages in transit, by arrival time and sequence number: sender, receiver, message.
    network: BTreeMap<(Millis, u64), (Id, Id, Message)>,
    sequence: u64,
    /// Pairs of sender and receiver whose messages are dropped.
    pub blocked_links: BTreeSet<(Id, Id)>,
    /// Probability that a message is lost, in percent.
    pub loss_percent: u32,
    /// Probability that a message is sent twice, in percent.
    pub duplication_percent: u32,
    /// Longest delay of a message; delays are drawn from 1 ms up to this.
    pub delay_ms: Millis,
    /// Every entry that any node has applied; all nodes must apply the same one at an index.
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, Id>,
    votes: BTreeMap<(Id, Term), Id>,
    /// The last index applied by any node when a read was requested, by the read's token.
    reads: BTreeMap<u64, Index>,
}

pub fn member_info(id: Id) -> MemberInfo {
    MemberInfo::new(format!("control-{}", id.0), format!("127.0.0.1:{}", id.0))
}

impl Cluster {
    /// A cluster with voters 1 to `voters`.
    pub fn new(seed: u64, voters: u64) -> Cluster {
        Cluster::with_config(seed, voters, |config| config)
    }

    pub fn with_config(seed: u64, voters: u64, configure: fn(Config) -> Config) -> Cluster {
        let membership = (1..=voters).map(Id).fold(Membership::default(), |all, id| {
            all.with_voter(id, member_info(id))
        });
        let mut cluster = Cluster {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            initial: BTreeMap::new(),
            configure,
            network: BTreeMap::new(),
            sequence: 0,
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            duplication_percent: 0,
            delay_ms: 5,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            reads: BTreeMap::new(),
        };
        for id in (1..=voters).map(Id) {
            cluster.add_node(id, membership.clone());
        }
        cluster
    }

    /// Adds and starts a node with an empty disk.
    pub fn add_node(&mut self, id: Id, initial: Membership) {
        self.initial.insert(id, initial);
        let member = Member {
            node: None,
            disk: StoredState::default(),
            applied: BTreeMap::new(),
            reads: Vec::new(),
            replies: Vec::new(),
        };
        self.members.insert(id, member);
        self.start(id);
    }

    /// Starts a node from its disk; a running one is restarted.
    pub fn start(&mut self, id: Id) {
        let config = (self.configure)(Config::new(id, self.rng.random()));
        let initial = self.initial[&id].clone();
        let now = self.now;
        let member = self.members.get_mut(&id).expect("member exists");
        member.applied.clear();
        if let Some(snapshot) = &member.disk.snapshot {
            member.applied = restore(&snapshot.data);
        }
        member.node = Some(Node::new(config, member.disk.clone(), initial, now));
    }

    /// Kills a process and keeps its disk.
    pub fn kill(&mut self, id: Id) {
        self.members.get_mut(&id).expect("member exists").node = None;
    }

    /// Kills a process and empties its disk.
    pub fn wipe(&mut self, id: Id) {
        self.kill(id);
        self.members.get_mut(&id).expect("member exists").disk = StoredState::default();
    }

    pub fn isolate(&mut self, id: Id) {
        for other in self.members.keys().copied().filter(|other| *other != id) {
            self.blocked_links.insert((id, other));
            self.blocked_links.insert((other, id));
        }
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    pub fn node(&self, id: Id) -> &Node {
        self.members[&id].node.as_ref().expect("node is running")
    }

    /// Steps a node and carries out the outputs in the order of the driver's contract.
    pub fn step(&mut self, id: Id, input: Input) -> Vec<Output> {
        let now = self.now;
        let member = self.members.get_mut(&id).expect("member exists");
        let Some(node) = &mut member.node else {
            return Vec::new();
        };
        let outputs = node.step(now, input);
        for output in &outputs {
            member.disk.apply_persistence(output);
        }
        for output in &outputs {
            self.carry_out(id, output);
        }
        self.check_single_leader(id);
        outputs
    }

    fn carry_out(&mut self, id: Id, output: &Output) {
        let member = self.members.get_mut(&id).expect("member exists");
        match output {
            Output::Send { to, message } => self.send(id, *to, message),
            Output::Apply(entry) => {
                let first = self.committed.entry(entry.index).or_insert(entry.clone());
                assert_eq!(
                    first, entry,
                    "{id} applies an entry that differs from another node's at this index"
                );
                if let Payload::Data(data) = &entry.payload {
                    let known = member.applied.insert(entry.index, data.clone());
                    assert_eq!(known, None, "{id} applies index {:?} twice", entry.index);
                }
            }
            Output::Restore(snapshot) => member.applied = restore(&snapshot.data),
            Output::ReadReady { token } => {
                member.reads.push(*token);
                let node = member
                    .node
                    .as_ref()
                    .expect("a node that was stepped is running");
                let before = self.reads.get(token).copied().unwrap_or_default();
                assert!(
                    before <= node.applied(),
                    "{id} serves read {token} before it has applied index {before:?}"
                );
            }
            Output::Accepted { .. } | Output::Refused { .. } | Output::ReadRefused { .. } => {
                member.replies.push(output.clone());
            }
            Output::SaveVote(vote) => self.check_vote(id, *vote),
            _ => {}
        }
    }

    /// Requests a read that must see all entries applied by any node so far.
    pub fn read(&mut self, id: Id) {
        let token = self.reads.len() as u64;
        let last = self.committed.keys().next_back().copied();
        self.reads.insert(token, last.unwrap_or_default());
        self.step(id, Input::ReadIndex { token });
    }

    fn send(&mut self, from: Id, to: Id, message: &Message) {
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.duplication_percent);
        for _ in 0..copies {
            if self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            let delay = self.rng.random_range(1..=self.delay_ms);
            self.sequence += 1;
            self.network.insert(
                (self.now + delay, self.sequence),
                (from, to, message.clone()),
            );
        }
    }

    fn check_single_leader(&mut self, id: Id) {
        let Some(node) = &self.members[&id].node else {
            return;
        };
        if node.role() == Role::Leader {
            let leader = *self.leaders.entry(node.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {:?}", node.term());
        }
    }

    fn check_vote(&mut self, id: Id, vote: Vote) {
        if let Some(voted_for) = vote.voted_for {
            let first = *self.votes.entry((id, vote.term)).or_insert(voted_for);
            assert_eq!(first, voted_for, "{id} votes twice in term {:?}", vote.term);
        }
    }

    /// Advances the clock by `duration`, delivering messages and ticking nodes when due.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(next) = self.next_event().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.deliver();
            self.tick();
        }
        self.now = end;
    }

    fn next_event(&self) -> Option<Millis> {
        let ticks = self.members.values().filter_map(|m| m.node.as_ref());
        let arrivals = self.network.keys().map(|(at, _)| *at);
        ticks.map(Node::deadline).chain(arrivals).min()
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            if !self.blocked_links.contains(&(from, to)) && self.members.contains_key(&to) {
                self.step(to, Input::Receive { from, message });
            }
        }
    }

    fn tick(&mut self) {
        for id in self.members.keys().copied().collect::<Vec<_>>() {
            let member = &self.members[&id];
            let due = |node: &Node| node.deadline() <= self.now;
            if member.node.as_ref().is_some_and(due) {
                self.step(id, Input::Tick);
            }
        }
    }

    /// The leader of the highest term, if any.
    pub fn leader(&self) -> Option<Id> {
        let nodes = self.members.values().filter_map(|m| m.node.as_ref());
        nodes
            .filter(|node| node.role() == Role::Leader)
            .max_by_key(|node| node.term())
            .map(Node::id)
    }

    /// Runs until a leader is in contact with a quorum and has committed an entry of its own term.
    pub fn wait_for_leader(&mut self) -> Id {
        for _ in 0..200 {
            if let Some(leader) = self.leader() {
                let node = self.node(leader);
                let current = self.committed.get(&node.commit());
                let own = current.is_some_and(|entry| entry.term == node.term());
                if own && node.has_quorum_contact(self.now) {
                    return leader;
                }
            }
            self.run(50);
        }
        panic!("no leader in contact with a quorum after 10 s");
    }

    /// Proposes a command at the leader until it is committed.
    pub fn commit(&mut self, data: &[u8]) -> Position {
        for _ in 0..50 {
            let leader = self.wait_for_leader();
            let data = data.to_vec();
            let outputs = self.step(leader, Input::Propose { data });
            let Some(position) = accepted(&outputs) else {
                continue;
            };
            if self.wait_for_commit(position) {
                return position;
            }
        }
        panic!("command not committed after 50 attempts");
    }

    /// Runs until an entry is committed at the position's index, for at most 1 s. Returns whether
    /// it is the entry of that position.
    pub fn wait_for_commit(&mut self, position: Position) -> bool {
        for _ in 0..100 {
            if let Some(entry) = self.committed.get(&position.index) {
                return entry.term == position.term;
            }
            self.run(10);
        }
        false
    }

    /// Proposes a membership change at the leader until it is committed.
    pub fn change_membership(&mut self, input: impl Fn() -> Input) {
        for _ in 0..100 {
            let leader = self.wait_for_leader();
            let outputs = self.step(leader, input());
            if let Some(position) = accepted(&outputs)
                && self.wait_for_commit(position)
            {
                return;
            }
            self.run(50);
        }
        panic!("membership change not committed after 100 attempts");
    }

    pub fn ids(&self) -> Vec<Id> {
        self.members.keys().copied().collect()
    }

    /// Number of membership entries that any node has applied.
    pub fn membership_changes(&self) -> usize {
        let entries = self.committed.values();
        let changes = entries.filter(|e| matches!(e.payload, Payload::Voters(_)));
        changes.count()
    }

    /// All commands that any node has applied.
    pub fn committed(&self) -> BTreeMap<Index, Vec<u8>> {
        let commands = self.committed.values().filter_map(|entry| {
            if let Payload::Data(data) = &entry.payload {
                return Some((entry.index, data.clone()));
            }
            None
        });
        commands.collect()
    }

    /// Passes a node a snapshot of its state at its applied index.
    pub fn snapshot(&mut self, id: Id) {
        let member = &self.members[&id];
        let index = self.node(id).applied();
        let mut data = Vec::new();
        ciborium::into_writer(&member.applied, &mut data).expect("writing to a vector succeeds");
        let data = Arc::from(data);
        self.step(id, Input::Snapshot { index, data });
    }

    /// Whether all running nodes have applied all committed commands.
    pub fn is_converged(&self) -> bool {
        let running = self.members.iter().filter(|(_, m)| m.node.is_some());
        self.have_applied_all(running.map(|(id, _)| *id))
    }

    /// Whether these nodes have applied all committed commands.
    pub fn have_applied_all(&self, mut nodes: impl Iterator<Item = Id>) -> bool {
        let committed = self.committed();
        nodes.all(|id| self.members[&id].applied == committed)
    }
}

pub fn accepted(outputs: &[Output]) -> Option<Position> {
    outputs.iter().find_map(|output| match output {
        Output::Accepted { index, term } => Some(Position {
            term: *term,
            index: *index,
        }),
        _ => None,
    })
}

fn restore(data: &[u8]) -> BTreeMap<Index, Vec<u8>> {
    ciborium::from_reader(data).expect("a snapshot written by Cluster::snapshot")
}
