//! One attempt: sends a request to one backend server.

use super::call::Call;
use super::{RunningRequest, Shared};
use crate::dialect::{AttemptHead, ResponseClass};
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

/// Milliseconds to open a connection; a live server takes a few milliseconds. After this timeout
/// the request counts as not sent.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Longest idle time, in milliseconds, of a connection that is reused for a repeatable request: one
/// that may run more than once. A connection that has been idle for longer isn't reused.
const REPEATABLE_IDLE_MS: u64 = 4_000;
/// The same for a request that may run only once. It is shorter: if a server closes the idle
/// connection while the request is sent, it isn't known whether the request ran, and it can't be
/// sent again.
const UNREPEATABLE_IDLE_MS: u64 = 1_500;
/// Timeout for the response head, as a multiple of the route's latency objective. It applies if the
/// route's requests are idempotent (`RequestKind::Safe`) and another attempt may follow. After the
/// timeout the attempt has failed and the request may be sent to another server.
const HEAD_TIMEOUT_FACTOR: u64 = 2;
/// Lower bound of that timeout in milliseconds, for routes with a short latency objective.
const MIN_HEAD_TIMEOUT_MS: u64 = 150;

/// A response whose head has arrived, with what is needed to read its body.
pub(super) struct OpenResponse {
    pub(super) response: Response<Incoming>,
    /// Whether the response has the header by which a server confirms that it ran the request.
    pub(super) confirmed: bool,
    pub(super) connection: Connection,
    pub(super) running: RunningRequest,
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
    let running = RunningRequest::new(shared.clone(), target.id.clone(), call.spec.clone());
    let remaining_ms = call.deadline.saturating_sub(clock::boottime_ms());
    let deadline =
        Instant::now() + Duration::from_millis(head_timeout_ms(call, remaining_ms, is_last));
    // This `Route` is the destination of the connection; `call.route` is the configured route.
    let destination = Route {
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
    let sent = dispatch::send(&shared.connection_pool, &destination, request).await;
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(failure) => {
            let mut state = shared.state();
            state.dispatcher.failed(clock::boottime_ms(), &target.id);
            return Err(match failure.outcome {
                Outcome::NotRun => Failure::NotSent(failure.message),
                _ => Failure::Unknown(failure.message),
            });
        }
    };
    let status = response.status();
    let head = shared
        .dialect
        .response_head(&call.head.id, status, response.headers());
    let class = head.class();
    if !matches!(class, ResponseClass::MayHaveRun { .. }) {
        // `on_connection` is the number of the request among those of its connection, from 1.
        tracing::info!(event = "unusable_response", id = call.head.id, server = %target.id, status = status.as_u16(),
            ids = ?head.ids, not_run = head.not_run, on_connection = connection.requests());
    }
    match class {
        ResponseClass::Foreign => {
            let reason = "the response doesn't belong to this request";
            Err(Failure::Unknown(reason.into()))
        }
        ResponseClass::NotRun { misdirected } => {
            metrics::counter!("lovageplank_entry_rejected_total").increment(1);
            let now = clock::boottime_ms();
            shared
                .state()
                .dispatcher
                .model_refused(now, &target.id, &call.spec);
            recycle_connection(shared, &target, response, connection, deadline).await;
            Err(Failure::Rejected { misdirected })
        }
        ResponseClass::MayHaveRun { confirmed } => Ok(OpenResponse {
            response,
            confirmed,
            connection,
            running,
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
    let attempt = AttemptHead {
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
    let rest = lovageplank_router::answer::read_body(response.into_body(), deadline).await;
    if rest.is_ok() {
        return_connection(shared, &target.address, connection).await;
    }
}

/// Returns a connection to the pool after its last response was read completely.
pub(super) async fn return_connection(shared: &Shared, address: &Name, mut connection: Connection) {
    if connection.wait_ready().await {
        shared.connection_pool.put(address, connection);
    }
}
