//! Log replication: proposals, appends, acknowledgements and commits.

use super::config::Mutant;
use super::message::{Body, Output, Refusal};
use super::node::{Leader, Node, State};
use super::progress::{Progress, ReplicationMode, quorum_value};
use super::types::{Entry, Id, Index, Payload, Position};
use crate::prelude::*;

impl Node {
    pub(super) fn propose(&mut self, batch: Vec<Vec<u8>>) {
        if let Some(reason) = self.proposal_refusal() {
            for _ in batch {
                self.refuse(reason.clone());
            }
            return;
        }
        let payloads = batch.into_iter().map(Payload::Data).collect();
        for Position { term, index } in self.append_as_leader(payloads) {
            self.outputs.push(Output::Accepted { index, term });
        }
        self.advance_commit();
        self.replicate_all();
    }

    fn proposal_refusal(&self) -> Option<Refusal> {
        let State::Leader(leader) = &self.state else {
            return Some(self.not_leader());
        };
        if !self.disk_writable {
            return Some(Refusal::ReadOnly);
        }
        let full = leader.uncommitted_bytes >= self.config.max_uncommitted_bytes;
        full.then_some(Refusal::Overloaded)
    }

    /// Appends new entries of the current term to the leader's log and returns their positions.
    pub(super) fn append_as_leader(&mut self, payloads: Vec<Payload>) -> Vec<Position> {
        let term = self.vote.term;
        let first = self.log.last().index.0 + 1;
        let entries: Vec<Entry> = payloads
            .into_iter()
            .zip(first..)
            .map(|(payload, index)| Entry {
                term,
                index: Index(index),
                payload,
            })
            .collect();
        let positions = entries.iter().map(Entry::position).collect();
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += entries.iter().map(Entry::size).sum::<usize>();
        }
        self.log.append(entries.iter().cloned());
        if !entries.is_empty() {
            self.outputs.push(Output::Append { entries });
        }
        positions
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_quorum_contact(self.now) {
            return self.become_follower(self.vote.term, None);
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if self.now < leader.heartbeat_at {
            return;
        }
        for progress in leader.progress.values_mut() {
            progress.resume();
        }
        self.heartbeat();
    }

    /// Starts a heartbeat round. A member that can be sent entries or a snapshot gets these
    /// instead of an empty heartbeat.
    pub(super) fn heartbeat(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.round += 1;
        leader.heartbeat_at = self.now + self.config.heartbeat_ms;
        for peer in self.peers() {
            if !self.replicate(peer) {
                self.send_heartbeat(peer);
            }
        }
    }

    fn send_heartbeat(&mut self, to: Id) {
        let Some((leader, progress)) = self.progress(to) else {
            return;
        };
        let round = leader.round;
        // During a snapshot installation, or if the leader no longer has the previous entry, the
        // heartbeat carries position zero, which every member accepts.
        let prev = match progress.mode {
            ReplicationMode::Install { .. } => None,
            _ => self.log.position(progress.next.prev()),
        };
        self.send(
            to,
            Body::Append {
                prev: prev.unwrap_or_default(),
                entries: Vec::new(),
                commit: self.commit,
                round,
            },
        );
    }

