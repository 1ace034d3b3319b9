//! The router's decisions, free of input and output.
//!
//! [`State`] takes the time and an event and gives [`Verdict`]s: requests arrive, wait, are
//! dispatched, retried or refused. One thread owns it (see [`crate::broker`]); tests drive it in
//! virtual time.
//!
//! A request is always in one of three places: the queue of its model or service, the list of
//! those that back off before a retry, or in progress at a backend server. Each verdict moves it,
//! and every path ends in exactly one final verdict or in the caller's departure.

mod entry;
mod heartbeat;
mod request;

pub use entry::Model;
pub use request::{Arrival, Dispatch, Ended, Failure, Target, Verdict};

use crate::refusal::{Code, Refusal};
use lovageplank_core::admission::{self, Gate, Limit, Queue, Rates, Ticket};
use lovageplank_core::backend::Report;
use lovageplank_core::prelude::*;
use lovageplank_core::retry::{self, Decision, Retrier, Situation};
use lovageplank_core::route::{Ending, Table, Want};
use lovageplank_core::settings::{Effective, Kind};
use lovageplank_core::view::{ReplicaId, Update, View};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use request::{Place, Request};
use std::collections::HashMap;

/// Requests of one queue that are looked at when a place is free.
const PUMP_SCAN: usize = 32;
/// Milliseconds for which a request waits for its adapter before its base replica is asked.
pub(crate) const ADAPTER_WAIT_MS: u64 = 250;
/// Milliseconds between looks at queues whose servers may have regained room.
const PUMP_MS: u64 = 10;
/// Advice to callers when nothing better is known, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Where and who the router is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: Name,
    /// Its failure domain.
    pub failure_domain: Name,
}

/// All that a router decides by.
///
/// Invariant: `queues[k]` holds exactly the requests whose place is the queue of `k`, and
/// `delayed` exactly those that back off.
pub struct State {
    identity: Identity,
    view: View,
    table: Table,
    /// When models without a ready replica are expected to have one.
    expected: HashMap<Name, Option<Millis>>,
    lease_until: Millis,
    leaving: bool,
    requests: HashMap<u64, Request>,
    queues: HashMap<Name, Queue>,
    delayed: BTreeSet<(Millis, u64)>,
    gate: Gate,
    rates: Rates,
    retrier: Retrier,
    /// Own requests by replica, for acknowledging that a replica is drained.
    busy: BTreeMap<ReplicaId, u32>,
    /// Requests by model since the last heartbeat.
    arrivals: BTreeMap<Name, u32>,
    /// Whether a model began to be wanted, so that the leader should hear of it at once.
    urgent: bool,
    verdicts: Vec<(u64, Verdict)>,
    next_pump: Millis,
    rng: SmallRng,
}

impl State {
    /// Creates the state of a router that knows nothing yet.
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
            delayed: BTreeSet::new(),
            gate: Gate::default(),
            rates: Rates::default(),
            retrier: Retrier::new(retry::Config::default()),
            busy: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            urgent: false,
            verdicts: Vec::new(),
            next_pump: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes the verdicts that are due to requests.
    pub fn take_verdicts(&mut self) -> Vec<(u64, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Folds in an update; returns false when an update before it is missing.
    pub fn apply(&mut self, now: Millis, update: Update) -> bool {
        if !self.view.apply(update.clone()) || !self.table.apply(now, &update) {
            return false;
        }
        if update.full {
            self.expected.clear();
        }
        for expected in &update.expected {
            let at = expected.ready_in_ms.map(|ms| now + ms);
            self.expected.insert(expected.model.clone(), at);
        }
        self.pump_all(now);
        true
    }

    /// Notes until when the view holds.
    pub fn lease(&mut self, until: Millis) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Notes a backend server's load report.
    pub fn report(&mut self, now: Millis, report: &Report) {
        self.table.report(now, report);
    }

    /// Sends no more work to a server that said it leaves, before an update tells so.
    pub fn server_leaves(&mut self, server: &str, incarnation: u64) {
        self.table.leaving(server, incarnation);
    }

    /// Asks callers to leave from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.urgent = true;
    }

    /// Requests that have no final verdict yet, or whose answer is not yet over.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Lets a request in, or refuses it.
    pub fn arrive(&mut self, now: Millis, arrival: Arrival) {
        let id = arrival.id;
        if let Err(refusal) = self.admit(now, arrival) {
            self.verdicts.push((id, Verdict::Refuse(refusal)));
        }
    }

