//! Quotas of tenants, summed over all routers, by token leases.
//!
//! A router charges a request before its first attempt, from *lots* that the leader has granted. A lot may be
//! charged until [`LEASE_MS`] after the router asked for it, by the router's clock.
//!
//! | type | process | duty |
//! | --- | --- | --- |
//! | [`Share`] | router | charges requests, asks for lots, reports |
//! | [`Lender`] | leader | grants lots from blocks, within the limit |
//! | [`Ledger`] | control processes | counts the blocks that are in the replicated log |
//!
//! The bound holds because at each grant, what was reported as charged within the window, all lots that may still be
//! charged, and the blocks of earlier leaders add up to no more than the limit. A charge is counted from its report,
//! which is later than the charge; until then its lot counts.

mod ledger;
mod lender;
mod rate;
mod share;

pub use ledger::Ledger;
pub use lender::{Lender, Reply, Usage};
pub use share::{Charge, Decision, Outcome, Share};

use super::tenant::{Quota, Unit};
use crate::prelude::*;

/// The protocol version since which processes know of quotas.
pub const PROTOCOL: u32 = 7;
/// Milliseconds for which a router may charge a lot, from the time at which it asked for it.
pub const LEASE_MS: Millis = 3_000;
/// Milliseconds for which a leader grants from a block, from the time at which it proposed the block.
pub const BLOCK_MS: Millis = 1_000;
/// Milliseconds for which a request waits for the leader's answer.
pub const ANSWER_TIMEOUT_MS: Millis = 400;
/// Milliseconds that are added to times of other processes' leases and blocks, since clocks differ in speed. Clocks
/// differ by less than 0.1%, which is 12 ms in the longest of these times.
const CLOCK_MARGIN_MS: Millis = 50;

record! { data =>
    /// Settings for the quotas of all tenants.
    pub struct Policy {
        /// Length of the sliding window in milliseconds.
        pub window_ms: u64,
        /// Fraction by which all routers together may exceed a quota.
        pub overage: f64,
        /// Units by which they may exceed it besides.
        pub slack: u64,
    }
}

record! { copy =>
    /// Most units that may be charged in a window, over all routers.
    pub struct Limit(pub u64);
}

impl Limit {
    /// The limit of a tenant; `None` if its rate is 0, which is no limit.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )] // Saturates.
    pub fn new(quota: &Quota, policy: &Policy) -> Option<Limit> {
        if quota.rate_per_s == 0 {
            return None;
        }
        let window_s = policy.window_ms as f64 / 1_000.0;
        let owed = quota.rate_per_s as f64 * window_s + quota.burst as f64;
        let with_overage = (owed * (1.0 + policy.overage)) as u64;
        Some(Limit(with_overage.saturating_add(policy.slack)))
    }
}

record! { key =>
    /// What is charged to one tenant in one unit. A tenant whose unit changes begins another pool.
    pub struct Pool {
        /// Name of the tenant.
        pub tenant: Name,
        /// What is counted.
        pub unit: Unit,
    }
}

record! { copy =>
    /// An amount that a router may charge.
    pub struct Lot {
        /// Its number among the lots of the same pool, router and term; increases from 1.
        pub number: u64,
        /// Units.
        pub amount: u64,
        /// When the router asked for it, by the router's clock.
        pub asked_at: Millis,
    }
}

record! { copy =>
    /// What a router has done with the lots of one leader.
    pub struct Account {
        /// Term of the leader.
        pub term: u64,
        /// Number of the last lot that the router has received. It uses no lot up to this number that it receives later.
        pub confirmed: u64,
        /// Units of these lots that were charged, since the router started.
        pub charged: u64,
        /// Units of these lots that may still be charged.
        pub held: u64,
    }
}

record! { key =>
    /// A router's report on one pool, and what it needs.
    pub struct Item {
        /// The pool.
        pub pool: Pool,
        /// By term of the leader; the newest last.
        pub accounts: Vec<Account>,
        /// Units that the request lacks which has waited longest.
        pub first: u64,
        /// Units that all requests lack that wait.
        pub waiting: u64,
        /// Units wanted for later requests.
        pub ahead: u64,
    }
}

record! { key =>
    /// A router's message to the leader.
    pub struct Ask {
        /// Random number of the router's process.
        pub session: u64,
        /// Number of the message; increases. An older message than the last one received is ignored.
        pub number: u64,
        /// When it was sent, by the router's clock.
        pub sent_at: Millis,
        /// The pools that need something or have something to report.
        pub items: Vec<Item>,
    }
}

record! { key =>
    /// The leader's answer on one pool.
    pub struct Given {
        /// The pool.
        pub pool: Pool,
        /// All lots that the router hasn't confirmed.
        pub lots: Vec<Lot>,
        /// Set if the requests that wait are refused: milliseconds until more is free.
        pub again_ms: Option<u64>,
    }
}

record! { key =>
    /// The leader's answer to an [`Ask`]. Pools that have to wait are answered later.
    pub struct Answer {
        /// The router's process.
        pub session: u64,
        /// Term of the leader.
        pub term: u64,
        /// By pool.
        pub given: Vec<Given>,
    }
}

record! { key =>
    /// Units of a pool in the replicated log.
    pub struct Block {
        /// The pool.
        pub pool: Pool,
        /// Units that the leader which proposed it may grant.
        pub amount: u64,
    }
}

record! { key =>
    /// Blocks of an entry of the replicated log.
    pub struct Reservation {
        /// Random number by which the leader that proposed the entry recognizes it.
        pub ticket: u64,
        /// When the leader proposed it, by its own clock. Compared only with other entries of the same term.
        pub proposed_at: Millis,
        /// One for each pool that needs one.
        pub blocks: Vec<Block>,
        /// What the same leader hasn't granted of earlier blocks, and no longer grants.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub returned: Vec<Returned>,
    }
}

record! { key =>
    /// Units of a block that were not granted.
    pub struct Returned {
        /// Ticket of the entry that had the block.
        pub ticket: u64,
        /// The pool, and the units.
        pub block: Block,
    }
}

record! { key =>
    /// Blocks that count, in a snapshot.
    pub struct Counted {
        /// Term of the leader that proposed them.
        pub term: u64,
        /// When the latest of them was proposed, by the clock of that leader.
        pub proposed_at: Millis,
        /// Milliseconds for which they count after the snapshot was taken.
        pub remaining_ms: Millis,
        /// Their sum for a pool.
        pub block: Block,
    }
}
