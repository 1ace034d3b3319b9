//! Idempotency records, by which a request with an idempotency key runs at most once.
//!
//! A router claims the key in the replicated log before it dispatches the request, and records the
//! outcome afterwards. A repeated request, through any router, gets the recorded outcome, or
//! [`Verdict::InProgress`] while there is none. It is not run again while the record is kept, unless
//! the recorded outcome is [`Answer::NotRun`].
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
//! Each service may have [`MAX_RECORDS_PER_SERVICE`] records and [`MAX_BYTES_PER_SERVICE`] bytes. A
//! record with an outcome is dropped when its time to live after the outcome has passed, never
//! earlier. Beyond the limits a new claim is refused with [`Verdict::Full`], and the router refuses
//! the request as not run. A pending claim, one without an outcome, never expires. It ends with its
//! outcome or when its router's incarnation ends; in the latter case the outcome is
//! [`Answer::Unknown`]. An answer that is too large or exceeds the service's free bytes is recorded
//! as [`Answer::Executed`].
//!
//! Times are Unix milliseconds on the leaders' wall clocks; the replicated state machine never lets
//! them go back. A leader whose clock is ahead by more than the time to live would expire records
//! early, so the leaders' clocks must agree to well within it.

mod bytes;
mod record;

pub use record::{Answer, Claim, Key, Outcome, Verdict};

use crate::prelude::*;
use record::Record;

/// Maximum number of records per service; a new claim beyond it gets [`Verdict::Full`].
pub const MAX_RECORDS_PER_SERVICE: usize = 20_000;
/// Maximum size of a service's records, keys and answers together, in bytes. A claim whose key would
/// exceed it gets [`Verdict::Full`]; an answer that would is recorded as [`Answer::Executed`].
pub const MAX_BYTES_PER_SERVICE: usize = 8_000_000;
/// Maximum number of services with records; the first claim of a further service gets
/// [`Verdict::Full`].
pub const MAX_SERVICES: usize = 256;
/// Maximum size of a kept answer, body and media type together, in bytes. A larger answer is recorded
/// as [`Answer::Executed`].
pub const MAX_ANSWER_BYTES: usize = 16_384;
/// Maximum length of a caller's name and of a key, in bytes each; a claim beyond it gets
/// [`Verdict::Malformed`].
pub const MAX_KEY_BYTES: usize = 256;
/// Maximum number of routers whose ended incarnations are kept. Beyond it, a router without pending
/// claims is dropped, and late claims of its ended incarnations are no longer refused. If every
/// router has pending claims, none is dropped and the number grows beyond the maximum.
pub const MAX_ENDED_ROUTERS: usize = 10_000;

record! { data =>
    #[derive(Default)]
    struct Service {
        /// Records by caller and key.
        #[serde(rename = "entries")]
        records: BTreeMap<(Name, Name), Record>,
        /// Size of the records, in bytes.
        bytes: usize,
    }
}

record! { data =>
    /// Idempotency records of all services.
    #[derive(Default)]
    pub struct Table {
        services: BTreeMap<Name, Service>,
        /// Key of each record by the log index of its claim.
        claims: BTreeMap<u64, Key>,
        /// Expiry time in Unix milliseconds and claim index of each record with an outcome.
        expiries: BTreeSet<(u64, u64)>,
        /// Indexes of pending claims by router.
        #[serde(rename = "live")]
        pending_claims: BTreeMap<Name, BTreeSet<u64>>,
        /// Highest ended incarnation of each router; smaller ones have ended too.
        #[serde(rename = "ended")]
        ended_incarnations: BTreeMap<Name, u64>,
    }
}

impl Table {
    /// Applies a claim and returns its verdict; `index` is the claim's log index.
    ///
    /// A claim of a new router incarnation ends the claims of that router's earlier incarnations.
    pub fn claim(&mut self, index: u64, claim: &Claim) -> Verdict {
        self.expire(claim.at_ms);
        if claim.key.caller.len() > MAX_KEY_BYTES || claim.key.key.len() > MAX_KEY_BYTES {
            return Verdict::Malformed;
        }
        if self.has_ended(&claim.router, claim.router_incarnation) {
            return Verdict::Stale;
        }
        if let Some(previous) = claim.router_incarnation.checked_sub(1) {
            self.end_incarnations(&claim.router, previous, claim.at_ms);
        }
        if let Some(record) = self.record(&claim.key) {
            return record.verdict(claim);
        }
        if !self.has_capacity(&claim.key) {
            return Verdict::Full;
        }
        self.insert(index, claim);
        Verdict::Run { claim: index }
    }

    /// Records an outcome. Returns false if there is no such claim or it already has a known outcome.
    ///
    /// A later outcome of the same claim replaces [`Answer::Unknown`]. [`Answer::NotRun`] removes the
    /// record, so that the request may be sent again.
    pub fn complete(&mut self, outcome: &Outcome) -> bool {
        self.expire(outcome.at_ms);
        let Some(key) = self.claims.get(&outcome.claim).cloned() else {
            return false;
        };
        let has_outcome = |record: &Record| !matches!(record.answer, None | Some(Answer::Unknown));
        if self.record(&key).is_none_or(has_outcome) {
            return false;
        }
        if outcome.answer == Answer::NotRun {
            self.remove(outcome.claim);
        } else {
            self.record_answer(&key, &outcome.answer, outcome.at_ms);
        }
        true
    }

