//! Requests, verdicts on them, and results of their attempts.

use crate::refusal::{Code, Refusal};
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_core::route::{Requirements, Selection, ServerOutcome};
use lovageplank_core::settings::Effective;
use lovageplank_core::view::ReplicaId;

/// Servers that a request avoids at most. Further servers on which it failed may be selected
/// again.
const AVOIDED_SERVERS_MAX: usize = 4;

/// The model or plain service that a request is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A model.
    Model {
        /// Its name.
        model: Name,
        /// The adapter, if any.
        adapter: Option<Name>,
        /// The version, if the caller requires one.
        version: Option<Name>,
        /// The service, if the caller names one.
        service: Option<Name>,
    },
    /// A plain service.
    Service(Name),
}

impl Target {
    /// The name of the model or service.
    pub fn name(&self) -> &Name {
        match self {
            Target::Model { model, .. } => model,
            Target::Service(name) => name,
        }
    }
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id, unique in this process.
    pub id: u64,
    /// The model or plain service that it is for.
    pub target: Target,
    /// Name of the caller; its IP address if it gave none.
    pub caller: Name,
    /// Priority from 0 to 9, if the caller sets one.
    pub priority: Option<u8>,
    /// Milliseconds from its arrival to its deadline, if the caller sets one.
    pub deadline_ms: Option<u64>,
    /// Bytes of the body.
    pub bytes: u64,
    /// Hash of the prompt's prefix; 0 if there is none.
    pub prefix: u64,
    /// Time at which its head arrived.
    pub received: Millis,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send it to a backend server and report how the attempt ended.
    Dispatch(Dispatch),
    /// Return this refusal to the caller; final.
    Refuse(Refusal),
}

/// The dispatch of a request to one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Name of the server.
    pub server: Name,
    /// `ip:port`.
    pub address: Name,
    /// Time by which the caller must have its answer.
    pub deadline: Millis,
    /// Priority for the server's own queue.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Milliseconds from the request's arrival to this dispatch.
    pub waited_ms: u64,
    /// Whether no replica of its model was ready when the request was queued.
    pub cold: bool,
    /// Milliseconds for which the outcome of a request with an idempotency key is kept.
    pub idempotency_ttl_ms: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// The backend server's answer is complete.
    Answered {
        /// Milliseconds from the start of the attempt to the head of the answer.
        first_byte_ms: u64,
    },
    /// The attempt failed. The caller has got nothing of an answer, or a part of a stream that
    /// another attempt may resume.
    Failed(Failure),
}

impl AttemptResult {
    /// What the result means for the selection of the server.
    pub fn server_outcome(&self) -> ServerOutcome {
        match self {
            AttemptResult::Answered { first_byte_ms } => {
                ServerOutcome::Answered { ms: *first_byte_ms }
            }
            AttemptResult::Failed(failure) => failure.server_outcome,
        }
    }
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// What the failure means for the selection of the server.
    pub server_outcome: ServerOutcome,
    /// Code of the refusal that the caller gets unless another attempt is made.
    pub code: Code,
    /// Step, server and cause.
    pub message: String,
}

impl Failure {
    /// The refusal that the caller gets if there is no other attempt.
    pub fn refusal(&self) -> Refusal {
        let refusal = Refusal::new(self.code, self.message.clone());
        if self.code.not_run() {
            return refusal.retry_after_ms(super::DEFAULT_RETRY_AFTER_MS);
        }
        refusal
    }
}

/// Adapter and version that a request requires.
pub(super) type Restriction = (Option<Name>, Option<Name>);

/// Stage of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    Queued,
    /// Until this time.
    Backoff(Millis),
    Dispatched,
}

