//! State of a Raft node and dispatch of its inputs.

use super::config::{Config, Mutant};
use super::log::Log;
use super::message::{Body, Input, Message, Output, Refusal};
use super::progress::{Follower, Progress, quorum_value};
use super::read::Reads;
use super::types::{Entry, Id, Index, Membership, StoredState, Term, Vote};
use crate::prelude::*;
use std::hash::{Hash, Hasher};

record! { copy =>
    /// Role of a node in its current term.
    pub enum Role {
        /// A voter that follows a leader or waits for one.
        Follower,
        /// A voter that collects pre-votes.
        PreCandidate,
        /// A voter that collects votes.
        Candidate,
        /// The leader of its term.
        Leader,
        /// Not a voter: replicates the log, or belongs to no group yet.
        Learner,
    }
}

/// A Raft node: one member of the control group, without I/O or a clock.
#[derive(Clone, Debug)]
pub struct Node {
    pub(super) config: Config,
    pub(super) random: Random,
    /// Its term never decreases. Durable before any message of that term is sent.
    pub(super) vote: Vote,
    pub(super) log: Log,
    /// Last committed and applied index; never decreases, never before the snapshot's index.
    pub(super) commit: Index,
    pub(super) state: State,
    /// The leader of the current term, if known.
    pub(super) leader: Option<Id>,
    /// When this node last received a message from a leader; `None` after an election timeout and
    /// after this node itself stepped down.
    pub(super) last_leader_message_at: Option<Millis>,
    /// When the election timeout of a node that is not the leader expires.
    pub(super) election_at: Millis,
    /// Whether the disk has room for entries, as last reported by [`Input::Writable`].
    pub(super) disk_writable: bool,
    /// Latest time passed to [`Node::step`].
    pub(super) now: Millis,
    /// Outputs of the current step; empty between steps.
    pub(super) outputs: Vec<Output>,
}

#[derive(Clone, Debug, Hash)]
pub(super) enum State {
    Follower,
    /// Collects votes or pre-votes; `votes` lists the members that granted one, this node
    /// included.
    Candidate {
        pre_vote: bool,
        votes: BTreeSet<Id>,
    },
    Leader(Leader),
}

#[derive(Clone, Debug, Hash)]
pub(super) struct Leader {
    /// Replication progress of each other member of the current membership.
    pub(super) progress: BTreeMap<Id, Progress>,
    /// Index of the leader's first entry; all earlier entries are committed once it is.
    pub(super) first_index: Index,
    /// When the next heartbeat is due.
    pub(super) heartbeat_at: Millis,
    /// Number of the latest heartbeat round. Only `heartbeat` increases it; messages sent between
    /// heartbeats carry the current number.
    pub(super) round: u64,
    pub(super) reads: Reads,
    /// Payload bytes of the entries after the commit index.
    pub(super) uncommitted_bytes: usize,
}

/// Random generator for election timeouts (`SplitMix64`).
#[derive(Clone, Debug)]
pub(super) struct Random(u64);

impl Node {
    /// Starts a node from the content of its data folder.
    ///
    /// `initial` is the membership that applies while the log contains none. The nodes that
    /// bootstrap a group all pass the same initial voters; a node that joins a group passes an
    /// empty membership. A membership in a snapshot or an entry replaces it.
    pub fn new(config: Config, stored: StoredState, initial: Membership, now: Millis) -> Node {
        let vote = stored.vote;
        let log = Log::new(stored, initial);
        let mut node = Node {
            random: Random(config.seed),
            config,
            vote,
            commit: log.snapshot_position().index,
            log,
            state: State::Follower,
            leader: None,
            last_leader_message_at: None,
            election_at: 0,
            disk_writable: true,
            now,
            outputs: Vec::new(),
        };
        node.reset_election_timer();
        node
    }

