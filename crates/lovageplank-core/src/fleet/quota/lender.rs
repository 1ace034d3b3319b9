//! Lends what tenants may send to the routers, at the leader.

mod holding;
mod lending;
mod window;

use super::{
    Answer, Ask, BLOCK_MS, Block, Given, Item, Ledger, Limit, Policy, Pool, Reservation, Returned,
};
use crate::prelude::*;
use lending::Lending;

/// Shortest time in milliseconds between two entries of the log that are proposed ahead of need.
const AHEAD_INTERVAL_MS: Millis = 400;
/// Shortest time in milliseconds between two entries for requests that wait. Each entry is written to disk, and after
/// some a snapshot is.
const URGENT_INTERVAL_MS: Millis = 60;

/// An answer, and the number of the link that it is sent on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The link on which the router asked last.
    pub link: u64,
    /// The answer.
    pub answer: Answer,
}

record! { key =>
    /// What is used of a pool, for metrics.
    pub struct Usage {
        /// The pool.
        pub pool: Pool,
        /// Units that were charged within the window, and those that earlier leaders may have lent.
        pub used: u64,
        /// Units that routers hold.
        pub lent: u64,
        /// Most units in a window.
        pub limit: u64,
    }
}

/// An entry of the log that this leader has proposed and that isn't applied yet.
#[derive(Clone, Debug)]
struct Proposal {
    ticket: u64,
    at: Millis,
}

/// Lends to routers while this process is the leader of a term.
///
/// Invariant: a lot is granted only from a block that is in the log, for [`BLOCK_MS`] after the block was proposed,
/// and only if what is used, lent and counted for earlier leaders is no more than the limit with it.
#[derive(Clone, Debug)]
pub struct Lender {
    policy: Policy,
    term: u64,
    limits: BTreeMap<Pool, Limit>,
    lendings: BTreeMap<Pool, Lending>,
    proposal: Option<Proposal>,
    proposed_at: Option<Millis>,
}

impl Lender {
    /// Begins to lead. It may be asked once the process has applied the log up to this term.
    pub fn new(policy: Policy, term: u64) -> Lender {
        Lender {
            policy,
            term,
            limits: BTreeMap::new(),
            lendings: BTreeMap::new(),
            proposal: None,
            proposed_at: None,
        }
    }

