//! Counts the blocks that are in the replicated log.

use super::{
    BLOCK_MS, Block, CLOCK_MARGIN_MS, Counted, LEASE_MS, Policy, Pool, Reservation, Returned,
};
use crate::prelude::*;
use std::collections::VecDeque;

/// The blocks of one pool in one entry of the log.
#[derive(Clone, Debug)]
struct Entry {
    term: u64,
    /// Ticket of the entry of the log; 0 if it isn't known.
    ticket: u64,
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
        self.expire(now);
        for block in &reservation.blocks {
            self.add(now, term, reservation.ticket, block);
        }
        for returned in &reservation.returned {
            self.take_back(term, returned);
        }
    }

    /// Replaces what counts by that of a snapshot. It isn't known when its blocks were applied, so all count as if
    /// they were applied now.
    pub fn restore(&mut self, now: Millis, counted: &[Counted]) {
        self.entries.clear();
        for Counted { term, block } in counted {
            self.add(now, *term, 0, block);
        }
    }

    /// Returns what counts, for a snapshot.
    pub fn snapshot(&mut self, now: Millis) -> Vec<Counted> {
        self.expire(now);
        let mut sums: BTreeMap<(&Pool, u64), u64> = BTreeMap::new();
        for (pool, entries) in &self.entries {
            for entry in entries {
                *sums.entry((pool, entry.term)).or_default() += entry.amount;
            }
        }
        let counted = |((pool, term), amount): ((&Pool, u64), u64)| Counted {
            term,
            block: Block {
                pool: pool.clone(),
                amount,
            },
        };
        sums.into_iter().map(counted).collect()
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

    fn add(&mut self, now: Millis, term: u64, ticket: u64, block: &Block) {
        let entries = self.entries.entry(block.pool.clone()).or_default();
        entries.push_back(Entry {
            term,
            ticket,
            amount: block.amount,
            until: now + self.keep_ms,
        });
    }

    fn expire(&mut self, now: Millis) {
        for entries in self.entries.values_mut() {
            while entries.front().is_some_and(|entry| entry.until <= now) {
                entries.pop_front();
            }
        }
        self.entries.retain(|_, entries| !entries.is_empty());
    }
}
