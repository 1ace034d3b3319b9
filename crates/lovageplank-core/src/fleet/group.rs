//! Who is in the control group: grown to the size that bears the losses, and mended.
//!
//! A member that is away is replaced only by one that is here; without one it stays, because its
//! disk may still hold what was acknowledged. An instance that comes back with an empty disk has
//! a new identity under its old name: the old one can be given up at once.

use crate::consensus::{Id, Index, Membership, Voter};
use crate::prelude::*;

/// Milliseconds for which a voter may be away before another takes its place.
const VOTER_LOST_MS: Millis = 1_200;
/// Milliseconds for which a learner may be away before it is forgotten.
const LEARNER_REMOVAL_MS: Millis = 10_000;
/// Voters that a group has at the least, if there are enough instances.
const MIN_VOTERS: usize = 3;

/// A change of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a member that copies the log.
    Learner(Id, Voter),
    /// Lets a member vote.
    Promote(Id),
    /// Removes a member.
    Remove(Id),
}

/// Knows which control processes are connected and decides about the group.
#[derive(Clone, Debug)]
pub struct Reconfigurator {
    target_voters: usize,
    started_at: Millis,
    connected: BTreeMap<Id, Voter>,
    /// Processes that keep nothing and may not vote.
    observers: BTreeSet<Id>,
    disconnected_since: BTreeMap<Id, Millis>,
}

impl Reconfigurator {
    /// A keeper of a group that has to bear so many losses.
    pub fn new(now: Millis, tolerated_failures: usize) -> Reconfigurator {
        Reconfigurator {
            target_voters: (2 * tolerated_failures + 1).max(MIN_VOTERS),
            started_at: now,
            connected: BTreeMap::new(),
            observers: BTreeSet::new(),
            disconnected_since: BTreeMap::new(),
        }
    }

    /// A control process is connected.
    pub fn process_connected(&mut self, id: Id, voter: Voter) {
        self.connected.insert(id, voter);
        self.disconnected_since.remove(&id);
    }

    /// A connected control process keeps nothing: it copies the log and never votes.
    pub fn mark_observer(&mut self, id: Id) {
        self.observers.insert(id);
    }

    /// The last link to a control process has gone.
    pub fn process_disconnected(&mut self, now: Millis, id: Id) {
        self.connected.remove(&id);
        self.observers.remove(&id);
        self.disconnected_since.insert(id, now);
    }

    /// The next change that the leader `own` should make, if any.
    pub fn next_change(&self, now: Millis, own: Id, membership: &Membership) -> Option<Change> {
        self.stale_learner(now, membership)
            .or_else(|| self.new_learner(membership))
            .or_else(|| self.surplus_voter(now, own, membership))
            .or_else(|| self.promotion(now, own, membership))
    }

    fn stale_learner(&self, now: Millis, membership: &Membership) -> Option<Change> {
        let mut learners = membership.learners.iter();
        let stale = learners.find(|(id, voter)| {
            self.is_superseded(**id, voter) || self.disconnected_ms(now, **id) >= LEARNER_REMOVAL_MS
        });
        stale.map(|(id, _)| Change::Remove(*id))
    }

    fn new_learner(&self, membership: &Membership) -> Option<Change> {
        let known = |id: &Id| membership.members().any(|(member, _)| member == *id);
        let mut connected = self.connected.iter();
        let (id, voter) = connected.find(|(id, _)| !known(id))?;
        Some(Change::Learner(*id, voter.clone()))
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
        let ready =
            learners.find(|id| self.connected.contains_key(id) && !self.observers.contains(id))?;
        Some(Change::Promote(*ready))
    }

    /// A voter that won't come back soon.
    fn lost_voter(&self, now: Millis, own: Id, membership: &Membership) -> Option<Id> {
        let others = membership.voters.iter().filter(|(id, _)| **id != own);
        let lost = others.filter(|(id, voter)| {
            self.is_superseded(**id, voter) || self.disconnected_ms(now, **id) >= VOTER_LOST_MS
        });
        // One that is known not to come back goes first.
        lost.max_by_key(|(id, voter)| {
            (
                self.is_superseded(**id, voter),
                self.disconnected_ms(now, **id),
            )
        })
        .map(|(id, _)| *id)
    }

    /// Whether its instance has come back under another identity.
    fn is_superseded(&self, id: Id, voter: &Voter) -> bool {
        let mut others = self.connected.iter();
        !self.connected.contains_key(&id) && others.any(|(_, other)| other.name == voter.name)
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

/// Who takes over from a leader that stops, among connected voters given with the part of the log
/// that they have and a number that grows with the time of their connection.
///
/// Of those that have the whole log it is the one that connected last: when instances are
/// restarted in turn, it has been restarted already and won't hand over soon again.
pub fn successor(voters: impl Iterator<Item = (Id, Index, u64)>, last: Index) -> Option<Id> {
    let rank = |(_, matched, connected): &(Id, Index, u64)| {
        let whole = *matched >= last;
        (whole, if whole { *connected } else { matched.0 })
    };
    voters.max_by_key(rank).map(|(id, _, _)| id)
}
