//! One attempt: sends a request to one backend server.

use super::place::Reservation;
use super::quarantine::Broken;
use super::request::Call;
use super::{RunningRequest, Shared, speed};
use crate::dialect::{AttemptHead, Brittleness, Ids, Intake, RateLimit, ResponseClass};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lovageplank_core::fleet::deployment::RequestKind;
use lovageplank_core::fleet::dispatch::Target;
use lovageplank_core::fleet::place::End;
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_core::route::ServerOutcome;
use lovageplank_process::clock;
use lovageplank_router::dispatch::{self, Connection, Route};
use lovageplank_router::{answer, decision};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Milliseconds to open a connection; a live server takes a few milliseconds. After this timeout
/// the request counts as not sent.
pub(super) const CONNECT_TIMEOUT_MS: u64 = 300;
/// Longest idle time, in milliseconds, of a connection that is reused for a repeatable request: one
/// that may run more than once. A connection that has been idle for longer isn't reused.
const REPEATABLE_IDLE_MS: u64 = 4_000;
/// The same for a request that may run only once. It is shorter: if a server closes the idle
/// connection while the request is sent, it isn't known whether the request ran, and it can't be
/// sent again.
const UNREPEATABLE_IDLE_MS: u64 = 1_500;
/// Milliseconds for which no connection to a server is reused after a response of it that didn't
/// name the request.
const REUSE_SUSPENSION_MS: u64 = 60_000;
/// Longest wait, in milliseconds, until a connection whose response has arrived can be reused.
const RETURN_TIMEOUT_MS: u64 = 1_000;
/// Largest body of a rejection, in bytes, after which its connection can be reused.
const MAX_REJECTION_BYTES: usize = 16 << 10;
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
pub(super) enum Failure {
    /// No byte was sent: the server was not reached and the request has not run.
    NotSent(String),
    /// The server states that it has not run the request.
    Rejected {
        /// Whether the request reached another server than intended, or one without the model.
        misdirected: bool,
    },
    /// The request may have run.
    Unknown {
        reason: String,
        /// The server, if the connection broke.
        broken: Option<Broken>,
    },
}

/// Place of an attempt among those of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    /// No attempt was sent before.
    pub(super) is_first: bool,
    /// No other attempt may follow if the request may have run in this one.
    pub(super) is_last: bool,
    /// It is the trial that the leader has allowed.
    pub(super) is_trial: bool,
}

