//! Dispatch of requests to backend servers, and what follows when an attempt ends.

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

/// Requests of one queue that one scan examines; those behind them wait for a later scan.
const QUEUE_SCAN_MAX: usize = 1_024;

/// Result of trying to dispatch a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DispatchOutcome {
    Dispatched,
    /// No server that meets the requirements has capacity, or the lease has expired.
    NoCapacity,
    /// No replica has the adapter loaded, and the request still waits for one.
    AdapterNotLoaded,
}

impl State {
    /// Number of routers that callers of one model are directed to.
    fn preferred_routers(&self) -> u32 {
        let routers = self.view.instances.len().clamp(1, PREFERRED_INSTANCES);
        u32::try_from(routers).unwrap_or(1)
    }

    /// Dispatches a request if a server has capacity for it; returns whether it did.
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

    /// Whether a replica has the requested adapter loaded; true if no adapter is requested.
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
        let request = self
            .requests
            .get_mut(&id)
            .expect("the request is in progress");
        let dispatch = request.start_attempt(now, selection);
        if let Some(replica) = request.replica() {
            *self.in_flight.entry(replica).or_default() += 1;
        }
        self.verdicts.push((id, Verdict::Dispatch(dispatch)));
    }

    /// Dispatches queued requests for a model or service while servers have capacity.
    pub(super) fn dispatch_queued(&mut self, now: Millis, key: &Name) {
        self.expire(now, key);
        // Requests for the same adapter and version find no capacity either.
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
                    let queue = self.queues.get_mut(key).expect("the queue exists");
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

    /// Refuses the queued requests that can't be answered before their deadline; all of them if
    /// the model or service can't become available.
    fn expire(&mut self, now: Millis, key: &Name) {
        let Some(first) = self.queues.get(key).and_then(|q| q.iter().next()) else {
            return;
        };
        let ready = self.ready_at(now, &self.requests[&first.id].target);
        let queue = self.queues.get_mut(key).expect("the queue exists");
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

    /// Records how an attempt ended; returns false if that attempt isn't in progress.
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

    /// Removes an attempt from the counts of its server and replica.
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

    /// Adds the duration of an attempt to the estimate of service times. Attempts that reached
    /// their deadline count too; otherwise the estimate would include only fast ones.
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
        let request = self
            .requests
            .get_mut(&id)
            .expect("the request is in progress");
        request.avoid_server();
        request.may_have_run |= failure.outcome == Outcome::Unknown;
        let is_model = matches!(request.target, Target::Model { .. });
        match failure.server_outcome {
            // The routing table excludes the replica for a while, so that the request isn't sent
            // back and forth in a tight loop.
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

    /// Dispatches a request again or returns it to its queue; refuses it after its deadline.
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

    /// Removes a request whose caller disconnected or whose call was given up.
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
