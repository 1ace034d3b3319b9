//! The router's decisions, without input and output.
//!
//! [`State`] takes the time and an event and gives [`Verdict`]s: requests arrive, wait, are
//! dispatched, retried or refused. The decision thread of [`crate::broker`] owns it; tests drive
//! it in virtual time.
//!
//! A request is always in one of three stages: in the queue of its model or service, in backoff
//! before a retry, or dispatched to a backend server. It ends exactly once: with a complete
//! answer, with a refusal, or when it is cancelled.

mod admission;
mod attempts;
mod expectation;
mod heartbeat;
mod query;
mod request;

use expectation::Expectation;
pub use query::Model;
pub use request::{Arrival, AttemptResult, Dispatch, Failure, Target, Verdict};

use crate::refusal::{Code, Refusal};
use lovageplank_core::admission::{ConcurrencyLimiter, Queue, RateLimiter};
use lovageplank_core::backend::ServerReport;
use lovageplank_core::prelude::*;
use lovageplank_core::retry::{self, Retrier};
use lovageplank_core::route::Table;
use lovageplank_core::view::{ReplicaId, Update, View};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use request::{Request, Stage};
use std::collections::HashMap;

/// Milliseconds for which a request waits for a replica that has its adapter loaded. After that,
/// it may be dispatched to a replica of the base model without the adapter.
const ADAPTER_WAIT_MS: u64 = 250;
/// Milliseconds between scans of the queues for requests that a backend server can take again.
const QUEUE_SCAN_INTERVAL_MS: u64 = 10;
/// Milliseconds after which a refused caller should retry if no estimate is known. Lower estimates
/// of the wait in a queue are raised to it.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Name and failure domain of a router.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: Name,
    /// Its failure domain.
    pub failure_domain: Name,
}

/// The state that a router's decisions depend on.
///
/// Invariant: `queues[k]` holds exactly the queued requests whose key is `k`, and `backing_off`
/// exactly the requests in backoff.
pub struct State {
    identity: Identity,
    view: View,
    table: Table,
    /// When models without a ready replica are expected to have one, by model.
    expected: HashMap<Name, Expectation>,
    lease_until: Millis,
    leaving: bool,
    requests: HashMap<u64, Request>,
    queues: HashMap<Name, Queue>,
    backing_off: BTreeSet<(Millis, u64)>,
    concurrency: ConcurrencyLimiter,
    rate_limiter: RateLimiter,
    retrier: Retrier,
    /// Dispatched requests of this router by replica. To the leader, a draining replica is free
    /// once no router reports requests on it.
    in_flight: BTreeMap<ReplicaId, u32>,
    /// Requests by model that arrived since the last heartbeat.
    arrivals: BTreeMap<Name, u32>,
    /// Whether a heartbeat should be sent before its interval ends: a request started to wait for a
    /// model or adapter, or this instance started to leave.
    heartbeat_requested: bool,
    verdicts: Vec<(u64, Verdict)>,
    next_queue_scan: Millis,
    rng: SmallRng,
}

