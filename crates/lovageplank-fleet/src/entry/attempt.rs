//! One attempt at a backend server.

use super::call::Call;
use super::{Shared, Slot};
use crate::dialect::{Answered, Attempt};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lovageplank_core::fleet::deployment::Kind;
use lovageplank_core::fleet::dispatch::Target;
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_process::clock;
use lovageplank_router::dispatch::{self, Connection, Route};
use std::time::Duration;
use tokio::time::Instant;

/// Milliseconds for a connection to open; a live server takes a few.
const CONNECT_MS: u64 = 300;
/// Milliseconds for which a connection may have been idle for a request that may run again.
const REPEATABLE_IDLE_MS: u64 = 4_000;
/// The same for a request that may not: a server that closes it just then makes it unknown.
const ONCE_IDLE_MS: u64 = 1_500;
/// Times the route's objective after which a request that may run again is sent elsewhere.
const PATIENCE: u64 = 2;
/// Milliseconds of that patience at the least.
const PATIENCE_MIN_MS: u64 = 150;

/// The head of an answer, with all that carries its body.
pub(super) struct Begun {
    pub(super) response: Response<Incoming>,
    /// Whether the answer bears the mark of a server that ran the request.
    pub(super) marked: bool,
    pub(super) connection: Connection,
    pub(super) slot: Slot,
    pub(super) target: Target,
}

/// Why an attempt brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No byte left: it has not run, and the server was not reached.
    NotSent(String),
    /// The server says that it has not run.
    Rejected {
        /// Whether it lacks the model, or is another server.
        misdirected: bool,
    },
    /// It may have run.
    Unknown(String),
}

/// Sends the request to a server; `last_event` is where a stream goes on.
pub(super) async fn attempt(
    shared: &Arc<Shared>,
    call: &Call,
    target: Target,
    last_event: Option<&str>,
    last: bool,
) -> Result<Begun, Failure> {
    let slot = Slot::new(shared.clone(), target.id.clone(), call.ask.clone());
    let left_ms = call.deadline.saturating_sub(clock::boottime_ms());
    let until = Instant::now() + Duration::from_millis(patience(call, left_ms, last));
    let route = Route {
        server: target.id.clone(),
        address: target.address.clone(),
        idle_ms: if call.route.repeatable() {
            REPEATABLE_IDLE_MS
        } else {
            ONCE_IDLE_MS
        },
        connect_ms: CONNECT_MS,
        until,
    };
    let request = request(shared, call, &target, left_ms, last_event);
    let sent = dispatch::send(&shared.pool, &route, request).await;
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
    let answered = shared
        .dialect
        .answered(&call.head.id, status, response.headers());
    match answered {
        Answered::Foreign => {
            let reason = "the answer belongs to another request";
            Err(Failure::Unknown(reason.into()))
        }
        Answered::NotRun { misdirected } => {
            metrics::counter!("lovageplank_entry_rejected_total").increment(1);
            let now = clock::boottime_ms();
            shared
                .state()
                .dispatcher
                .model_refused(now, &target.id, &call.ask);
            keep(shared, &target, response, connection, until).await;
            Err(Failure::Rejected { misdirected })
        }
        Answered::Ran { marked } => Ok(Begun {
            response,
            marked,
            connection,
            slot,
            target,
        }),
    }
}

/// Milliseconds to wait for the head of the answer.
fn patience(call: &Call, left_ms: u64, last: bool) -> u64 {
    match call.route.kind {
        Kind::Safe if !last => {
            let patience = (PATIENCE * call.route.objective_ms).max(PATIENCE_MIN_MS);
            patience.min(left_ms)
        }
        Kind::Safe | Kind::Unsafe | Kind::Stream | Kind::Resumable => left_ms,
    }
}

fn request(
    shared: &Shared,
    call: &Call,
    target: &Target,
    left_ms: u64,
    last_event: Option<&str>,
) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let attempt = Attempt {
        server: &target.id,
        left_ms,
        last_event,
        priority: call.route.priority,
    };
    shared.dialect.attempt(request.headers_mut(), &attempt);
    request
}

/// Reads the rest of a short answer so that its connection can be used again.
async fn keep(
    shared: &Shared,
    target: &Target,
    response: Response<Incoming>,
    connection: Connection,
    until: Instant,
) {
    let rest = lovageplank_router::answer::collect(response.into_body(), until).await;
    if rest.is_ok() {
        give_back(shared, &target.address, connection).await;
    }
}

/// Keeps a connection whose last answer was read whole.
pub(super) async fn give_back(shared: &Shared, address: &Name, mut connection: Connection) {
    if connection.settle().await {
        shared.pool.give(address, connection);
    }
}
