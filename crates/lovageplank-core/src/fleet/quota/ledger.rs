//! Counts the blocks that are in the replicated log.

use super::{
    BLOCK_MS, Block, CLOCK_MARGIN_MS, Counted, LEASE_MS, Policy, Pool, Reservation, Returned,
};
use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds of proposals whose blocks are summed in a snapshot.
const SNAPSHOT_SPAN_MS: Millis = 1_000;

/// The blocks of one pool in one entry of the log.
#[derive(Clone, Debug)]
struct Entry {
    term: u64,
    /// Ticket of the entry of the log; 0 if it isn't known.
    ticket: u64,
    /// When it was proposed, by the clock of the leader of its term.
    proposed_at: Millis,
    amount: u64,
    /// A lot of the block may have been charged in the window before this time.
    until: Millis,
}

/// Blocks in the replicated log, as one control process counts them.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Milliseconds for which a block counts after it is applied: a leader grants from it for [`BLOCK_MS`] after it
    /// proposed it, which was earlier, a router charges the lot for [`LEASE_MS`], and the charge counts for a window.
    keep_ms: Millis,
    /// In the order in which they were applied.
    entries: BTreeMap<Pool, VecDeque<Entry>>,
}

impl Ledger {
    /// Returns the ledger of a process that has applied nothing.
    pub fn new(policy: &Policy) -> Ledger {
        Ledger {
            keep_ms: policy.window_ms + LEASE_MS + BLOCK_MS + CLOCK_MARGIN_MS,
            entries: BTreeMap::new(),
        }
    }

    /// Counts blocks of an entry of this term.
    pub fn apply(&mut self, now: Millis, term: u64, reservation: &Reservation) {
        self.age(now, term, reservation.proposed_at);
        self.expire(now);
        for block in &reservation.blocks {
            let entry = Entry {
                term,
                ticket: reservation.ticket,
                proposed_at: reservation.proposed_at,
                amount: block.amount,
                until: now + self.keep_ms,
            };
            self.add(&block.pool, entry);
        }
        for returned in &reservation.returned {
            self.take_back(term, returned);
        }
    }

    /// Shortens the time for which earlier blocks of a term count, now that a later one is known. A process that
    /// starts applies all of them at once, and without this all would count as if they were proposed then: after a
    /// loss of power tenants got nothing for as long as blocks count.
    fn age(&mut self, now: Millis, term: u64, proposed_at: Millis) {
        let keep_ms = self.keep_ms;
        let entries = self.entries.values_mut().flatten();
        for entry in entries.filter(|entry| entry.term == term) {
            let age_ms = proposed_at.saturating_sub(entry.proposed_at);
            entry.until = entry.until.min(now + keep_ms.saturating_sub(age_ms));
        }
    }

    /// Replaces what counts by that of a snapshot. It isn't known when the snapshot was taken, so the blocks count
    /// as if it were taken now.
    pub fn restore(&mut self, now: Millis, counted: &[Counted]) {
        self.entries.clear();
        for counted in counted {
            let entry = Entry {
                term: counted.term,
                ticket: 0,
                proposed_at: counted.proposed_at,
                amount: counted.block.amount,
                until: now + counted.remaining_ms.min(self.keep_ms),
            };
            self.add(&counted.block.pool, entry);
        }
    }

    /// Returns what counts, for a snapshot.
    pub fn snapshot(&mut self, now: Millis) -> Vec<Counted> {
        self.expire(now);
        let mut counted: BTreeMap<(&Pool, u64, Millis), Counted> = BTreeMap::new();
        for (pool, entries) in &self.entries {
            for entry in entries {
                let span = entry.proposed_at / SNAPSHOT_SPAN_MS;
                let sum = counted
                    .entry((pool, entry.term, span))
                    .or_insert_with(|| Counted {
                        term: entry.term,
                        proposed_at: entry.proposed_at,
                        remaining_ms: 0,
                        block: Block {
                            pool: pool.clone(),
                            amount: 0,
                        },
                    });
                sum.proposed_at = sum.proposed_at.max(entry.proposed_at);
                sum.remaining_ms = sum.remaining_ms.max(entry.until.saturating_sub(now));
                sum.block.amount += entry.amount;
            }
        }
        counted.into_values().collect()
    }

    /// Units of a pool that leaders of other terms may have lent.
    pub(super) fn of_others(&self, now: Millis, pool: &Pool, term: u64) -> u64 {
        self.others(pool, term)
            .filter(|(until, _)| now < *until)
            .map(|(_, amount)| amount)
            .sum()
    }

    /// The blocks of a pool that leaders of other terms proposed: until when each counts, and its units.
    pub(super) fn others(&self, pool: &Pool, term: u64) -> impl Iterator<Item = (Millis, u64)> {
        let entries = self.entries.get(pool).into_iter().flatten();
        entries
            .filter(move |entry| entry.term != term)
            .map(|entry| (entry.until, entry.amount))
    }

    /// Subtracts what wasn't granted from the block itself: others may have been granted completely.
    fn take_back(&mut self, term: u64, returned: &Returned) {
        let Some(entries) = self.entries.get_mut(&returned.block.pool) else {
            return;
        };
        let is_same = |entry: &&mut Entry| entry.term == term && entry.ticket == returned.ticket;
        if let Some(entry) = entries.iter_mut().find(is_same) {
            entry.amount = entry.amount.saturating_sub(returned.block.amount);
        }
    }

    fn add(&mut self, pool: &Pool, entry: Entry) {
        let entries = self.entries.entry(pool.clone()).or_default();
        entries.push_back(entry);
    }

    fn expire(&mut self, now: Millis) {
        for entries in self.entries.values_mut() {
            entries.retain(|entry| now < entry.until);
        }
        self.entries.retain(|_, entries| !entries.is_empty());
    }
}