    /// Sets the limits of the document in force. A pool without one is not limited.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (Pool, Limit)>) {
        self.limits = limits.into_iter().collect();
    }

    /// Handles a router's message that arrived on a link. Returns what can be answered now.
    pub fn ask(&mut self, now: Millis, ledger: &Ledger, link: u64, ask: &Ask) -> Vec<Reply> {
        for item in &ask.items {
            self.lending(&item.pool).report(now, link, ask, item);
        }
        let pools = ask.items.iter().filter(|item| wants(item));
        let pools: Vec<Pool> = pools.map(|item| item.pool.clone()).collect();
        self.serve(now, ledger, pools)
    }

    /// Records that blocks were applied. Returns what can be answered now.
    pub fn applied(
        &mut self,
        now: Millis,
        ledger: &Ledger,
        reservation: &Reservation,
    ) -> Vec<Reply> {
        let own = self
            .proposal
            .take_if(|proposal| proposal.ticket == reservation.ticket);
        let Some(proposal) = own else {
            return Vec::new();
        };
        let until = proposal.at + BLOCK_MS;
        for block in &reservation.blocks {
            self.lending(&block.pool)
                .add_block(reservation.ticket, block.amount, until);
        }
        let pools: Vec<Pool> = reservation.blocks.iter().map(|b| b.pool.clone()).collect();
        self.serve(now, ledger, pools)
    }

    /// Counts leases that have expired. Returns answers to routers that waited for more to be free.
    pub fn tick(&mut self, now: Millis, ledger: &Ledger) -> Vec<Reply> {
        for lending in self.lendings.values_mut() {
            lending.expire(now);
        }
        let pools: Vec<Pool> = self.lendings.keys().cloned().collect();
        self.serve(now, ledger, pools)
    }

    /// Returns blocks that are to be proposed now, if there are any. `ticket` is a random number.
    pub fn proposal(&mut self, now: Millis, ledger: &Ledger, ticket: u64) -> Option<Reservation> {
        // One that is lost is forgotten when nothing could be granted from it any more.
        if self
            .proposal
            .as_ref()
            .is_some_and(|p| now < p.at + BLOCK_MS)
        {
            return None;
        }
        let since = |interval| self.proposed_at.is_none_or(|at| now >= at + interval);
        if !since(URGENT_INTERVAL_MS) {
            return None;
        }
        let is_early = !since(AHEAD_INTERVAL_MS);
        let mut blocks = Vec::new();
        let mut is_urgent = false;
        for (pool, lending) in &self.lendings {
            let Some(limit) = self.limits.get(pool) else {
                continue;
            };
            let earlier = ledger.of_others(now, pool, self.term);
            let free = lending.free(*limit, earlier);
            let amount = lending.block_wanted(now, *limit, free);
            is_urgent |= amount > 0 && lending.is_waiting_for_block();
            if amount > 0 {
                blocks.push(Block {
                    pool: pool.clone(),
                    amount,
                });
            }
        }
        if blocks.is_empty() || is_early && !is_urgent {
            return None;
        }
        self.proposal = Some(Proposal { ticket, at: now });
        self.proposed_at = Some(now);
        // If this entry is lost, what it returns counts like the rest of its block.
        let returned = self.take_returned();
        Some(Reservation {
            ticket,
            proposed_at: now,
            blocks,
            returned,
        })
    }

    /// What is used of each pool that has a limit.
    pub fn usage(&mut self, now: Millis, ledger: &Ledger) -> Vec<Usage> {
        let mut list = Vec::new();
        for (pool, limit) in &self.limits {
            let Some(lending) = self.lendings.get_mut(pool) else {
                continue;
            };
            lending.expire(now);
            list.push(Usage {
                pool: pool.clone(),
                used: lending.charged() + ledger.of_others(now, pool, self.term),
                lent: lending.outstanding(),
                limit: limit.0,
            });
        }
        list
    }

    fn take_returned(&mut self) -> Vec<Returned> {
        let mut list = Vec::new();
        for (pool, lending) in &mut self.lendings {
            for (ticket, amount) in lending.take_returned() {
                let pool = pool.clone();
                list.push(Returned {
                    ticket,
                    block: Block { pool, amount },
                });
            }
        }
        list
    }

    fn lending(&mut self, pool: &Pool) -> &mut Lending {
        let (term, window_ms) = (self.term, self.policy.window_ms);
        self.lendings
            .entry(pool.clone())
            .or_insert_with(|| Lending::new(term, window_ms))
    }

    /// Answers routers that wait for these pools, as far as it is possible now; one message for each router.
    fn serve(&mut self, now: Millis, ledger: &Ledger, pools: Vec<Pool>) -> Vec<Reply> {
        let mut answers: BTreeMap<(u64, u64), Vec<Given>> = BTreeMap::new();
        for pool in pools {
            let Some(lending) = self.lendings.get_mut(&pool) else {
                continue;
            };
            lending.expire(now);
            let room = lending::Room {
                limit: self.limits.get(&pool).copied(),
                earlier: ledger.of_others(now, &pool, self.term),
            };
            let later = || ledger.others(&pool, self.term).collect();
            for served in lending.serve(now, room, later) {
                let given = answers.entry((served.link, served.session)).or_default();
                given.push(Given {
                    pool: pool.clone(),
                    lots: served.lots,
                    again_ms: served.again_ms,
                });
            }
        }
        let term = self.term;
        let reply = |((link, session), given)| Reply {
            link,
            answer: Answer {
                session,
                term,
                given,
            },
        };
        answers.into_iter().map(reply).collect()
    }
}

/// Whether an item of a message needs an answer. One that only reports doesn't.
fn wants(item: &Item) -> bool {
    item.waiting > 0 || item.ahead > 0
}
