//! The in-memory log: a snapshot and the entries after it.

use super::types::{Entry, Index, Membership, Payload, Position, Snapshot, StoredState};
use crate::prelude::*;
use std::hash::{Hash, Hasher};

/// Entries after a base position, with the memberships that they contain.
#[derive(Clone, Debug)]
pub(super) struct Log {
    /// Position of the last entry that is no longer in `entries`.
    snapshot_position: Position,
    /// Contiguous from `base.index + 1`.
    entries: Vec<Entry>,
    /// The snapshot at `base`; `None` only while `base` is zero.
    snapshot: Option<Snapshot>,
    /// Memberships by the index of their entry. The first one is the membership at `base`, so the
    /// map is never empty.
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

    /// The position at an index; `None` before the base or after the last entry.
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

    /// Entries after `prev`, up to `bytes` of payload but at least one entry if there is any.
    pub(super) fn batch(&self, prev: Index, max_bytes: usize) -> Vec<Entry> {
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

    /// Entries after `prev`, which must not be before the base.
    pub(super) fn entries_after(&self, prev: Index) -> &[Entry] {
        let offset = prev.0.saturating_sub(self.snapshot_position.index.0);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.get(offset..).unwrap_or_default()
    }

    /// Appends entries, after dropping all entries from the index of the first new one on.
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

    /// Offset in `entries` of the first entry that the log lacks or has with another term.
    pub(super) fn first_missing(&self, entries: &[Entry]) -> Option<usize> {
        entries
            .iter()
            .position(|entry| !self.contains(entry.position()))
    }

    /// The position to continue the search for the last common entry at, after this log was found
    /// to lack `prev`: the end of the log if that is before `prev`, else the last position before
    /// `prev` whose term is not later than `prev`'s, else the base.
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

    /// The membership in force: the latest in the log, committed or not.
    pub(super) fn membership(&self) -> (Index, &Membership) {
        let (index, membership) = self.memberships.last_key_value().expect("never empty");
        (*index, membership)
    }

    /// The membership before the one in force; `None` if the one in force is that of the base.
    pub(super) fn previous_membership(&self) -> Option<&Membership> {
        self.memberships.values().rev().nth(1)
    }

    /// The membership at an index that is not before the base.
    pub(super) fn membership_at(&self, index: Index) -> &Membership {
        let (_, membership) = self
            .memberships
            .range(..=index)
            .next_back()
            .expect("the base has a membership");
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
