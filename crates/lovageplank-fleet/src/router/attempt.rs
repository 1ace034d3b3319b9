//! One attempt: sends a request to one backend server.

use super::call::Call;
use super::{Shared, Slot};
use crate::dialect::{Attempt, ResponseClass};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lovageplank_core::fleet::deployment::RequestKind;
use lovageplank_core::fleet::dispatch::Target;
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_process::clock;
use lovageplank_router::dispatch::{self, Connection, Route};
use std::time::Duration;
use tokio::time::Instant;

/// Milliseconds to open a connection; a live server takes a few. Then the request counts as not
/// sent.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Milliseconds for which a reused connection may have been idle, for a request that may run again.
const REPEATABLE_IDLE_MS: u64 = 4_000;
/// The same for a request that may not run again. It is shorter, because a server that closes the
/// idle connection while the request is sent makes the outcome unknown.
const UNREPEATABLE_IDLE_MS: u64 = 1_500;
/// Multiple of the route's objective that an attempt waits for the response head, if the route is
/// safe and another attempt may follow; then the request is sent to another server.
const HEAD_TIMEOUT_FACTOR: u64 = 2;
/// Shortest such wait, in milliseconds.
const MIN_HEAD_TIMEOUT_MS: u64 = 150;

/// A response whose head has arrived, with what is needed to read its body.
pub(super) struct OpenResponse {
    pub(super) response: Response<Incoming>,
    /// Whether the response carries the mark of a server that ran the request.
    pub(super) marked: bool,
    pub(super) connection: Connection,
    pub(super) slot: Slot,
    pub(super) target: Target,
}

/// Why an attempt brought no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No byte was sent: the server was not reached and the request has not run.
    NotSent(String),
    /// The server states that it has not run the request.
    Rejected {
        /// Whether the request reached another server than intended, or one without the model.
        misdirected: bool,
    },
    /// The request may have run.
    Unknown(String),
}

/// Sends the request to a server and waits for the response head. `last_event_id` is the event after
/// which a stream resumes; `is_last` means that no other attempt may follow.
pub(super) async fn attempt(
    shared: &Arc<Shared>,
    call: &Call,
    target: Target,
    last_event_id: Option<&str>,
    is_last: bool,
) -> Result<OpenResponse, Failure> {
    let slot = Slot::new(shared.clone(), target.id.clone(), call.spec.clone());
    let remaining_ms = call.deadline.saturating_sub(clock::awake_ms());
    let deadline =
        Instant::now() + Duration::from_millis(head_timeout_ms(call, remaining_ms, is_last));
    let route = Route {
        server: target.id.clone(),
        address: target.address.clone(),
        idle_ms: if call.route.repeatable() {
            REPEATABLE_IDLE_MS
        } else {
            UNREPEATABLE_IDLE_MS
        },
        connect_ms: CONNECT_TIMEOUT_MS,
        until: deadline,
    };
    let request = build_request(shared, call, &target, remaining_ms, last_event_id);
    let sent = dispatch::send(&shared.pool, &route, request).await;
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(failure) => {
            let mut state = shared.state();
            state.dispatcher.failed(clock::awake_ms(), &target.id);
            return Err(match failure.outcome {
                Outcome::NotRun => Failure::NotSent(failure.message),
                _ => Failure::Unknown(failure.message),
            });
        }
    };
    let status = response.status();
    let class = shared
        .dialect
        .classify_response(&call.head.id, status, response.headers());
    match class {
        ResponseClass::Foreign => {
            let reason = "the response doesn't belong to this request";
            Err(Failure::Unknown(reason.into()))
        }
        ResponseClass::NotRun { misdirected } => {
            metrics::counter!("lovageplank_entry_rejected_total").increment(1);
            let now = clock::awake_ms();
            shared
                .state()
                .dispatcher
                .model_refused(now, &target.id, &call.spec);
            recycle_connection(shared, &target, response, connection, deadline).await;
            Err(Failure::Rejected { misdirected })
        }
        ResponseClass::Ran { marked } => Ok(OpenResponse {
            response,
            marked,
            connection,
            slot,
            target,
        }),
    }
}

/// Milliseconds to wait for the response head.
fn head_timeout_ms(call: &Call, remaining_ms: u64, is_last: bool) -> u64 {
    match call.route.kind {
        RequestKind::Safe if !is_last => {
            let timeout_ms =
                (HEAD_TIMEOUT_FACTOR * call.route.objective_ms).max(MIN_HEAD_TIMEOUT_MS);
            timeout_ms.min(remaining_ms)
        }
        RequestKind::Safe | RequestKind::Unsafe | RequestKind::Stream | RequestKind::Resumable => {
            remaining_ms
        }
    }
}

fn build_request(
    shared: &Shared,
    call: &Call,
    target: &Target,
    remaining_ms: u64,
    last_event_id: Option<&str>,
) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let attempt = Attempt {
        server: &target.id,
        remaining_ms,
        last_event_id,
        priority: call.route.priority,
    };
    shared
        .dialect
        .set_attempt_headers(request.headers_mut(), &attempt);
    request
}

/// Reads the rest of a short response, so that its connection can be reused.
async fn recycle_connection(
    shared: &Shared,
    target: &Target,
    response: Response<Incoming>,
    connection: Connection,
    deadline: Instant,
) {
    let rest = lovageplank_router::answer::collect(response.into_body(), deadline).await;
    if rest.is_ok() {
        return_connection(shared, &target.address, connection).await;
    }
}

/// Returns a connection to the pool after its last response was read completely.
pub(super) async fn return_connection(shared: &Shared, address: &Name, mut connection: Connection) {
    if connection.settle().await {
        shared.pool.give(address, connection);
    }
}