    fn admit(&mut self, now: Millis, arrival: Arrival) -> Result<(), Refusal> {
        if now >= self.lease_until {
            let entries = self.other_addresses(arrival.target.name());
            let message = "this instance has lost the control group; try another";
            return Err(Refusal::new(Code::LeaseLapsed, message).entries(entries));
        }
        let (service, settings) = self.resolve(&arrival)?;
        let request = Request::new(arrival, service, settings);
        self.count_arrival(&request);
        if request.deadline <= now {
            return Err(Refusal::new(Code::Late, "the deadline has passed"));
        }
        self.check_rate(now, &request)?;
        if !self
            .gate
            .enter(&request.service, request.settings.concurrency_limit)
        {
            let message = "too many requests of the service are in progress";
            return Err(
                Refusal::new(Code::ConcurrencyLimit, message).retry_after_ms(RETRY_AFTER_MS)
            );
        }
        let id = request.id;
        let service = request.service.clone();
        let admitted = self.admit_counted(now, request);
        if admitted.is_err() {
            self.requests.remove(&id);
            self.gate.leave(&service);
        }
        admitted
    }

    fn admit_counted(&mut self, now: Millis, request: Request) -> Result<(), Refusal> {
        let id = request.id;
        let key = request.key.clone();
        let service = request.service.clone();
        let ratio = request.settings.retry_ratio;
        self.requests.insert(id, request);
        let unhindered = self.queues.get(&key).is_none_or(Queue::is_empty);
        if !(unhindered && self.try_dispatch(now, id)) {
            self.wait(now, id)?;
        }
        self.retrier.started(&service, ratio);
        Ok(())
    }

    /// The service and the settings of what is asked for.
    fn resolve(&self, arrival: &Arrival) -> Result<(Name, Effective), Refusal> {
        let tree = &self.view.tree.1;
        let (service, settings) = match &arrival.target {
            Target::Service(name) => {
                let found = tree.services.get_key_value(name);
                let Some((service, _)) = found.filter(|(_, s)| s.kind == Kind::Plain) else {
                    let message = format!("the settings name no plain service {name}");
                    return Err(Refusal::new(Code::UnknownService, message));
                };
                (service.clone(), tree.effective(name, None, None))
            }
            Target::Model {
                model,
                adapter,
                service,
                ..
            } => {
                let found = tree.model(model).filter(|(name, m)| {
                    let listed = |a: &Name| m.adapters.contains_key(a);
                    service.as_ref().is_none_or(|s| s == *name)
                        && adapter.as_ref().is_none_or(listed)
                });
                let Some((service, _)) = found else {
                    let message = "the settings name no such model, adapter and service";
                    return Err(Refusal::new(Code::UnknownModel, message));
                };
                let settings = tree.effective(service, Some(model), adapter.as_deref());
                (service.clone(), settings)
            }
        };
        let allowed = |name: &str| settings.callers.contains(name);
        if !allowed("*") && !allowed(&arrival.caller) {
            let message = format!("{} may not use {service}", arrival.caller);
            return Err(Refusal::new(Code::Forbidden, message));
        }
        if arrival.bytes > settings.body_limit {
            let message = format!("the body is larger than {} bytes", settings.body_limit);
            return Err(Refusal::new(Code::TooLarge, message));
        }
        Ok((service, settings))
    }

    fn check_rate(&mut self, now: Millis, request: &Request) -> Result<(), Refusal> {
        self.rates
            .take(now, &request.caller, request.settings.caller_rate)
            .map_err(|ms| {
                let message = "the caller sends too many requests";
                Refusal::new(Code::RateLimit, message).retry_after_ms(ms)
            })
    }

    /// Puts a request into its queue, unless there is no use in waiting.
    fn wait(&mut self, now: Millis, id: u64) -> Result<(), Refusal> {
        let request = &self.requests[&id];
        let ready = self.ready_at(now, request)?;
        let cold = ready != Some(now) && matches!(request.target, Target::Model { .. });
        let (ticket, limit) = (request.ticket(), request.limit());
        let key = request.key.clone();
        let queue = self.queues.entry(key.clone()).or_default();
        let first = queue.is_empty();
        let offered = queue.offer(now, ticket, limit, ready);
        let wait_ms = queue.wait_ms(&ticket);
        match offered {
            Ok(pushed) => {
                self.urgent |= first || self.wants_new_adapter(id);
                self.place(id, Place::Queue);
                self.note_cold(id, cold);
                if let Some(pushed) = pushed {
                    self.refuse(pushed.id, full(wait_ms));
                }
                Ok(())
            }
            Err(admission::Refusal::Full) => Err(full(wait_ms)),
            Err(admission::Refusal::Late) => Err(late(now, ready, wait_ms)),
        }
    }