/// Sends the request to a server and waits for the response head. `last_event_id` is the event after
/// which a stream resumes. `reserved` is the request's place at a brittle server.
pub(super) async fn attempt(
    shared: &Arc<Shared>,
    call: &Call,
    target: Target,
    last_event_id: Option<&str>,
    place: Place,
    reserved: Option<Reservation>,
) -> Result<OpenResponse, Failure> {
    let mut running = RunningRequest::new(shared.clone(), target.id.clone(), call, place.is_trial);
    if let Some(reserved) = reserved {
        reserved.use_up();
    }
    let remaining_ms = call.deadline.saturating_sub(clock::boottime_ms());
    let deadline =
        Instant::now() + Duration::from_millis(head_timeout_ms(call, remaining_ms, place.is_last));
    // This `Route` is the destination of the connection; `call.route` is the configured route.
    let destination = Route {
        server: target.id.clone(),
        address: target.address.clone(),
        idle_ms: reuse_idle_ms(call, place.is_first),
        connect_ms: CONNECT_TIMEOUT_MS,
        until: deadline,
    };
    let request = build_request(shared, call, &target, remaining_ms, last_event_id);
    let sent = dispatch::send(&shared.connection_pool, &destination, request).await;
    let (response, connection) = match sent {
        Ok(sent) => {
            if sent.1.requests() == 1 {
                shared.connected(&call.spec.service, &target.address, true);
            }
            sent
        }
        Err(failure) => {
            if failure.outcome == Outcome::NotRun {
                shared.connected(&call.spec.service, &target.address, false);
            }
            shared.server_failed(&target.id);
            running.end(end_of(&failure));
            return Err(sort_failure(failure, target, running.incarnation));
        }
    };
    let status = response.status();
    let head = shared
        .dialect
        .response_head(&call.id, status, response.headers());
    let class = head.class(connection.requests());
    if head.ids.tied(connection.requests()) {
        record_intake(shared, &target.id, running.incarnation, head.intake);
    }
    if !matches!(class, ResponseClass::MayHaveRun { .. }) {
        // `on_connection` is the number of the request among those of its connection, from 1.
        tracing::info!(event = "unusable_response", id = %call.id, server = %target.id, status = status.as_u16(),
            ids = ?head.ids, not_run = head.not_run, on_connection = connection.requests());
    }
    if head.ids != Ids::Match {
        let pool = &shared.connection_pool;
        pool.suspend(&target.address, REUSE_SUSPENSION_MS);
    }
    let is_other_server = matches!(
        class,
        ResponseClass::Foreign | ResponseClass::NotRun { misdirected: true }
    );
    if !is_other_server {
        record_limit(shared, &target.id, head.rate_limit);
        speed::record_load(shared, &target.id, running.incarnation, head.load);
        record_brittleness(shared, &target.id, running.incarnation, head.brittleness);
    }
    match class {
        ResponseClass::Foreign => {
            let reason = "the response doesn't belong to this request";
            Err(Failure::Unknown {
                reason: reason.into(),
                broken: None,
            })
        }
        ResponseClass::NotRun { misdirected } => {
            metrics::counter!("lovageplank_entry_rejected_total").increment(1);
            running.end(if misdirected {
                End::NotSent
            } else {
                End::Rejected
            });
            let now = clock::boottime_ms();
            shared
                .state()
                .dispatcher
                .model_refused(now, &target.id, &call.spec);
            return_connection(
                shared,
                &target.address,
                connection,
                Some(response.into_body()),
            );
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

/// What is known of a request whose attempt at a server failed.
fn sort_failure(failure: decision::Failure, server: Target, incarnation: Option<u64>) -> Failure {
    if failure.outcome == Outcome::NotRun {
        return Failure::NotSent(failure.message);
    }
    // A server that is only slow hasn't ended.
    let has_broken = failure.server_outcome == ServerOutcome::Failed;
    let broken = Broken {
        server,
        incarnation,
    };
    Failure::Unknown {
        reason: failure.message,
        broken: has_broken.then_some(broken),
    }
}

/// How a request ended at its server by a failed attempt.
fn end_of(failure: &decision::Failure) -> End {
    match (failure.outcome, failure.server_outcome) {
        (Outcome::NotRun, _) => End::NotSent,
        (_, ServerOutcome::Failed) => End::Broken,
        _ => End::Abandoned,
    }
}

/// Records what a server's response says of the rejections that it bears. One that can't be read is taken for none.
fn record_brittleness(
    shared: &Shared,
    server: &Name,
    incarnation: Option<u64>,
    stated: Brittleness,
) {
    let Some(incarnation) = incarnation else {
        return;
    };
    let tolerated = match stated {
        Brittleness::None => None,
        Brittleness::Named(per_s) => Some(per_s),
        Brittleness::Unreadable => {
            tracing::warn!(event = "server_brittle_unreadable", %server, born_ms = incarnation);
            Some(0)
        }
    };
    let now = clock::boottime_ms();
    let mut state = shared.state();
    let dispatcher = &mut state.dispatcher;
    let changed = dispatcher.brittleness_stated(now, server, incarnation, tolerated);
    shared.notify_leader(&state);
    drop(state);
    if changed {
        // `tolerated` is `None` if the server no longer says that it is brittle.
        tracing::info!(event = "server_brittle", %server, born_ms = incarnation, ?tolerated);
    }
}

/// Records what a server's response says of further requests.
fn record_intake(shared: &Shared, server: &Name, incarnation: Option<u64>, intake: Intake) {
    let Some(incarnation) = incarnation else {
        return;
    };
    match intake {
        Intake::Open => {}
        Intake::Leaving => shared.server_leaves(server, incarnation),
        Intake::Paused(pause_ms) => {
            let now = clock::boottime_ms();
            let mut state = shared.state();
            let is_new = state
                .dispatcher
                .pause_asked(now, server, incarnation, pause_ms);
            drop(state);
            if is_new {
                tracing::info!(event = "server_paused", %server, born_ms = incarnation, pause_ms);
            }
        }
        Intake::PauseUnreadable => {
            tracing::warn!(event = "server_pause_unreadable", %server, born_ms = incarnation);
        }
    }
}

/// Records what a server's response says of the requests that it takes from all routers together.
fn record_limit(shared: &Shared, server: &Name, stated: RateLimit) {
    let limit = match stated {
        RateLimit::None => None,
        RateLimit::Named(rate) => Some(rate),
        RateLimit::Unreadable => {
            tracing::warn!(event = "server_limit_unreadable", %server);
            return;
        }
    };
    let now = clock::boottime_ms();
    let mut state = shared.state();
    let changed = state.dispatcher.server_limit_stated(now, server, limit);
    shared.notify_leader(&state);
    drop(state);
    if changed {
        // `per_1000_s` is the number of requests in 1,000 s; `None` if the server no longer names a limit.
        tracing::info!(event = "server_limit", %server, per_1000_s = ?limit.map(|rate| rate.0));
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
    let mut request = call.to_request();
    let attempt = AttemptHead {
        server: &target.id,
        remaining_ms,
        last_event_id,
        priority: call.urgency,
        sender: &call.sender,
    };
    shared
        .dialect
        .set_attempt_headers(request.headers_mut(), &attempt);
    request
}

/// Longest idle time, in milliseconds, of a connection that has carried other requests and may carry
/// this attempt; 0 if none may.
///
/// Only the first attempt of a request may use one: then no connection carries a request twice, and
/// the id in a response names the attempt, too.
pub(super) fn reuse_idle_ms(call: &Call, is_first: bool) -> u64 {
    match (is_first, call.route.repeatable()) {
        (false, _) => 0,
        (true, true) => REPEATABLE_IDLE_MS,
        (true, false) => UNREPEATABLE_IDLE_MS,
    }
}

/// Returns a connection to the pool once `rest` of its response was read, if any, and the server has
/// read the whole request. Doesn't wait for that.
pub(super) fn return_connection(
    shared: &Arc<Shared>,
    address: &Name,
    mut connection: Connection,
    rest: Option<Incoming>,
) {
    let (shared, address) = (shared.clone(), address.clone());
    tokio::spawn(async move {
        let until = Instant::now() + Duration::from_millis(RETURN_TIMEOUT_MS);
        let was_read = match rest {
            Some(rest) => {
                let read = answer::read_short_body(rest, until, MAX_REJECTION_BYTES);
                read.await.is_ok()
            }
            None => true,
        };
        if was_read && timeout_at(until, connection.wait_ready()).await == Ok(true) {
            shared.connection_pool.put(&address, connection);
        }
    });
}