/// A request that is queued, in backoff or dispatched.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) id: u64,
    pub(super) target: Target,
    /// Name of the queue: the model or the plain service.
    pub(super) key: Name,
    pub(super) service: Name,
    pub(super) settings: Effective,
    pub(super) caller: Name,
    pub(super) priority: u8,
    pub(super) deadline: Millis,
    pub(super) bytes: u64,
    pub(super) prefix: u64,
    pub(super) received: Millis,
    pub(super) stage: Stage,
    /// Number of the last attempt; 0 before the first.
    pub(super) attempt: u32,
    /// Attempts that count against `max_attempts`; those that an engine denied before running
    /// them don't.
    pub(super) counted_attempts: u32,
    /// Whether an attempt ended without proof that it did not run.
    pub(super) may_have_run: bool,
    pub(super) server: Option<Name>,
    pub(super) version: Name,
    pub(super) started: Millis,
    /// Whether no replica of its model was ready when it was queued.
    pub(super) cold: bool,
    /// Time from which it may be dispatched to a replica without its adapter.
    pub(super) use_base_at: Millis,
    avoided: Vec<Name>,
}

impl Request {
    pub(super) fn new(arrival: Arrival, service: Name, settings: Effective) -> Request {
        let allowed_ms = arrival
            .deadline_ms
            .map_or(settings.deadline_ms, |ms| ms.min(settings.deadline_ms));
        Request {
            id: arrival.id,
            key: arrival.target.name().clone(),
            target: arrival.target,
            service,
            caller: arrival.caller,
            priority: arrival.priority.unwrap_or(settings.priority).min(9),
            deadline: arrival.received + allowed_ms,
            settings,
            bytes: arrival.bytes,
            prefix: arrival.prefix,
            received: arrival.received,
            stage: Stage::Queued,
            attempt: 0,
            counted_attempts: 0,
            may_have_run: false,
            server: None,
            version: "".into(),
            started: 0,
            cold: false,
            use_base_at: arrival.received + super::ADAPTER_WAIT_MS,
            avoided: Vec::new(),
        }
    }

    pub(super) fn requirements(&self) -> Requirements {
        let requirements = match &self.target {
            Target::Model {
                model,
                adapter,
                version,
                ..
            } => Requirements::model(model.clone())
                .adapter(adapter.clone())
                .version(version.clone()),
            Target::Service(name) => Requirements::service(name.clone()),
        };
        requirements
            .prefix(self.prefix)
            .avoid(self.avoided.clone())
            .load_limit(self.settings.batch_size)
    }

    /// The adapter and the version that it requires.
    pub(super) fn restriction(&self) -> Restriction {
        match &self.target {
            Target::Model {
                adapter, version, ..
            } => (adapter.clone(), version.clone()),
            Target::Service(_) => (None, None),
        }
    }

    pub(super) fn idempotent(&self) -> bool {
        self.settings.idempotent
    }

    /// Starts an attempt at the selected server.
    pub(super) fn start_attempt(&mut self, now: Millis, selection: &Selection) -> Dispatch {
        self.attempt += 1;
        self.stage = Stage::Dispatched;
        self.server = Some(selection.server.clone());
        self.version = selection.version.clone();
        self.started = now;
        Dispatch {
            attempt: self.attempt,
            server: selection.server.clone(),
            address: selection.address.clone(),
            deadline: self.deadline,
            priority: self.priority,
            idempotent: self.idempotent(),
            waited_ms: now.saturating_sub(self.received),
            cold: self.cold,
            idempotency_ttl_ms: self.settings.idempotency_ttl_ms,
        }
    }

    /// Avoids the last server in further selections, as long as there are others.
    pub(super) fn avoid_server(&mut self) {
        if let Some(server) = self.server.take()
            && self.avoided.len() < AVOIDED_SERVERS_MAX
        {
            self.avoided.push(server);
        }
    }

    /// The replica that the current attempt uses; `None` for a plain service or without an attempt.
    pub(super) fn replica(&self) -> Option<ReplicaId> {
        let Target::Model { model, .. } = &self.target else {
            return None;
        };
        Some(ReplicaId {
            model: model.clone(),
            version: self.version.clone(),
            engine: self.server.clone()?,
        })
    }
}
