//! Records that make keyed requests run at most once.
//!
//! A router claims a key in the replicated log before it dispatches the request, and records the
//! outcome afterwards. A request that is sent again, through whichever router, gets the first
//! outcome; while there is none it is told so; it is never run a second time.
//!
//! ```
//! use lovageplank_core::idempotency::{Claim, Key, Table, Verdict};
//! let key = Key { service: "orders".into(), caller: "office".into(), key: "42".into() };
//! let claim = Claim {
//!     key, fingerprint: 7, router: "r1".into(), router_incarnation: 1, attempt: 1,
//!     at_ms: 0, ttl_ms: 60_000,
//! };
//! let mut table = Table::default();
//! assert_eq!(table.claim(10, &claim), Verdict::Run { claim: 10 });
//! let again = Claim { router: "r2".into(), ..claim };
//! assert_eq!(table.claim(11, &again), Verdict::InProgress);
//! ```
//!
//! # Limits
//!
//! Each service has room for [`MAX_RECORDS`] records and [`MAX_BYTES`] bytes. A record is dropped
//! when its time to live after the outcome is over, never before: when there is no room, a new
//! claim is refused with [`Verdict::Full`], and the router refuses the request as not run. A live
//! claim never expires; it ends with its outcome or with its router, whose claims then count as
//! [`Answer::Unknown`]. An answer that is too large, or that finds no room, is remembered as
//! [`Answer::Executed`].
//!
//! Times are the leaders' wall clocks, which the machine never lets go back. A leader whose clock is
//! ahead by more than the time to live would end it early, so their clocks must be kept in step to
//! well within it.

mod bytes;
mod record;

pub use record::{Answer, Claim, Key, Outcome, Verdict};

use crate::prelude::*;
use record::Entry;

/// Most records of one service.
pub const MAX_RECORDS: usize = 20_000;
/// Most bytes of one service's records, keys and answers together.
pub const MAX_BYTES: usize = 8_000_000;
/// Most services with records at once.
pub const MAX_SERVICES: usize = 256;
/// Most bytes of an answer's body that is kept.
pub const MAX_BODY_BYTES: usize = 16_384;
/// Most bytes of a caller's name and of a key.
pub const MAX_KEY_BYTES: usize = 256;
/// Most routers whose ended incarnations are remembered.
pub const MAX_ROUTERS: usize = 10_000;

record! { data =>
    #[derive(Default)]
    struct Service {
        /// By caller and key.
        entries: BTreeMap<(Name, Name), Entry>,
        /// Sum of the entries' bytes.
        bytes: usize,
    }
}

record! { data =>
    /// All records.
    #[derive(Default)]
    pub struct Table {
        services: BTreeMap<Name, Service>,
        /// Every entry's key by the index of its claim.
        claims: BTreeMap<u64, Key>,
        /// Ends of entries that have an outcome, in Unix milliseconds, with their claims.
        expiries: BTreeSet<(u64, u64)>,
        /// Live claims by router.
        live: BTreeMap<Name, BTreeSet<u64>>,
        /// Highest ended incarnation of each router.
        ended: BTreeMap<Name, u64>,
    }
}

impl Table {
    /// Judges a claim; `index` is its place in the log.
    pub fn claim(&mut self, index: u64, claim: &Claim) -> Verdict {
        self.expire(claim.at_ms);
        if claim.key.caller.len() > MAX_KEY_BYTES || claim.key.key.len() > MAX_KEY_BYTES {
            return Verdict::Malformed;
        }
        if self.ended(&claim.router, claim.router_incarnation) {
            return Verdict::Stale;
        }
        if let Some(newest) = claim.router_incarnation.checked_sub(1) {
            self.end(&claim.router, newest, claim.at_ms);
        }
        if let Some(entry) = self.entry(&claim.key) {
            return entry.verdict(claim);
        }
        if !self.has_room(&claim.key) {
            return Verdict::Full;
        }
        self.insert(index, claim);
        Verdict::Run { claim: index }
    }

    /// Records an outcome; false when the claim is unknown or has one already.
    ///
    /// An outcome that was unknown gives way to a known one of the same claim. A claim whose
    /// request was not run is forgotten, so that the request may be sent again.
    pub fn complete(&mut self, outcome: &Outcome) -> bool {
        self.expire(outcome.at_ms);
        let Some(key) = self.claims.get(&outcome.claim).cloned() else {
            return false;
        };
        let settled = |entry: &Entry| !matches!(entry.answer, None | Some(Answer::Unknown));
        if self.entry(&key).is_none_or(settled) {
            return false;
        }
        if outcome.answer == Answer::NotRun {
            self.remove(outcome.claim);
        } else {
            self.settle(&key, &outcome.answer, outcome.at_ms);
        }
        true
    }

    /// Ends the claims of a router's incarnation and earlier ones as unknown; yields how many.
    ///
    /// Claims that these incarnations make from now on are refused.
    pub fn abandon(&mut self, router: &Name, incarnation: u64, at_ms: u64) -> usize {
        self.expire(at_ms);
        self.end(router, incarnation, at_ms)
    }

