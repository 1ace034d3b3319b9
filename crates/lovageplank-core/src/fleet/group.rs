//! Decides the membership changes of the control group: it grows to the size that tolerates the
//! configured failures, and lost voters are replaced.
//!
//! A disconnected voter is replaced only when a connected process can take its place. Until then it
//! stays a member, because its disk may contain log entries that were acknowledged. An instance
//! that returns with an empty disk has a new identity under its old name: the old identity can be
//! removed at once.

use crate::consensus::{Id, Index, MemberInfo, Membership};
use crate::prelude::*;

/// Milliseconds for which a voter may be disconnected. Beyond that it counts as lost, and a
/// connected learner takes its place.
const VOTER_LOST_MS: Millis = 1_200;
/// Milliseconds for which a learner may be disconnected. Beyond that it is removed.
const LEARNER_REMOVAL_MS: Millis = 10_000;
/// Fewest voters of a group, if there are enough processes that can vote.
const MIN_VOTERS: usize = 3;

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a learner: a member that copies the log without a vote.
    Learner(Id, MemberInfo),
    /// Makes a learner a voter.
    Promote(Id),
    /// Removes a member.
    Remove(Id),
}

/// Tracks the connected control processes and decides membership changes.
#[derive(Clone, Debug)]
pub struct Reconfigurator {
    target_voters: usize,
    started_at: Millis,
    connected: BTreeMap<Id, MemberInfo>,
    /// Connected processes without a disk, which become learners and never voters.
    observers: BTreeSet<Id>,
    disconnected_since: BTreeMap<Id, Millis>,
}

impl Reconfigurator {
    /// Returns the state for a group that tolerates the loss of `tolerated_failures` voters.
    pub fn new(now: Millis, tolerated_failures: usize) -> Reconfigurator {
        Reconfigurator {
            target_voters: (2 * tolerated_failures + 1).max(MIN_VOTERS),
            started_at: now,
            connected: BTreeMap::new(),
            observers: BTreeSet::new(),
            disconnected_since: BTreeMap::new(),
        }
    }

    /// Records that a control process is connected.
    pub fn process_connected(&mut self, id: Id, process: MemberInfo) {
        self.connected.insert(id, process);
        self.disconnected_since.remove(&id);
    }

    /// Records that a connected control process is an observer: it has no disk, so it copies the
    /// log as a learner and is never made a voter.
    pub fn mark_observer(&mut self, id: Id) {
        self.observers.insert(id);
    }

    /// Records that the last link to a control process went down.
    pub fn process_disconnected(&mut self, now: Millis, id: Id) {
        self.connected.remove(&id);
        self.observers.remove(&id);
        self.disconnected_since.insert(id, now);
    }

    /// Returns the next change that the leader `own` should make, if any.
    pub fn next_change(&self, now: Millis, own: Id, membership: &Membership) -> Option<Change> {
        self.stale_learner(now, membership)
            .or_else(|| self.new_learner(membership))
            .or_else(|| self.surplus_voter(now, own, membership))
            .or_else(|| self.promotion(now, own, membership))
    }

    fn stale_learner(&self, now: Millis, membership: &Membership) -> Option<Change> {
        let mut learners = membership.learners.iter();
        let stale = learners.find(|(id, learner)| {
            self.is_superseded(**id, learner)
                || self.disconnected_ms(now, **id) >= LEARNER_REMOVAL_MS
        });
        stale.map(|(id, _)| Change::Remove(*id))
    }

    fn new_learner(&self, membership: &Membership) -> Option<Change> {
        let known = |id: &Id| membership.members().any(|(member, _)| member == *id);
        let mut connected = self.connected.iter();
        let (id, process) = connected.find(|(id, _)| !known(id))?;
        Some(Change::Learner(*id, process.clone()))
    }

    fn surplus_voter(&self, now: Millis, own: Id, membership: &Membership) -> Option<Change> {
        if membership.voters.len() <= self.target_voters {
            return None;
        }
        let lost = self.lost_voter(now, own, membership);
        let other = || {
            membership
                .voters
                .keys()
                .rev()
                .find(|id| **id != own)
                .copied()
        };
        lost.or_else(other).map(Change::Remove)
    }

    fn promotion(&self, now: Millis, own: Id, membership: &Membership) -> Option<Change> {
        let enough = membership.voters.len() >= self.target_voters;
        if enough && self.lost_voter(now, own, membership).is_none() {
            return None;
        }
        let mut learners = membership.learners.keys();
        let promotable =
            learners.find(|id| self.connected.contains_key(id) && !self.observers.contains(id))?;
        Some(Change::Promote(*promotable))
    }

    /// A voter that is not expected back soon: superseded, or disconnected for `VOTER_LOST_MS`.
    fn lost_voter(&self, now: Millis, own: Id, membership: &Membership) -> Option<Id> {
        let others = membership.voters.iter().filter(|(id, _)| **id != own);
        let lost = others.filter(|(id, voter)| {
            self.is_superseded(**id, voter) || self.disconnected_ms(now, **id) >= VOTER_LOST_MS
        });
        // A superseded identity never returns, so it is replaced first.
        lost.max_by_key(|(id, voter)| {
            (
                self.is_superseded(**id, voter),
                self.disconnected_ms(now, **id),
            )
        })
        .map(|(id, _)| *id)
    }

    /// Whether the instance of a disconnected voter or learner has connected under another
    /// identity.
    fn is_superseded(&self, id: Id, member: &MemberInfo) -> bool {
        let mut others = self.connected.iter();
        !self.connected.contains_key(&id) && others.any(|(_, other)| other.name == member.name)
    }

    fn disconnected_ms(&self, now: Millis, id: Id) -> Millis {
        if self.connected.contains_key(&id) {
            return 0;
        }
        let since = self
            .disconnected_since
            .get(&id)
            .copied()
            .unwrap_or(self.started_at);
        now.saturating_sub(since)
    }
}

/// Selects the voter that takes over from a leader that stops. `voters` are the connected ones,
/// each with the index of the last log entry that it is known to have, and with a connection
/// number: the later it connected, the higher the number. `last` is the index of the last log
/// entry.
///
/// Of the voters with the whole log, the one that connected last is selected: when instances are
/// restarted in turn, it has been restarted already and won't hand over again soon. If none has the
/// whole log, the one with the most of it is selected.
pub fn successor(voters: impl Iterator<Item = (Id, Index, u64)>, last: Index) -> Option<Id> {
    // The connection number decides among voters with the whole log, the log index among the
    // others.
    let rank = |(_, last_stored, connection): &(Id, Index, u64)| {
        let whole = *last_stored >= last;
        (whole, if whole { *connection } else { last_stored.0 })
    };
    voters.max_by_key(rank).map(|(id, _, _)| id)
}