    /// Handles one input and returns the outputs for the driver. If `now` is earlier than in a
    /// previous step, the latest time so far is used.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        let before = (self.role(), self.term(), self.leader);
        self.handle_input(input);
        let after = (self.role(), self.term(), self.leader);
        if before != after {
            let (role, term, leader) = after;
            self.outputs
                .push(Output::RoleChanged { role, term, leader });
        }
        std::mem::take(&mut self.outputs)
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Tick => self.tick(),
            Input::Receive { from, message } => self.receive(from, message),
            Input::Propose { data } => self.propose(vec![data]),
            Input::ProposeBatch(batch) => self.propose(batch),
            Input::AddLearner { id, info } => self.add_or_update_member(id, info),
            Input::Promote { id } => self.promote(id),
            Input::Remove { id } => self.remove(id),
            Input::Snapshot { index, data } => self.compact_log(index, data),
            Input::ReadIndex { token } => self.read_index(token),
            Input::TransferLeadership { to } => self.transfer_leadership(to),
            Input::Writable(writable) => self.disk_writable = writable,
        }
    }

    fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_at {
            self.on_election_timeout();
        }
    }

    fn receive(&mut self, from: Id, message: Message) {
        if from == self.config.id || !self.filter_by_term(from, &message) {
            return;
        }
        let Message { term, body } = message;
        match body {
            Body::PreVote { last } => self.on_pre_vote(from, term, last),
            Body::PreVoteReply { granted } => {
                let current = term == self.vote.term.next();
                self.on_vote_reply(from, granted && current, true);
            }
            Body::RequestVote { last, .. } => self.on_request_vote(from, last),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted, false),
            Body::Append {
                prev,
                entries,
                commit,
                round,
            } => self.on_append(from, prev, entries, commit, round),
            Body::AppendAccepted { matched, round } => self.on_accepted(from, matched, round),
            Body::AppendRejected { prev, hint, round } => {
                self.on_rejected(from, prev, hint, round);
            }
            Body::Install { snapshot, round } => self.on_install(from, snapshot, round),
            Body::TakeOver => self.on_take_over(from),
        }
    }

    /// Role in the current term; [`Role::Learner`] if the node may not become a candidate.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate { pre_vote: true, .. } => Role::PreCandidate,
            State::Candidate { .. } => Role::Candidate,
            State::Follower if self.is_electable() => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// Identity of the node, from [`Config::id`].
    pub fn id(&self) -> Id {
        self.config.id
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// The current term and the node's vote in it.
    pub fn vote(&self) -> Vote {
        self.vote
    }

    /// The current term, which never decreases.
    pub fn term(&self) -> Term {
        self.vote.term
    }

    /// Index of the last entry known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Index of the last entry returned as [`Output::Apply`] or covered by a snapshot. Always the
    /// commit index, since a step returns all entries whose commit it detects.
    pub fn applied(&self) -> Index {
        self.commit
    }

    /// Index of the last entry of the log, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last().index
    }

    /// An entry of the log, committed or not; `None` if a snapshot has replaced it.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Index of the last entry that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_position().index
    }

    /// The current membership: the latest in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Whether the current membership is committed.
    pub fn membership_committed(&self) -> bool {
        self.log.membership().0 <= self.commit
    }

    /// Whether the node may become a candidate. This includes a node whose removal is in its log
    /// but not committed: it may be the only one that can replicate that entry to the others.
    pub(super) fn is_electable(&self) -> bool {
        let id = self.config.id;
        let previous = self.log.previous_membership();
        let is_leaving = previous.is_some_and(|previous| previous.is_voter(id));
        self.membership().is_voter(id) || (is_leaving && !self.membership_committed())
    }

    /// When the next [`Input::Tick`] is due.
    pub fn deadline(&self) -> Millis {
        match &self.state {
            State::Leader(leader) => leader.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Whether the driver should pass an [`Input::Snapshot`], because at least
    /// [`Config::snapshot_every`] entries were applied since the last snapshot.
    pub fn snapshot_due(&self) -> bool {
        self.config
            .snapshot_due(self.log.snapshot_position().index, self.applied())
    }

    /// On a leader, the index up to which the log of another member is known to be durable and
    /// equal to the leader's; `None` for other roles and unknown members.
    pub fn matched(&self, id: Id) -> Option<Index> {
        match &self.state {
            State::Leader(leader) => leader.progress.get(&id).map(|progress| progress.matched),
            _ => None,
        }
    }

    /// On a leader, what it knows of another member's log; `None` for other roles and unknown members.
    pub fn follower(&self, id: Id) -> Option<Follower> {
        match &self.state {
            State::Leader(leader) => leader.progress.get(&id).map(Progress::follower),
            _ => None,
        }
    }

    /// Whether this node is a leader that received replies from a quorum within the shortest
    /// election timeout. Until its first reply, a member counts as having replied at the start of
    /// the leader's term or, if it was added later, at its addition.
    pub fn has_quorum_contact(&self, now: Millis) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let last_received_at = quorum_value(self.membership(), |id| {
            if id == self.config.id {
                return Some(now);
            }
            leader
                .progress
                .get(&id)
                .map(|progress| progress.last_received_at)
        });
        now < last_received_at + self.config.election_timeout_ms
    }

    /// Hashes the state that decides the node's behaviour, for the model checker. Times are not
    /// hashed, only whether this node knows of an active leader and, on a leader, whether it has
    /// contact with a quorum.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        self.vote.hash(hasher);
        self.log.fingerprint(hasher);
        self.commit.hash(hasher);
        self.leader.hash(hasher);
        self.has_active_leader().hash(hasher);
        self.disk_writable.hash(hasher);
        match &self.state {
            State::Follower => 0.hash(hasher),
            State::Candidate { pre_vote, votes } => (1, pre_vote, votes).hash(hasher),
            State::Leader(leader) => {
                let has_quorum = self.has_quorum_contact(leader.heartbeat_at);
                (2, leader.first_index, has_quorum).hash(hasher);
                for (id, progress) in &leader.progress {
                    (id, progress.matched, progress.next, &progress.mode).hash(hasher);
                }
                // Rounds affect the behaviour only while reads are pending.
                if !leader.reads.is_empty() {
                    let rounds = leader.progress.values().map(|progress| progress.round);
                    (leader.round, &leader.reads, rounds.collect::<Vec<_>>()).hash(hasher);
                }
            }
        }
    }

    pub(super) fn send(&mut self, to: Id, body: Body) {
        self.send_in_term(to, self.vote.term, body);
    }

    pub(super) fn send_in_term(&mut self, to: Id, term: Term, body: Body) {
        let message = Message { term, body };
        self.outputs.push(Output::Send { to, message });
    }

    pub(super) fn refuse(&mut self, reason: Refusal) {
        self.outputs.push(Output::Refused { reason });
    }

    pub(super) fn not_leader(&self) -> Refusal {
        Refusal::NotLeader {
            leader: self.leader,
        }
    }

    pub(super) fn save_vote(&mut self, vote: Vote) {
        self.vote = vote;
        if !self.config.has_mutant(Mutant::VoteNotDurable) {
            self.outputs.push(Output::SaveVote(vote));
        }
    }

    /// Voters and learners other than this node.
    pub(super) fn peers(&self) -> Vec<Id> {
        self.membership()
            .members()
            .map(|(id, _)| id)
            .filter(|id| *id != self.config.id)
            .collect()
    }
}

impl Random {
    /// A number below `bound`, which must not be zero.
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}