    fn progress(&self, id: Id) -> Option<(&Leader, &Progress)> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        Some((leader, leader.progress.get(&id)?))
    }

    pub(super) fn replicate_all(&mut self) {
        for peer in self.peers() {
            self.replicate(peer);
        }
    }

    /// Sends a member the entries or snapshot that it lacks, up to the limit on unacknowledged
    /// messages. Returns whether a message was sent.
    pub(super) fn replicate(&mut self, to: Id) -> bool {
        let mut sent = false;
        while let Some(body) = self.next_body(to) {
            self.send(to, body);
            sent = true;
        }
        sent
    }

    /// The next message with entries or a snapshot for a member; `None` if it lacks nothing or
    /// must first answer an earlier message.
    fn next_body(&mut self, to: Id) -> Option<Body> {
        let snapshot_index = self.log.snapshot_position().index;
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let round = leader.round;
        let progress = leader.progress.get_mut(&to)?;
        let prev = progress.next.prev();
        if prev < snapshot_index || matches!(progress.mode, ReplicationMode::Install { .. }) {
            let snapshot = self.log.snapshot()?.clone();
            // Time to wait for an acknowledgement before the snapshot is sent again.
            let timeout = self.config.election_timeout_ms;
            return start_install(progress, snapshot.index, self.now, timeout)
                .then_some(Body::Install { snapshot, round });
        }
        match &progress.mode {
            ReplicationMode::Probe { paused: true } | ReplicationMode::Install { .. } => {
                return None;
            }
            ReplicationMode::Replicate { in_flight }
                if in_flight.len() >= self.config.max_batches_in_flight =>
            {
                return None;
            }
            _ => {}
        }
        let entries = self.log.batch(prev, self.config.max_batch_bytes);
        let last = entries.last()?.index;
        match &mut progress.mode {
            ReplicationMode::Replicate { in_flight } => {
                in_flight.push_back(last);
                progress.next = last.next();
            }
            ReplicationMode::Probe { paused } => *paused = true,
            ReplicationMode::Install { .. } => {}
        }
        Some(Body::Append {
            prev: self.log.position(prev)?,
            entries,
            commit: self.commit,
            round,
        })
    }

    pub(super) fn on_append(
        &mut self,
        from: Id,
        prev: Position,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        self.follow_leader(from);
        let (prev, entries) = self.skip_committed(prev, entries);
        if !self.log.contains(prev) {
            let hint = self.log.conflict_hint(prev);
            let prev = prev.index;
            return self.send(from, Body::AppendRejected { prev, hint, round });
        }
        if !entries.is_empty() && !self.disk_writable {
            return;
        }
        let matched = entries.last().map_or(prev.index, |entry| entry.index);
        self.append_received(entries);
        self.commit_to(commit.min(matched));
        self.send(from, Body::AppendAccepted { matched, round });
    }

    /// Skips the entries that are committed on this node: they are the same on all members, and
    /// this log may no longer contain them.
    fn skip_committed(&self, prev: Position, mut entries: Vec<Entry>) -> (Position, Vec<Entry>) {
        if prev.index >= self.commit || self.config.has_mutant(Mutant::TruncateCommitted) {
            return (prev, entries);
        }
        entries.retain(|entry| entry.index > self.commit);
        let commit_position = self.log.position(self.commit).unwrap_or_default();
        (commit_position, entries)
    }

    /// Follows the leader of the current term, from which a message was received.
    pub(super) fn follow_leader(&mut self, leader: Id) {
        if !matches!(self.state, State::Follower) {
            self.become_follower(self.vote.term, Some(leader));
        }
        self.leader = Some(leader);
        self.last_leader_message_at = Some(self.now);
        self.reset_election_timer();
    }

    fn append_received(&mut self, mut entries: Vec<Entry>) {
        let first_missing = if self.config.has_mutant(Mutant::TruncateCommitted) {
            (!entries.is_empty()).then_some(0)
        } else {
            self.log.first_missing(&entries)
        };
        let Some(first_missing) = first_missing else {
            return;
        };
        let entries = entries.split_off(first_missing);
        self.log.append(entries.iter().cloned());
        self.outputs.push(Output::Append { entries });
    }

    pub(super) fn on_accepted(&mut self, from: Id, matched: Index, round: u64) {
        let last = self.log.last().index;
        let Some(progress) = self.record_reply(from, round) else {
            return;
        };
        progress.acknowledge(matched.min(last));
        self.advance_commit();
        self.replicate(from);
        self.confirm_reads();
    }

    pub(super) fn on_rejected(&mut self, from: Id, prev: Index, hint: Position, round: u64) {
        let common = self.last_common(hint);
        let Some(progress) = self.record_reply(from, round) else {
            return;
        };
        if progress.reject(prev, common) {
            self.replicate(from);
        }
        self.confirm_reads();
    }

    /// An upper bound for the index of the last entry in common with a member that rejected entries
    /// and returned `hint`.
    fn last_common(&self, hint: Position) -> Index {
        if hint.index < self.log.snapshot_position().index {
            return hint.index;
        }
        // `conflict_hint` searches before its argument. With the index after the hint's, the search
        // includes the entry at the hint's index.
        let after = Position {
            term: hint.term,
            index: hint.index.next(),
        };
        self.log.conflict_hint(after).index
    }

    /// Records the time and round of a member's reply. Returns `None` if this node is not the
    /// leader or the sender is not a member.
    fn record_reply(&mut self, from: Id, round: u64) -> Option<&mut Progress> {
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.progress.get_mut(&from)?;
        progress.last_received_at = self.now;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    /// Commits the entries that a quorum has acknowledged. Entries of earlier terms are committed
    /// only along with one of the current term: until then a later leader may overwrite them even
    /// if a quorum has them.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let last = self.log.last().index;
        let quorum_index = quorum_value(self.membership(), |id| {
            if id == self.config.id {
                return Some(last);
            }
            leader.progress.get(&id).map(|progress| progress.matched)
        });
        let index = if self.config.has_mutant(Mutant::CommitWithoutQuorum) {
            last
        } else {
            quorum_index
        };
        let reaches_current_term =
            index >= leader.first_index || self.config.has_mutant(Mutant::CommitEarlierTerm);
        if reaches_current_term {
            self.commit_to(index);
        }
    }

    pub(super) fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        let newly_committed = usize::try_from(index.0 - self.commit.0).unwrap_or(usize::MAX);
        let entries: Vec<Entry> = self
            .log
            .entries_after(self.commit)
            .iter()
            .take(newly_committed)
            .cloned()
            .collect();
        if let State::Leader(leader) = &mut self.state {
            let bytes: usize = entries.iter().map(Entry::size).sum();
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(bytes);
        }
        self.commit = index;
        self.outputs.extend(entries.into_iter().map(Output::Apply));
        self.step_down_if_removed();
    }
}

/// Called at each attempt to send to a member that needs a snapshot. Returns whether to send it
/// now; if so, records the member as installing it. Returns false, with nothing changed, while one
/// was sent less than `resend_after` milliseconds ago.
fn start_install(
    progress: &mut Progress,
    snapshot_index: Index,
    now: Millis,
    resend_after: Millis,
) -> bool {
    if let ReplicationMode::Install { resend_at, .. } = progress.mode
        && now < resend_at
    {
        return false;
    }
    progress.mode = ReplicationMode::Install {
        index: snapshot_index,
        resend_at: now + resend_after,
    };
    true
}
