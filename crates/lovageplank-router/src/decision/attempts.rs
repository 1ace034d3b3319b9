//! Attempts: who gets a free place, and what follows when an attempt ends.

use super::admission::late_refusal;
use super::request::Stage;
use super::{
    ADAPTER_WAIT_MS, AttemptResult, Failure, QUEUE_SCAN_INTERVAL_MS, State, Target, Verdict,
};
use lovageplank_core::admission::{Queue, QueuedRequest};
use lovageplank_core::prelude::*;
use lovageplank_core::retry::{Decision, Outcome, RetryContext};
use lovageplank_core::route::{PREFERRED_INSTANCES, Requirements, Selection, ServerOutcome};
use std::collections::HashSet;

/// Requests of one queue that are looked at when a place is free.
const QUEUE_SCAN_MAX: usize = 1_024;

/// What became of a request that was to be dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DispatchOutcome {
    Dispatched,
    /// No server that has what is wanted has room.
    NoCapacity,
    /// No replica holds the adapter yet.
    AdapterNotLoaded,
}

impl State {
    /// Routers to which callers of one model are steered.
    fn preferred_routers(&self) -> u32 {
        let routers = self.view.instances.len().clamp(1, PREFERRED_INSTANCES);
        u32::try_from(routers).unwrap_or(1)
    }

    /// Dispatches a request if a server has room for it.
    pub(super) fn try_dispatch(&mut self, now: Millis, id: u64) -> bool {
        self.select_and_dispatch(now, id) == DispatchOutcome::Dispatched
    }

    fn select_and_dispatch(&mut self, now: Millis, id: u64) -> DispatchOutcome {
        let request = &self.requests[&id];
        let adapter_loaded = self.is_adapter_loaded(&request.target);
        if !adapter_loaded && now < request.use_base_at {
            return DispatchOutcome::AdapterNotLoaded;
        }
        if now >= self.lease_until {
            return DispatchOutcome::NoCapacity;
        }
        let requirements = request.requirements().routers(self.preferred_routers());
        let Some(selection) = self.table.select(now, &requirements, &mut self.rng) else {
            return DispatchOutcome::NoCapacity;
        };
        if adapter_loaded && !selection.adapter_loaded {
            return DispatchOutcome::NoCapacity;
        }
        self.dispatch(now, id, &requirements, &selection);
        DispatchOutcome::Dispatched
    }

    /// Whether some replica holds the adapter that is wanted, or none is.
    pub(super) fn is_adapter_loaded(&self, target: &Target) -> bool {
        match target {
            Target::Model {
                model,
                adapter: Some(adapter),
                ..
            } => self.table.is_adapter_loaded(model, adapter),
            _ => true,
        }
    }

    fn dispatch(
        &mut self,
        now: Millis,
        id: u64,
        requirements: &Requirements,
        selection: &Selection,
    ) {
        self.table
            .attempt_started(now, &selection.server, requirements.prefix);
        let request = self.requests.get_mut(&id).expect("the caller looked it up");
        let dispatch = request.start_attempt(now, selection);
        if let Some(replica) = request.replica() {
            *self.in_flight.entry(replica).or_default() += 1;
        }
        self.verdicts.push((id, Verdict::Dispatch(dispatch)));
    }