    /// Ends the pending claims of a router's incarnation and earlier ones with [`Answer::Unknown`] and
    /// returns their number.
    ///
    /// Later claims of these incarnations get [`Verdict::Stale`].
    pub fn abandon(&mut self, router: &Name, incarnation: u64, at_ms: u64) -> usize {
        self.expire(at_ms);
        self.end_incarnations(router, incarnation, at_ms)
    }

    /// Removes records whose time to live has passed at `at_ms`. `claim`, `complete` and `abandon` call
    /// it too.
    pub fn expire(&mut self, at_ms: u64) {
        while let Some((end, claim)) = self.expiries.first().copied() {
            if end > at_ms {
                break;
            }
            self.remove(claim);
        }
    }

    /// Number of records over all services.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Size of a service's records, in bytes; 0 for a service without records.
    pub fn bytes(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |s| s.bytes)
    }

    /// Routers with pending claims, each with the incarnations that made these claims.
    pub fn pending_by_router(&self) -> BTreeMap<Name, BTreeSet<u64>> {
        let mut routers: BTreeMap<Name, BTreeSet<u64>> = BTreeMap::new();
        for (router, claims) in &self.pending_claims {
            let records = claims
                .iter()
                .filter_map(|c| self.record(self.claims.get(c)?));
            let incarnations = records.map(|r| r.router_incarnation).collect();
            routers.insert(router.clone(), incarnations);
        }
        routers
    }

    fn record(&self, key: &Key) -> Option<&Record> {
        let service = self.services.get(&key.service)?;
        service.records.get(&(key.caller.clone(), key.key.clone()))
    }

    fn record_mut(&mut self, key: &Key) -> Option<&mut Record> {
        let service = self.services.get_mut(&key.service)?;
        let key = (key.caller.clone(), key.key.clone());
        service.records.get_mut(&key)
    }

    fn has_ended(&self, router: &Name, incarnation: u64) -> bool {
        self.ended_incarnations
            .get(router)
            .is_some_and(|e| *e >= incarnation)
    }

    fn has_capacity(&self, key: &Key) -> bool {
        match self.services.get(&key.service) {
            Some(s) => {
                s.records.len() < MAX_RECORDS_PER_SERVICE
                    && s.bytes + key.bytes() <= MAX_BYTES_PER_SERVICE
            }
            None => self.services.len() < MAX_SERVICES,
        }
    }

    fn insert(&mut self, index: u64, claim: &Claim) {
        let key = &claim.key;
        let service = self.services.entry(key.service.clone()).or_default();
        service.bytes += key.bytes();
        let record_key = (key.caller.clone(), key.key.clone());
        service
            .records
            .insert(record_key, Record::new(index, claim));
        self.claims.insert(index, key.clone());
        let pending = self.pending_claims.entry(claim.router.clone()).or_default();
        pending.insert(index);
    }

    fn record_answer(&mut self, key: &Key, answer: &Answer, at_ms: u64) {
        let free_bytes = MAX_BYTES_PER_SERVICE.saturating_sub(self.bytes(&key.service));
        let answer = answer.limited_to(free_bytes.min(MAX_ANSWER_BYTES));
        let Some(record) = self.record_mut(key) else {
            return;
        };
        let claim = record.claim;
        let router = record.router.clone();
        let previous_end = record.expires_ms;
        let end = at_ms.saturating_add(record.ttl_ms);
        let bytes = answer.bytes();
        record.expires_ms = Some(end);
        record.answer = Some(answer);
        if let Some(previous_end) = previous_end {
            self.expiries.remove(&(previous_end, claim));
        }
        self.expiries.insert((end, claim));
        self.remove_pending_claim(&router, claim);
        if let Some(service) = self.services.get_mut(&key.service) {
            service.bytes += bytes;
        }
    }

    fn end_incarnations(&mut self, router: &Name, incarnation: u64, at_ms: u64) -> usize {
        if self.has_ended(router, incarnation) {
            return 0;
        }
        if self.ended_incarnations.len() >= MAX_ENDED_ROUTERS
            && !self.ended_incarnations.contains_key(router)
        {
            self.evict_ended_router();
        }
        self.ended_incarnations.insert(router.clone(), incarnation);
        let pending = self.pending_claims.get(router).cloned().unwrap_or_default();
        let mut abandoned = 0;
        for claim in pending {
            let Some(key) = self.claims.get(&claim).cloned() else {
                continue;
            };
            let record = self.record(&key);
            if record.is_some_and(|r| r.router_incarnation <= incarnation) {
                self.record_answer(&key, &Answer::Unknown, at_ms);
                abandoned += 1;
            }
        }
        abandoned
    }

    /// Drops the ended incarnation of the first router by name that has no pending claims, if any.
    fn evict_ended_router(&mut self) {
        let idle = |router: &&Name| !self.pending_claims.contains_key(*router);
        if let Some(router) = self.ended_incarnations.keys().find(idle).cloned() {
            self.ended_incarnations.remove(&router);
        }
    }

    fn remove_pending_claim(&mut self, router: &Name, claim: u64) {
        if let Some(pending) = self.pending_claims.get_mut(router) {
            pending.remove(&claim);
            if pending.is_empty() {
                self.pending_claims.remove(router);
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
        let record_key = (key.caller.clone(), key.key.clone());
        let Some(record) = service.records.remove(&record_key) else {
            return;
        };
        service.bytes -= key.bytes() + record.answer.as_ref().map_or(0, Answer::bytes);
        if service.records.is_empty() {
            self.services.remove(&key.service);
        }
        if let Some(end) = record.expires_ms {
            self.expiries.remove(&(end, claim));
        }
        self.remove_pending_claim(&record.router, claim);
    }
}