    fn note_cold(&mut self, id: u64, cold: bool) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.cold = cold;
        }
    }

    /// When the first replica or server for a request takes work: unknown, or a time.
    fn ready_at(&self, now: Millis, request: &Request) -> Result<Option<Millis>, Refusal> {
        let want = request.want();
        if self.table.ready(now, &want) {
            return Ok(Some(now));
        }
        if let Target::Service(name) = &request.target {
            if self.table.serves(name) {
                return Ok(None);
            }
            let message = format!("no server of {name} is there");
            return Err(Refusal::new(Code::NoCapacity, message).retry_after_ms(RETRY_AFTER_MS));
        }
        if let Some(at) = self.table.loading_until(&request.key) {
            return Ok(Some(at).filter(|at| *at > now));
        }
        match self.expected.get(&request.key) {
            Some(None) => {
                let message = format!("{} can't be loaded now", request.key);
                Err(Refusal::new(Code::NoCapacity, message).retry_after_ms(RETRY_AFTER_MS))
            }
            Some(Some(at)) if *at > now => Ok(Some(*at)),
            _ => Ok(None),
        }
    }

    /// Dispatches a request if a server has room for it.
    fn try_dispatch(&mut self, now: Millis, id: u64) -> bool {
        let request = &self.requests[&id];
        let want = request.want();
        let Some(choice) = self.table.choose(now, &want, &mut self.rng) else {
            return false;
        };
        if !choice.holds_adapter && now < request.ask_base_at {
            return false;
        }
        self.dispatch(now, id, &want, &choice);
        true
    }

    fn dispatch(
        &mut self,
        now: Millis,
        id: u64,
        want: &Want,
        choice: &lovageplank_core::route::Choice,
    ) {
        self.table.started(now, &choice.server, want.prefix);
        let request = self.requests.get_mut(&id).expect("the caller looked it up");
        let dispatch = request.dispatched(now, choice);
        if let Some(replica) = request.replica() {
            *self.busy.entry(replica).or_default() += 1;
        }
        self.verdicts.push((id, Verdict::Dispatch(dispatch)));
    }

    /// Dispatches what waits for a model or service while servers have room.
    fn pump(&mut self, now: Millis, key: &Name) {
        self.expire(now, key);
        let Some(queue) = self.queues.get(key) else {
            return;
        };
        let heads: Vec<u64> = queue.iter().take(PUMP_SCAN).map(|t| t.id).collect();
        for id in heads {
            if self.try_dispatch(now, id) {
                let queue = self.queues.get_mut(key).expect("looked up above");
                queue.start(now, id);
            } else if self.requests[&id].is_unrestricted() {
                break;
            }
        }
    }

    /// Refuses those of a queue that can't be answered in time any more.
    fn expire(&mut self, now: Millis, key: &Name) {
        let Some(first) = self.queues.get(key).and_then(|q| q.iter().next()) else {
            return;
        };
        let ready = self.ready_at(now, &self.requests[&first.id]);
        let queue = self.queues.get_mut(key).expect("looked up above");
        let (given_up, refusal) = match ready {
            Ok(ready) => (queue.expire(now, ready), late(now, ready, 0)),
            Err(refusal) => (queue.drain(), refusal),
        };
        for ticket in given_up {
            self.refuse(ticket.id, refusal.clone());
        }
    }

    fn pump_all(&mut self, now: Millis) {
        let keys: Vec<Name> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.pump(now, &key);
        }
        self.next_pump = now + PUMP_MS;
    }

    /// Notes how an attempt ended; returns false for one that isn't in progress.
    pub fn ended(&mut self, now: Millis, id: u64, attempt: u32, ended: Ended) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if request.attempt != attempt || request.place != Place::Server {
            return false;
        }
        let key = request.key.clone();
        self.release(now, id, ended.ending());
        match ended {
            Ended::Answered { .. } => self.answered(now, id),
            Ended::Failed(failure) => self.failed(now, id, &failure),
        }
        self.pump(now, &key);
        true
    }

    /// Frees what an attempt held at its server.
    fn release(&mut self, now: Millis, id: u64, ending: Ending) {
        let request = &self.requests[&id];
        if let Some(server) = &request.server {
            self.table.ended(now, server, &request.key, ending);
        }
        let Some(replica) = request.replica() else {
            return;
        };
        if let Some(count) = self.busy.get_mut(&replica) {
            *count -= 1;
            if *count == 0 {
                self.busy.remove(&replica);
            }
        }
    }

    fn answered(&mut self, now: Millis, id: u64) {
        let Some(request) = self.remove(id) else {
            return;
        };
        let queue = self.queues.entry(request.key.clone()).or_default();
        queue.observe_service(now.saturating_sub(request.started));
    }

    fn failed(&mut self, now: Millis, id: u64, failure: &Failure) {
        let request = self.requests.get_mut(&id).expect("the caller looked it up");
        request.pass_over_server();
        match failure.ending {
            Ending::Denied => return self.requeue(now, id),
            Ending::AdapterDenied => {
                request.ask_base_at = now + ADAPTER_WAIT_MS;
                return self.requeue(now, id);
            }
            _ => {}
        }
        request.charged += 1;
        let situation = Situation {
            attempt: request.charged,
            max_attempts: request.settings.max_attempts,
            idempotent: request.idempotent(),
            deadline: request.deadline,
        };
        let service = request.service.clone();
        let decision =
            self.retrier
                .decide(now, &service, situation, failure.outcome, &mut self.rng);
        match decision {
            Decision::Stop => self.refuse(id, failure.refusal()),
            Decision::Retry(at) => {
                self.place(id, Place::Delay(at));
                self.delayed.insert((at, id));
            }
        }
    }

    /// Sends a request that did not run elsewhere, or back to its queue.
    fn requeue(&mut self, now: Millis, id: u64) {
        let request = &self.requests[&id];
        if request.deadline <= now {
            return self.refuse(id, late(now, None, 0));
        }
        if self.try_dispatch(now, id) {
            return;
        }
        let (key, ticket) = (self.requests[&id].key.clone(), self.requests[&id].ticket());
        self.queues.entry(key).or_default().restore(ticket);
        self.place(id, Place::Queue);
        self.urgent = true;
    }

    /// Notes that a caller went; its request is forgotten.
    pub fn gone(&mut self, now: Millis, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = request.key.clone();
        match request.place {
            Place::Queue => {
                if let Some(queue) = self.queues.get_mut(&key) {
                    queue.remove(id);
                }
            }
            Place::Delay(at) => {
                self.delayed.remove(&(at, id));
            }
            Place::Server => self.release(now, id, Ending::Abandoned),
        }
        self.remove(id);
        self.pump(now, &key);
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Millis) {
        while let Some((at, id)) = self.delayed.first().copied() {
            if at > now {
                break;
            }
            self.delayed.remove(&(at, id));
            self.requeue(now, id);
        }
        if now >= self.next_pump || self.next_deadline().is_some_and(|at| at <= now) {
            self.pump_all(now);
        }
    }

    /// When [`State::tick`] is due next, if something waits.
    pub fn next_tick(&self) -> Option<Millis> {
        let waiting = self.queues.values().any(|q| !q.is_empty());
        let pump = waiting.then_some(self.next_pump);
        let delayed = self.delayed.first().map(|key| key.0);
        [pump, delayed, self.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    fn next_deadline(&self) -> Option<Millis> {
        self.queues.values().filter_map(Queue::next_deadline).min()
    }

    fn place(&mut self, id: u64, place: Place) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.place = place;
        }
    }

    /// Gives a request its final verdict; it must be in no queue any more.
    fn refuse(&mut self, id: u64, refusal: Refusal) {
        self.remove(id);
        self.verdicts.push((id, Verdict::Refuse(refusal)));
    }

    fn remove(&mut self, id: u64) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.gate.leave(&request.service);
        Some(request)
    }

    fn wants_new_adapter(&self, id: u64) -> bool {
        let request = &self.requests[&id];
        let Target::Model {
            model,
            adapter: Some(adapter),
            ..
        } = &request.target
        else {
            return false;
        };
        !self.table.holds(model, adapter)
    }
}

fn full(wait_ms: u64) -> Refusal {
    let message = "too many requests wait already";
    Refusal::new(Code::QueueFull, message).retry_after_ms(wait_ms.max(RETRY_AFTER_MS))
}

fn late(now: Millis, ready: Option<Millis>, wait_ms: u64) -> Refusal {
    let until_ready = ready.map_or(0, |at| at.saturating_sub(now));
    let message = "it can't be answered before its deadline";
    let retry_after_ms = (until_ready + wait_ms).max(RETRY_AFTER_MS);
    Refusal::new(Code::Late, message).retry_after_ms(retry_after_ms)
}

impl Request {
    fn ticket(&self) -> Ticket {
        Ticket {
            id: self.id,
            priority: self.priority,
            deadline: self.deadline,
            bytes: self.bytes,
            arrived: self.received,
        }
    }

    fn limit(&self) -> Limit {
        Limit {
            count: self.settings.queue_limit,
            bytes: self.settings.queue_bytes,
        }
    }
}
