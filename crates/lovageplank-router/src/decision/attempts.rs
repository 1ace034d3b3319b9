//! Attempts: who gets a free place, and what follows when an attempt ends.

use super::intake::late;
use super::request::Place;
use super::{ADAPTER_WAIT_MS, Ended, Failure, PUMP_MS, State, Target, Verdict};
use lovageplank_core::admission::{Queue, QueuedRequest};
use lovageplank_core::prelude::*;
use lovageplank_core::retry::{Decision, Outcome, RetryContext};
use lovageplank_core::route::{PREFERRED_INSTANCES, Requirements, Selection, ServerOutcome};
use std::collections::HashSet;

/// Requests of one queue that are looked at when a place is free.
const PUMP_SCAN: usize = 1_024;

/// What became of a request that was to be dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Tried {
    Dispatched,
    /// No server that has what is wanted has room.
    NoRoom,
    /// No replica holds the adapter yet.
    AwaitsAdapter,
}

impl State {
    /// Routers to which callers of one model are steered.
    fn sharers(&self) -> u32 {
        let routers = self.view.instances.len().clamp(1, PREFERRED_INSTANCES);
        u32::try_from(routers).unwrap_or(1)
    }

    /// Dispatches a request if a server has room for it.
    pub(super) fn try_dispatch(&mut self, now: Millis, id: u64) -> bool {
        self.attempt(now, id) == Tried::Dispatched
    }

    fn attempt(&mut self, now: Millis, id: u64) -> Tried {
        let request = &self.requests[&id];
        let held = self.holds_adapter(&request.target);
        if !held && now < request.ask_base_at {
            return Tried::AwaitsAdapter;
        }
        if now >= self.lease_until {
            return Tried::NoRoom;
        }
        let want = request.want().routers(self.sharers());
        let Some(choice) = self.table.select(now, &want, &mut self.rng) else {
            return Tried::NoRoom;
        };
        if held && !choice.adapter_loaded {
            return Tried::NoRoom;
        }
        self.dispatch(now, id, &want, &choice);
        Tried::Dispatched
    }

    /// Whether some replica holds the adapter that is wanted, or none is.
    pub(super) fn holds_adapter(&self, target: &Target) -> bool {
        match target {
            Target::Model {
                model,
                adapter: Some(adapter),
                ..
            } => self.table.is_adapter_loaded(model, adapter),
            _ => true,
        }
    }

    fn dispatch(&mut self, now: Millis, id: u64, want: &Requirements, choice: &Selection) {
        self.table.attempt_started(now, &choice.server, want.prefix);
        let request = self.requests.get_mut(&id).expect("the caller looked it up");
        let dispatch = request.dispatched(now, choice);
        if let Some(replica) = request.replica() {
            *self.busy.entry(replica).or_default() += 1;
        }
        self.verdicts.push((id, Verdict::Dispatch(dispatch)));
    }

    /// Dispatches what waits for a model or service while servers have room.
    pub(super) fn pump(&mut self, now: Millis, key: &Name) {
        self.expire(now, key);
        // Requests that want the same find no room either.
        let mut full = HashSet::new();
        let mut last: Option<QueuedRequest> = None;
        for _ in 0..PUMP_SCAN {
            let next = |queue: &Queue| queue.next_after(last.as_ref());
            let Some(ticket) = self.queues.get(key).and_then(next) else {
                return;
            };
            last = Some(ticket);
            let restriction = self.requests[&ticket.id].restriction();
            if full.contains(&restriction) {
                continue;
            }
            match self.attempt(now, ticket.id) {
                Tried::Dispatched => {
                    let queue = self.queues.get_mut(key).expect("looked up above");
                    queue.start(now, ticket.id);
                }
                Tried::NoRoom if restriction == (None, None) => return,
                Tried::NoRoom => {
                    full.insert(restriction);
                }
                Tried::AwaitsAdapter => {}
            }
        }
    }

    /// Refuses those of a queue that can't be answered in time any more.
    fn expire(&mut self, now: Millis, key: &Name) {
        let Some(first) = self.queues.get(key).and_then(|q| q.iter().next()) else {
            return;
        };
        let ready = self.ready_at(now, &self.requests[&first.id].target);
        let queue = self.queues.get_mut(key).expect("looked up above");
        let (given_up, refusal) = match ready {
            Ok(ready) => (queue.expire(now, ready), late(now, ready, 0)),
            Err(refusal) => (queue.drain(), refusal),
        };
        for ticket in given_up {
            self.refuse(ticket.id, refusal.clone());
        }
    }

    pub(super) fn pump_all(&mut self, now: Millis) {
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
    fn release(&mut self, now: Millis, id: u64, ending: ServerOutcome) {
        let request = &self.requests[&id];
        if let Some(server) = &request.server {
            self.table.attempt_ended(now, server, &request.key, ending);
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
        self.observe_service(now, id);
        self.remove(id);
    }

    /// Notes how long a request took; one that came too late counts too, or the estimate would
    /// know only of those that were fast.
    fn observe_service(&mut self, now: Millis, id: u64) {
        let request = &self.requests[&id];
        let ms = now.saturating_sub(request.started);
        let queue = self.queues.entry(request.key.clone()).or_default();
        queue.observe_service(ms);
    }

    fn failed(&mut self, now: Millis, id: u64, failure: &Failure) {
        if failure.ending == ServerOutcome::Abandoned && failure.outcome == Outcome::Unknown {
            self.observe_service(now, id);
        }
        let request = self.requests.get_mut(&id).expect("the caller looked it up");
        request.pass_over_server();
        request.may_have_run |= failure.outcome == Outcome::Unknown;
        let engine = matches!(request.target, Target::Model { .. });
        match failure.ending {
            // The replica is passed over for a while, so that this can't turn fast.
            ServerOutcome::Denied if engine => return self.requeue(now, id),
            ServerOutcome::AdapterDenied => {
                request.ask_base_at = now + ADAPTER_WAIT_MS;
                return self.requeue(now, id);
            }
            _ => {}
        }
        request.charged += 1;
        let situation = RetryContext {
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
    pub(super) fn requeue(&mut self, now: Millis, id: u64) {
        let request = &self.requests[&id];
        if request.deadline <= now {
            return self.refuse(id, late(now, None, 0));
        }
        if self.try_dispatch(now, id) {
            return;
        }
        let (key, ticket) = (self.requests[&id].key.clone(), self.requests[&id].ticket());
        self.queues.entry(key).or_default().requeue(ticket);
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
            Place::Server => self.release(now, id, ServerOutcome::Abandoned),
        }
        self.remove(id);
        self.pump(now, &key);
    }
}
