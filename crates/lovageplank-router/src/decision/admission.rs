//! Admission of requests: settings that apply, limits and the queue.

use super::expectation::Expectation;
use super::request::{Request, Stage};
use super::{Arrival, DEFAULT_RETRY_AFTER_MS, State, Target, Verdict};
use crate::refusal::{Code, Refusal};
use lovageplank_core::admission::{self, Limit, Queue, QueuedRequest};
use lovageplank_core::prelude::*;
use lovageplank_core::route::Requirements;
use lovageplank_core::settings::{Effective, Kind, Model};

impl State {
    /// Admits a request or refuses it.
    pub fn arrive(&mut self, now: Millis, arrival: Arrival) {
        let id = arrival.id;
        if let Err(refusal) = self.admit(now, arrival) {
            self.verdicts.push((id, Verdict::Refuse(refusal)));
        }
    }

    fn admit(&mut self, now: Millis, arrival: Arrival) -> Result<(), Refusal> {
        if now >= self.lease_until {
            return Err(self.lease_lapsed_refusal(arrival.target.name()));
        }
        let (service, settings) = self.resolve(&arrival)?;
        let request = Request::new(arrival, service, settings);
        self.count_arrival(&request);
        if request.deadline <= now {
            return Err(Refusal::new(Code::Late, "the deadline has passed"));
        }
        self.check_rate(now, &request)?;
        if !self
            .concurrency
            .try_acquire(&request.service, request.settings.concurrency_limit)
        {
            let message = "too many requests of the service are in progress";
            return Err(Refusal::new(Code::ConcurrencyLimit, message)
                .retry_after_ms(DEFAULT_RETRY_AFTER_MS));
        }
        let id = request.id;
        let service = request.service.clone();
        let admitted = self.dispatch_or_enqueue(now, request);
        if admitted.is_err() {
            self.requests.remove(&id);
            self.concurrency.release(&service);
        }
        admitted
    }

    fn dispatch_or_enqueue(&mut self, now: Millis, request: Request) -> Result<(), Refusal> {
        let id = request.id;
        let key = request.key.clone();
        let service = request.service.clone();
        let ratio = request.settings.retry_ratio;
        self.requests.insert(id, request);
        let queue_is_empty = self.queues.get(&key).is_none_or(Queue::is_empty);
        if !(queue_is_empty && self.try_dispatch(now, id)) {
            self.enqueue(now, id)?;
        }
        self.retrier.record_first_attempt(&service, ratio);
        Ok(())
    }

    /// The service of a request's target, and the settings that apply to it.
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
            Target::Model { model, adapter, .. } => {
                let found = tree.model(model);
                let Some((service, _)) = found.filter(|f| self.is_configured(&arrival.target, f))
                else {
                    let message = "the settings name no such model, adapter, version and service";
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

    /// Whether a model of the settings tree has the service, adapter and version that the target
    /// names.
    fn is_configured(&self, target: &Target, found: &(&Name, &Model)) -> bool {
        let Target::Model {
            model,
            adapter,
            version,
            service,
        } = target
        else {
            return false;
        };
        // A version that is being replaced can be requested until its replicas are removed.
        let has_replica = |v: &Name| {
            let replicas = self.view.replicas.get(model).into_iter().flatten();
            replicas.into_iter().any(|r| r.id.version == *v)
        };
        let has_adapter = |a: &Name| found.1.adapters.contains_key(a);
        let has_version = |v: &Name| found.1.version == *v || has_replica(v);
        service.as_ref().is_none_or(|s| s == found.0)
            && adapter.as_ref().is_none_or(has_adapter)
            && version.as_ref().is_none_or(has_version)
    }

    fn check_rate(&mut self, now: Millis, request: &Request) -> Result<(), Refusal> {
        self.rate_limiter
            .take(now, &request.caller, request.settings.caller_rate)
            .map_err(|ms| {
                let message = "the caller sends too many requests";
                Refusal::new(Code::RateLimit, message).retry_after_ms(ms)
            })
    }

    /// Puts a request into its queue; refuses it if the queue is full or its deadline can't be met.
    fn enqueue(&mut self, now: Millis, id: u64) -> Result<(), Refusal> {
        let request = &self.requests[&id];
        let ready = self.ready_at(now, &request.target)?;
        let cold = ready != Some(now) && matches!(request.target, Target::Model { .. });
        let (queued, limit) = (request.queued(), request.limit());
        let key = request.key.clone();
        let adapter_loaded = self.is_adapter_loaded(&request.target);
        let queue = self.queues.entry(key.clone()).or_default();
        let was_empty = queue.is_empty();
        let admitted = queue.admit(now, queued, limit, ready);
        let wait_ms = queue.wait_ms(&queued);
        match admitted {
            Ok(evicted) => {
                self.heartbeat_requested |= was_empty || !adapter_loaded;
                self.set_stage(id, Stage::Queued);
                self.set_cold(id, cold);
                if let Some(evicted) = evicted {
                    self.refuse(evicted.id, queue_full(wait_ms));
                }
                Ok(())
            }
            Err(admission::Refusal::Full) => Err(queue_full(wait_ms)),
            Err(admission::Refusal::Late) => Err(late_refusal(now, ready, wait_ms)),
        }
    }

    fn set_cold(&mut self, id: u64, cold: bool) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.cold = cold;
        }
    }

    /// Time at which a replica of the model, or a server of the service, can take requests; `None`
    /// if that is unknown. Fails if none can become available.
    pub(super) fn ready_at(&self, now: Millis, target: &Target) -> Result<Option<Millis>, Refusal> {
        let name = target.name();
        let requirements = match target {
            Target::Model { .. } => Requirements::model(name.clone()),
            Target::Service(_) => Requirements::service(name.clone()),
        };
        if self.table.is_available(now, &requirements) {
            return Ok(Some(now));
        }
        if matches!(target, Target::Service(_)) {
            if self.table.has_ready_server(name) {
                return Ok(None);
            }
            let message = format!("no server of {name} is there");
            return Err(
                Refusal::new(Code::NoCapacity, message).retry_after_ms(DEFAULT_RETRY_AFTER_MS)
            );
        }
        if let Some(at) = self.table.expected_ready_at(name) {
            return Ok(Some(at).filter(|at| *at > now));
        }
        match self.expected.get(name) {
            Some(Expectation::Never) => {
                let message = format!("{name} can't be loaded now");
                Err(Refusal::new(Code::NoCapacity, message).retry_after_ms(DEFAULT_RETRY_AFTER_MS))
            }
            Some(Expectation::At(at)) if *at > now => Ok(Some(*at)),
            Some(Expectation::After(ms)) => Ok(Some(now + ms)),
            _ => Ok(None),
        }
    }
}

fn queue_full(wait_ms: u64) -> Refusal {
    let message = "too many requests wait already";
    Refusal::new(Code::QueueFull, message).retry_after_ms(wait_ms.max(DEFAULT_RETRY_AFTER_MS))
}

pub(super) fn late_refusal(now: Millis, ready: Option<Millis>, wait_ms: u64) -> Refusal {
    let until_ready = ready.map_or(0, |at| at.saturating_sub(now));
    let message = "it can't be answered before its deadline";
    let retry_after_ms = (until_ready + wait_ms).max(DEFAULT_RETRY_AFTER_MS);
    Refusal::new(Code::Late, message).retry_after_ms(retry_after_ms)
}

impl Request {
    pub(super) fn queued(&self) -> QueuedRequest {
        QueuedRequest {
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
