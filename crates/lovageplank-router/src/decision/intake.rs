//! How requests come in: what they ask for, limits, the wait.

use super::expectation::Expectation;
use super::request::{Place, Request};
use super::{Arrival, RETRY_AFTER_MS, State, Target, Verdict};
use crate::refusal::{Code, Refusal};
use lovageplank_core::admission::{self, Limit, Queue, QueuedRequest};
use lovageplank_core::prelude::*;
use lovageplank_core::route::Requirements;
use lovageplank_core::settings::{Effective, Kind, Model};

impl State {
    /// Lets a request in, or refuses it.
    pub fn arrive(&mut self, now: Millis, arrival: Arrival) {
        let id = arrival.id;
        if let Err(refusal) = self.admit(now, arrival) {
            self.verdicts.push((id, Verdict::Refuse(refusal)));
        }
    }

    fn admit(&mut self, now: Millis, arrival: Arrival) -> Result<(), Refusal> {
        if now >= self.lease_until {
            return Err(self.lease_lapsed(arrival.target.name()));
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
            .try_acquire(&request.service, request.settings.concurrency_limit)
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
            self.gate.release(&service);
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
        self.retrier.record_first_attempt(&service, ratio);
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
            Target::Model { model, adapter, .. } => {
                let found = tree.model(model);
                let Some((service, _)) = found.filter(|f| self.listed(&arrival.target, f)) else {
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

    /// Whether a model of the tree has what a target names besides.
    fn listed(&self, target: &Target, found: &(&Name, &Model)) -> bool {
        let Target::Model {
            model,
            adapter,
            version,
            service,
        } = target
        else {
            return false;
        };
        // A version that is being replaced serves on until its replicas are gone.
        let held = |v: &Name| {
            let replicas = self.view.replicas.get(model).into_iter().flatten();
            replicas.into_iter().any(|r| r.id.version == *v)
        };
        let has_adapter = |a: &Name| found.1.adapters.contains_key(a);
        let has_version = |v: &Name| found.1.version == *v || held(v);
        service.as_ref().is_none_or(|s| s == found.0)
            && adapter.as_ref().is_none_or(has_adapter)
            && version.as_ref().is_none_or(has_version)
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
        let ready = self.ready_at(now, &request.target)?;
        let cold = ready != Some(now) && matches!(request.target, Target::Model { .. });
        let (ticket, limit) = (request.ticket(), request.limit());
        let key = request.key.clone();
        let held = self.holds_adapter(&request.target);
        let queue = self.queues.entry(key.clone()).or_default();
        let first = queue.is_empty();
        let offered = queue.admit(now, ticket, limit, ready);
        let wait_ms = queue.wait_ms(&ticket);
        match offered {
            Ok(pushed) => {
                self.urgent |= first || !held;
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

    /// When the first replica of a model or server of a service takes work: unknown, or a time.
    pub(super) fn ready_at(&self, now: Millis, target: &Target) -> Result<Option<Millis>, Refusal> {
        let name = target.name();
        let want = match target {
            Target::Model { .. } => Requirements::model(name.clone()),
            Target::Service(_) => Requirements::service(name.clone()),
        };
        if self.table.is_available(now, &want) {
            return Ok(Some(now));
        }
        if matches!(target, Target::Service(_)) {
            if self.table.has_ready_server(name) {
                return Ok(None);
            }
            let message = format!("no server of {name} is there");
            return Err(Refusal::new(Code::NoCapacity, message).retry_after_ms(RETRY_AFTER_MS));
        }
        if let Some(at) = self.table.expected_ready_at(name) {
            return Ok(Some(at).filter(|at| *at > now));
        }
        match self.expected.get(name) {
            Some(Expectation::Never) => {
                let message = format!("{name} can't be loaded now");
                Err(Refusal::new(Code::NoCapacity, message).retry_after_ms(RETRY_AFTER_MS))
            }
            Some(Expectation::At(at)) if *at > now => Ok(Some(*at)),
            Some(Expectation::After(ms)) => Ok(Some(now + ms)),
            _ => Ok(None),
        }
    }
}

fn full(wait_ms: u64) -> Refusal {
    let message = "too many requests wait already";
    Refusal::new(Code::QueueFull, message).retry_after_ms(wait_ms.max(RETRY_AFTER_MS))
}

pub(super) fn late(now: Millis, ready: Option<Millis>, wait_ms: u64) -> Refusal {
    let until_ready = ready.map_or(0, |at| at.saturating_sub(now));
    let message = "it can't be answered before its deadline";
    let retry_after_ms = (until_ready + wait_ms).max(RETRY_AFTER_MS);
    Refusal::new(Code::Late, message).retry_after_ms(retry_after_ms)
}

impl Request {
    pub(super) fn ticket(&self) -> QueuedRequest {
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
