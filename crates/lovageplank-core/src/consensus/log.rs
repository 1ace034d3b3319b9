//! The in-memory log: a snapshot and the entries after it.

use super::types::{Entry, Index, Membership, Payload, Position, Snapshot, StoredState};
use crate::prelude::*;
use std::hash::{Hash, Hasher};

/// The entries after the snapshot, with the memberships that they contain.
#[derive(Clone, Debug)]
pub(super) struct Log {
    /// Position of the last entry that the snapshot includes; zero without a snapshot.
    snapshot_position: Position,
    /// Contiguous from `snapshot_position.index + 1`.
    entries: Vec<Entry>,
    /// The snapshot at `snapshot_position`; `None` only while that is zero.
    snapshot: Option<Snapshot>,
    /// Memberships by the index of their entry. The first one is the membership at
    /// `snapshot_position`, so the map is never empty.
    memberships: BTreeMap<Index, Membership>,
}

impl Log {
    pub(super) fn new(stored: StoredState, initial: Membership) -> Log {
        let mut log = Log {
            snapshot_position: Position::default(),
            entries: Vec::new(),
            snapshot: None,
            memberships: BTreeMap::from([(Index(0), initial)]),
        };
        if let Some(snapshot) = stored.snapshot {
            log.reset_to_snapshot(snapshot);
        }
        log.append(stored.entries);
        log
    }

    /// Hashes only positions, because two entries at the same position are equal.
    pub(super) fn fingerprint(&self, hasher: &mut impl Hasher) {
        self.snapshot_position.hash(hasher);
        for entry in &self.entries {
            entry.position().hash(hasher);
        }
    }

    pub(super) fn last(&self) -> Position {
        self.entries
            .last()
            .map_or(self.snapshot_position, Entry::position)
    }

    pub(super) fn snapshot_position(&self) -> Position {
        self.snapshot_position
    }

    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The position at an index; `None` before the snapshot's index or after the last entry.
    pub(super) fn position(&self, index: Index) -> Option<Position> {
        if index == self.snapshot_position.index {
            return Some(self.snapshot_position);
        }
        self.get(index).map(Entry::position)
    }

    pub(super) fn contains(&self, position: Position) -> bool {
        self.position(position.index) == Some(position)
    }

    pub(super) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot_position.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries after `prev`, up to `max_bytes` of payload but at least one entry if there is any.
    pub(super) fn batch(&self, prev: Index, max_bytes: usize) -> Vec<Entry> {
        // An entry without payload counts as one byte, so zero means that the batch is empty.
        let mut batch_bytes = 0;
        self.entries_after(prev)
            .iter()
            .take_while(|entry| {
                let fits = batch_bytes == 0 || batch_bytes + entry.size() <= max_bytes;
                batch_bytes += entry.size().max(1);
                fits
            })
            .cloned()
            .collect()
    }

    /// Entries after `prev`, which must not be before the snapshot's index.
    pub(super) fn entries_after(&self, prev: Index) -> &[Entry] {
        let offset = prev.0.saturating_sub(self.snapshot_position.index.0);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.get(offset..).unwrap_or_default()
    }

    /// Removes all entries from the index of the first new entry on, then appends the new entries.
    pub(super) fn append(&mut self, entries: impl IntoIterator<Item = Entry>) {
        for entry in entries {
            if entry.index <= self.last().index {
                self.truncate(entry.index);
            }
            debug_assert_eq!(entry.index, self.last().index.next());
            if let Payload::Voters(membership) = &entry.payload {
                self.memberships.insert(entry.index, membership.clone());
            }
            self.entries.push(entry);
        }
    }

    fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.snapshot_position.index.0 + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(0));
        self.memberships.split_off(&from);
    }

    /// Offset in `entries` of the first entry that the log does not contain, because it has no
    /// entry at that index or one of another term.
    pub(super) fn first_missing(&self, entries: &[Entry]) -> Option<usize> {
        entries
            .iter()
            .position(|entry| !self.contains(entry.position()))
    }

    /// The position from which to continue the search for the last entry in common with another
    /// log. That entry is known to be before `prev`. A follower calls this when it rejects entries;
    /// the leader calls it when it handles the rejection. The result is:
    ///
    /// - the end of this log, if its index is before `prev`'s;
    /// - otherwise the last entry before `prev` whose term is not later than `prev`'s;
    /// - if there is none, the snapshot's position.
    pub(super) fn conflict_hint(&self, prev: Position) -> Position {
        if self.last().index < prev.index {
            return self.last();
        }
        self.entries
            .iter()
            .rev()
            .map(Entry::position)
            .find(|position| position.index < prev.index && position.term <= prev.term)
            .unwrap_or(self.snapshot_position)
    }

    /// The current membership: the latest in the log, committed or not. Returned with the index of
    /// its entry.
    pub(super) fn membership(&self) -> (Index, &Membership) {
        let (index, membership) = self.memberships.last_key_value().expect("never empty");
        (*index, membership)
    }

    /// The membership before the current one; `None` if no entry after the snapshot has changed it.
    pub(super) fn previous_membership(&self) -> Option<&Membership> {
        self.memberships.values().rev().nth(1)
    }

    /// The membership at an index, which must not be before the snapshot's.
    pub(super) fn membership_at(&self, index: Index) -> &Membership {
        let (_, membership) = self
            .memberships
            .range(..=index)
            .next_back()
            .expect("the snapshot position has a membership");
        membership
    }

    /// Replaces the log up to the snapshot's position. Entries after it are kept only if the log
    /// contains that position.
    pub(super) fn reset_to_snapshot(&mut self, snapshot: Snapshot) {
        let position = snapshot.position();
        if self.contains(position) {
            self.entries = self.entries_after(position.index).to_vec();
            self.memberships = self.memberships.split_off(&position.index.next());
        } else {
            self.entries.clear();
            self.memberships.clear();
        }
        self.memberships
            .insert(position.index, snapshot.membership.clone());
        self.snapshot_position = position;
        self.snapshot = Some(snapshot);
    }
}