    /// Drops records whose time is over; called by the other methods as well.
    pub fn expire(&mut self, at_ms: u64) {
        while let Some((end, claim)) = self.expiries.first().copied() {
            if end > at_ms {
                break;
            }
            self.remove(claim);
        }
    }

    /// Records held, over all services.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Bytes that a service's records count for.
    pub fn bytes(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |s| s.bytes)
    }

    /// Routers with live claims, each with the incarnations that made them.
    pub fn live(&self) -> BTreeMap<Name, BTreeSet<u64>> {
        let mut routers: BTreeMap<Name, BTreeSet<u64>> = BTreeMap::new();
        for (router, claims) in &self.live {
            let entries = claims
                .iter()
                .filter_map(|c| self.entry(self.claims.get(c)?));
            let incarnations = entries.map(|e| e.router_incarnation).collect();
            routers.insert(router.clone(), incarnations);
        }
        routers
    }

    fn entry(&self, key: &Key) -> Option<&Entry> {
        let service = self.services.get(&key.service)?;
        service.entries.get(&(key.caller.clone(), key.key.clone()))
    }

    fn entry_mut(&mut self, key: &Key) -> Option<&mut Entry> {
        let service = self.services.get_mut(&key.service)?;
        let key = (key.caller.clone(), key.key.clone());
        service.entries.get_mut(&key)
    }

    fn ended(&self, router: &Name, incarnation: u64) -> bool {
        self.ended.get(router).is_some_and(|e| *e >= incarnation)
    }

    fn has_room(&self, key: &Key) -> bool {
        match self.services.get(&key.service) {
            Some(s) => s.entries.len() < MAX_RECORDS && s.bytes + key.bytes() <= MAX_BYTES,
            None => self.services.len() < MAX_SERVICES,
        }
    }

    fn insert(&mut self, index: u64, claim: &Claim) {
        let key = &claim.key;
        let service = self.services.entry(key.service.clone()).or_default();
        service.bytes += key.bytes();
        let place = (key.caller.clone(), key.key.clone());
        service.entries.insert(place, Entry::new(index, claim));
        self.claims.insert(index, key.clone());
        let live = self.live.entry(claim.router.clone()).or_default();
        live.insert(index);
    }

    fn settle(&mut self, key: &Key, answer: &Answer, at_ms: u64) {
        let room = MAX_BYTES.saturating_sub(self.bytes(&key.service));
        let answer = answer.within(room.min(MAX_BODY_BYTES));
        let Some(entry) = self.entry_mut(key) else {
            return;
        };
        let claim = entry.claim;
        let router = entry.router.clone();
        let before = entry.expires_ms;
        let end = at_ms.saturating_add(entry.ttl_ms);
        let bytes = answer.bytes();
        entry.expires_ms = Some(end);
        entry.answer = Some(answer);
        if let Some(before) = before {
            self.expiries.remove(&(before, claim));
        }
        self.expiries.insert((end, claim));
        self.forget_live(&router, claim);
        if let Some(service) = self.services.get_mut(&key.service) {
            service.bytes += bytes;
        }
    }

    fn end(&mut self, router: &Name, incarnation: u64, at_ms: u64) -> usize {
        if self.ended(router, incarnation) {
            return 0;
        }
        if self.ended.len() >= MAX_ROUTERS && !self.ended.contains_key(router) {
            self.forget_router();
        }
        self.ended.insert(router.clone(), incarnation);
        let live = self.live.get(router).cloned().unwrap_or_default();
        let mut abandoned = 0;
        for claim in live {
            let Some(key) = self.claims.get(&claim).cloned() else {
                continue;
            };
            let entry = self.entry(&key);
            if entry.is_some_and(|e| e.router_incarnation <= incarnation) {
                self.settle(&key, &Answer::Unknown, at_ms);
                abandoned += 1;
            }
        }
        abandoned
    }

    /// Makes room for another router, at the cost of one that has no live claims.
    fn forget_router(&mut self) {
        let idle = |router: &&Name| !self.live.contains_key(*router);
        if let Some(router) = self.ended.keys().find(idle).cloned() {
            self.ended.remove(&router);
        }
    }

    fn forget_live(&mut self, router: &Name, claim: u64) {
        if let Some(live) = self.live.get_mut(router) {
            live.remove(&claim);
            if live.is_empty() {
                self.live.remove(router);
            }
        }
    }

    fn remove(&mut self, claim: u64) {
        let Some(key) = self.claims.remove(&claim) else {
            return;
        };
        let Some(service) = self.services.get_mut(&key.service) else {
            return;
        };
        let place = (key.caller.clone(), key.key.clone());
        let Some(entry) = service.entries.remove(&place) else {
            return;
        };
        service.bytes -= key.bytes() + entry.answer.as_ref().map_or(0, Answer::bytes);
        if service.entries.is_empty() {
            self.services.remove(&key.service);
        }
        if let Some(end) = entry.expires_ms {
            self.expiries.remove(&(end, claim));
        }
        self.forget_live(&entry.router, claim);
    }
}
