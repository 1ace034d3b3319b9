//! Makes one attempt: sends the request, receives the answer and checks it.

use super::{Call, Context, set_header};
use crate::answer::{self, CompleteAnswer, Ids, RESUME_OFFSET};
use crate::decision::{Dispatch, Failure};
use crate::dispatch::{self, Connection, Route, pool};
use crate::refusal::Code;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Request, Response, StatusCode};
use lovageplank_core::prelude::Millis;
use lovageplank_core::route::ServerOutcome;

/// Milliseconds before a request's deadline at which an attempt ends at the latest, so that the
/// caller gets the refusal in time. It is a tenth of the time left if that is less.
const ANSWER_RESERVE_MS: u64 = 20;

/// Answer of a successful attempt.
pub(super) enum AttemptAnswer {
    /// A complete answer, and the milliseconds from the start of the attempt to its head.
    Complete(CompleteAnswer, u64),
    /// A stream whose head has arrived.
    Stream(StreamSource),
}

/// A stream of events from a backend server.
pub(super) struct StreamSource {
    /// Headers to relay to the caller.
    pub(super) headers: HeaderMap,
    /// The events.
    pub(super) body: Incoming,
    /// The connection that carries them.
    pub(super) connection: Connection,
    /// Number of events that the server left out at the start.
    pub(super) offset: u64,
    /// Milliseconds from the start of the attempt to the head of the answer.
    pub(super) first_byte_ms: u64,
}

/// Makes an attempt; `offset` is the number of events that the caller has got before.
pub(super) async fn attempt(
    context: &Context,
    call: &Call,
    dispatch: &Dispatch,
    offset: u64,
) -> Result<AttemptAnswer, Failure> {
    let started = context.clock.now();
    let until = deadline(started, dispatch);
    let route = Route {
        server: dispatch.server.clone(),
        address: dispatch.address.clone(),
        // If the server closes a reused connection while the request is sent, or sends an answer
        // without ids on it, the outcome is unknown, so that only an idempotent request may reuse
        // one. Its further attempts may not, so that they end with an outcome.
        idle_ms: if dispatch.idempotent && dispatch.attempt == 1 {
            pool::IDLE_TIMEOUT_MS
        } else {
            0
        },
        connect_ms: dispatch::CONNECT_TIMEOUT_MS,
        until: context.clock.at(until),
    };
    let request = request(call, dispatch, until.saturating_sub(started), offset)?;
    let (response, connection) = dispatch::send(&context.pool, &route, request).await?;
    let first_byte_ms = context.clock.now().saturating_sub(started);
    let ids = answer::ids(response.headers(), &call.request_id, dispatch.attempt);
    let belongs = match ids {
        // An engine must repeat the ids.
        Ids::Absent if call.engine => false,
        _ => ids.tied(connection.requests()),
    };
    if !belongs {
        return Err(foreign_answer(dispatch));
    }
    if call.stream && is_stream(&response) {
        return Ok(AttemptAnswer::Stream(stream_source(
            response,
            connection,
            offset,
            first_byte_ms,
        )));
    }
    let complete = answer::read_complete(&call.method, response, route.until)
        .await
        .map_err(|reason| incomplete_answer(dispatch, &reason))?;
    if ids == Ids::Match {
        return_to_pool(context, dispatch, connection).await;
    }
    answer::check(&complete, call.engine, &dispatch.server)?;
    Ok(AttemptAnswer::Complete(complete, first_byte_ms))
}

/// Time at which an attempt ends at the latest.
fn deadline(now: Millis, dispatch: &Dispatch) -> Millis {
    let left = dispatch.deadline.saturating_sub(now);
    dispatch.deadline - ANSWER_RESERVE_MS.min(left / 10)
}

/// Returns a connection to the pool after a complete answer that repeated both ids. If the request
/// isn't idempotent, the connection is closed instead.
pub(super) async fn return_to_pool(
    context: &Context,
    dispatch: &Dispatch,
    mut connection: Connection,
) {
    if dispatch.idempotent && connection.wait_ready().await {
        context.pool.put(&dispatch.address, connection);
    }
}

fn is_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get(header::CONTENT_TYPE);
    response.status() == StatusCode::OK
        && kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

fn stream_source(
    response: Response<Incoming>,
    connection: Connection,
    requested_offset: u64,
    first_byte_ms: u64,
) -> StreamSource {
    let (head, body) = response.into_parts();
    let server_offset = head
        .headers
        .get(RESUME_OFFSET)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    StreamSource {
        headers: answer::relayed_headers(&head.headers),
        body,
        connection,
        offset: server_offset.unwrap_or(requested_offset),
        first_byte_ms,
    }
}

fn request(
    call: &Call,
    dispatch: &Dispatch,
    left_ms: u64,
    offset: u64,
) -> Result<Request<Full<bytes::Bytes>>, Failure> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.parse().map_err(|_| malformed(call))?;
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    set_header(headers, "host", &dispatch.address);
    set_header(headers, "x-lovageplank-request-id", &call.request_id);
    set_header(
        headers,
        "x-lovageplank-attempt",
        &dispatch.attempt.to_string(),
    );
    set_header(
        headers,
        "x-lovageplank-priority",
        &dispatch.priority.to_string(),
    );
    set_header(headers, "x-lovageplank-deadline-ms", &left_ms.to_string());
    if offset > 0 {
        set_header(headers, "x-resume-offset", &offset.to_string());
    }
    Ok(request)
}

fn malformed(call: &Call) -> Failure {
    Failure {
        outcome: lovageplank_core::retry::Outcome::NotRun,
        server_outcome: ServerOutcome::Abandoned,
        code: Code::Malformed,
        message: format!("{:?} is no path", call.path),
    }
}

/// The failure for an answer that may belong to another request or attempt. Its connection is
/// closed.
fn foreign_answer(dispatch: &Dispatch) -> Failure {
    Failure {
        code: Code::BackendBroke,
        ..dispatch::broken(format!(
            "{} answered without proof that the answer belongs to this attempt",
            dispatch.server
        ))
    }
}

fn incomplete_answer(dispatch: &Dispatch, reason: &str) -> Failure {
    Failure {
        code: Code::BackendBroke,
        ..dispatch::broken(format!("{}: {reason}", dispatch.server))
    }
}