impl State {
    /// Creates the state of a router without a view and without a lease.
    pub fn new(identity: Identity, seed: u64) -> State {
        State {
            table: Table::new(identity.failure_domain.clone()),
            identity,
            view: View::default(),
            expected: HashMap::new(),
            lease_until: 0,
            leaving: false,
            requests: HashMap::new(),
            queues: HashMap::new(),
            backing_off: BTreeSet::new(),
            concurrency: ConcurrencyLimiter::default(),
            rate_limiter: RateLimiter::default(),
            retrier: Retrier::new(retry::Config::default()),
            in_flight: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            heartbeat_requested: false,
            verdicts: Vec::new(),
            next_queue_scan: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes the verdicts that were reached since the last call, by request id.
    pub fn take_verdicts(&mut self) -> Vec<(u64, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Applies an update of the view; returns false if an update before it is missing.
    pub fn apply(&mut self, now: Millis, update: &Update) -> bool {
        if !self.view.apply(update.clone()) || !self.table.apply(now, update) {
            return false;
        }
        if update.full {
            self.expected.clear();
        }
        for expected in &update.expected {
            let expectation = Expectation::new(now, expected);
            self.expected.insert(expected.model.clone(), expectation);
        }
        if self.must_leave() {
            self.start_leaving();
        }
        self.dispatch_all_queued(now);
        true
    }

    /// Whether an operator has marked this instance as leaving and it hasn't started to leave. The
    /// router keeps `leaving` itself, so that it survives a change of leader and ends with the
    /// process.
    fn must_leave(&self) -> bool {
        let own = self.view.instances.get(&self.identity.instance);
        !self.leaving && own.is_some_and(|i| i.state == lovageplank_core::backend::State::Leaving)
    }

    /// Extends the lease, during which the view may be used, to `until`.
    pub fn extend_lease(&mut self, until: Millis) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Applies a backend server's load report.
    pub fn apply_report(&mut self, now: Millis, report: &ServerReport) {
        self.table.apply_report(now, report);
    }

    /// Sends no more requests to a server that announced that it leaves, without waiting for the
    /// update of the view.
    pub fn mark_server_leaving(&mut self, server: &str, incarnation: u64) {
        self.table.mark_leaving(server, incarnation);
    }

    /// Starts to leave: the instance is no longer ready nor among the entries, so that callers go
    /// to others. It still serves the requests that it gets.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
        self.heartbeat_requested = true;
    }

    /// Number of requests that are queued, in backoff or dispatched.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests in the queues.
    pub fn queued(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Handles what is due at `now`: ended backoffs, scans of the queues, deadlines and the end of
    /// the lease.
    pub fn tick(&mut self, now: Millis) {
        while let Some((at, id)) = self.backing_off.first().copied() {
            if at > now {
                break;
            }
            self.backing_off.remove(&(at, id));
            self.requeue(now, id);
        }
        if now >= self.next_queue_scan || self.next_deadline().is_some_and(|at| at <= now) {
            self.dispatch_all_queued(now);
        }
        if now >= self.lease_until {
            self.refuse_undispatched();
        }
    }

    /// Refuses all requests that aren't dispatched, because without a lease the view may be
    /// outdated.
    fn refuse_undispatched(&mut self) {
        let undispatched = |r: &&Request| r.stage != Stage::Dispatched;
        let ids: Vec<u64> = self
            .requests
            .values()
            .filter(undispatched)
            .map(|r| r.id)
            .collect();
        for queue in self.queues.values_mut() {
            queue.drain();
        }
        self.backing_off.clear();
        for id in ids {
            let refusal = self.lease_lapsed_refusal(&self.requests[&id].key);
            self.refuse(id, refusal);
        }
    }

    fn lease_lapsed_refusal(&self, key: &str) -> Refusal {
        let message = "this instance has lost the control group; try another";
        Refusal::new(Code::LeaseLapsed, message).entries(self.other_addresses(key))
    }

    /// When [`State::tick`] is due next; `None` if no request waits.
    pub fn next_tick(&self) -> Option<Millis> {
        let has_queued = self.queues.values().any(|q| !q.is_empty());
        let queue_scan = has_queued.then_some(self.next_queue_scan);
        let backoff_end = self.backing_off.first().map(|key| key.0);
        [queue_scan, backoff_end, self.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    fn next_deadline(&self) -> Option<Millis> {
        self.queues.values().filter_map(Queue::next_deadline).min()
    }

    fn set_stage(&mut self, id: u64, stage: Stage) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = stage;
        }
    }

    /// Refuses a request, which must have been removed from its queue.
    ///
    /// If an earlier attempt may have run, a refusal that claims `not_run` is replaced by
    /// [`Code::OutcomeUnknown`].
    fn refuse(&mut self, id: u64, mut refusal: Refusal) {
        let request = self.remove(id);
        if request.is_some_and(|r| r.may_have_run) && refusal.code.not_run() {
            refusal.code = Code::OutcomeUnknown;
            refusal.message = format!("an earlier attempt may have run; {}", refusal.message);
        }
        self.verdicts.push((id, Verdict::Refuse(refusal)));
    }

    fn remove(&mut self, id: u64) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.concurrency.release(&request.service);
        Some(request)
    }
}