    /// Dispatches what waits for a model or service while servers have room.
    pub(super) fn dispatch_queued(&mut self, now: Millis, key: &Name) {
        self.expire(now, key);
        // Requests that want the same find no room either.
        let mut without_capacity = HashSet::new();
        let mut last: Option<QueuedRequest> = None;
        for _ in 0..QUEUE_SCAN_MAX {
            let next_queued = |queue: &Queue| queue.next_after(last.as_ref());
            let Some(queued) = self.queues.get(key).and_then(next_queued) else {
                return;
            };
            last = Some(queued);
            let restriction = self.requests[&queued.id].restriction();
            if without_capacity.contains(&restriction) {
                continue;
            }
            match self.select_and_dispatch(now, queued.id) {
                DispatchOutcome::Dispatched => {
                    let queue = self.queues.get_mut(key).expect("looked up above");
                    queue.start(now, queued.id);
                }
                DispatchOutcome::NoCapacity if restriction == (None, None) => return,
                DispatchOutcome::NoCapacity => {
                    without_capacity.insert(restriction);
                }
                DispatchOutcome::AdapterNotLoaded => {}
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
        let (expired, refusal) = match ready {
            Ok(ready) => (queue.expire(now, ready), late_refusal(now, ready, 0)),
            Err(refusal) => (queue.drain(), refusal),
        };
        for queued in expired {
            self.refuse(queued.id, refusal.clone());
        }
    }

    pub(super) fn dispatch_all_queued(&mut self, now: Millis) {
        let keys: Vec<Name> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.dispatch_queued(now, &key);
        }
        self.next_queue_scan = now + QUEUE_SCAN_INTERVAL_MS;
    }

    /// Notes how an attempt ended; returns false for one that isn't in progress.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        id: u64,
        attempt: u32,
        result: AttemptResult,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if request.attempt != attempt || request.stage != Stage::Dispatched {
            return false;
        }
        let key = request.key.clone();
        self.release(now, id, result.server_outcome());
        match result {
            AttemptResult::Answered { .. } => self.answered(now, id),
            AttemptResult::Failed(failure) => self.failed(now, id, &failure),
        }
        self.dispatch_queued(now, &key);
        true
    }

    /// Frees what an attempt held at its server.
    fn release(&mut self, now: Millis, id: u64, server_outcome: ServerOutcome) {
        let request = &self.requests[&id];
        if let Some(server) = &request.server {
            self.table
                .attempt_ended(now, server, &request.key, server_outcome);
        }
        let Some(replica) = request.replica() else {
            return;
        };
        if let Some(count) = self.in_flight.get_mut(&replica) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&replica);
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
        if failure.server_outcome == ServerOutcome::Abandoned && failure.outcome == Outcome::Unknown
        {
            self.observe_service(now, id);
        }
        let request = self.requests.get_mut(&id).expect("the caller looked it up");
        request.avoid_server();
        request.may_have_run |= failure.outcome == Outcome::Unknown;
        let is_model = matches!(request.target, Target::Model { .. });
        match failure.server_outcome {
            // The replica is passed over for a while, so that this can't turn fast.
            ServerOutcome::Denied if is_model => return self.requeue(now, id),
            ServerOutcome::AdapterDenied => {
                request.use_base_at = now + ADAPTER_WAIT_MS;
                return self.requeue(now, id);
            }
            _ => {}
        }
        request.counted_attempts += 1;
        let context = RetryContext {
            attempt: request.counted_attempts,
            max_attempts: request.settings.max_attempts,
            idempotent: request.idempotent(),
            deadline: request.deadline,
        };
        let service = request.service.clone();
        let decision = self
            .retrier
            .decide(now, &service, context, failure.outcome, &mut self.rng);
        match decision {
            Decision::Stop => self.refuse(id, failure.refusal()),
            Decision::Retry(at) => {
                self.set_stage(id, Stage::Backoff(at));
                self.backing_off.insert((at, id));
            }
        }
    }

    /// Sends a request that did not run elsewhere, or back to its queue.
    pub(super) fn requeue(&mut self, now: Millis, id: u64) {
        let request = &self.requests[&id];
        if request.deadline <= now {
            return self.refuse(id, late_refusal(now, None, 0));
        }
        if self.try_dispatch(now, id) {
            return;
        }
        let (key, queued) = (self.requests[&id].key.clone(), self.requests[&id].queued());
        self.queues.entry(key).or_default().requeue(queued);
        self.set_stage(id, Stage::Queued);
        self.heartbeat_requested = true;
    }

    /// Notes that a caller went; its request is forgotten.
    pub fn cancel(&mut self, now: Millis, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = request.key.clone();
        match request.stage {
            Stage::Queued => {
                if let Some(queue) = self.queues.get_mut(&key) {
                    queue.remove(id);
                }
            }
            Stage::Backoff(at) => {
                self.backing_off.remove(&(at, id));
            }
            Stage::Dispatched => self.release(now, id, ServerOutcome::Abandoned),
        }
        self.remove(id);
        self.dispatch_queued(now, &key);
    }
}
