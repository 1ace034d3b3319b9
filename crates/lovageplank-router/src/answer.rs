//! Checks answers of backend servers: whether an answer belongs to its attempt, is complete, and
//! may be returned to the caller.

use crate::decision::Failure;
use crate::dispatch;
use crate::refusal::Code;
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use lovageplank_core::retry::Outcome;
use lovageplank_core::route::ServerOutcome;
use lovageplank_process::body::{self, Budget, Held, ShareError};
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

/// Header with the request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-lovageplank-request-id");
/// Header with the attempt's number.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-lovageplank-attempt");
/// Header with the number of events that a resumed stream leaves out.
pub const RESUME_OFFSET: HeaderName = HeaderName::from_static("x-resume-offset");

/// Largest answer that isn't streamed, in bytes; a larger one is a failed attempt.
const ANSWER_MAX_BYTES: usize = 16 << 20;
/// Largest answer in bytes that is parsed as a refusal.
const REFUSAL_MAX_BYTES: usize = 64 << 10;

/// Why an answer that came too late isn't used.
const NOT_IN_TIME: &str = "the answer did not end in time";

/// Headers that belong to one connection, or that the router sets itself.
const NOT_RELAYED: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-lovageplank-attempt",
    "x-lovageplank-request-id",
    "x-resume-offset",
];

/// What the ids in the head of an answer say about the request that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ids {
    /// They are those of the latest request on the connection.
    Match,
    /// They are those of another request.
    Differ,
    /// The answer has none.
    Absent,
}

impl Ids {
    /// Whether the answer certainly belongs to the latest of `requests` requests on its connection.
    ///
    /// An answer without ids is tied to its request by its position alone. A server may send an
    /// answer late or twice, so that only the first request of a connection has a certain position.
    pub fn tied(self, requests: u64) -> bool {
        match self {
            Ids::Match => true,
            Ids::Differ => false,
            Ids::Absent => requests == 1,
        }
    }

    /// Compares all values of a header that holds an id with the expected one. An empty value names
    /// no request, so that an empty id is never matched.
    pub fn compare<'a>(values: impl IntoIterator<Item = &'a HeaderValue>, expected: &str) -> Ids {
        let mut ids = Ids::Absent;
        for value in values.into_iter().filter(|value| !value.is_empty()) {
            if value.as_bytes() != expected.as_bytes() {
                return Ids::Differ;
            }
            ids = Ids::Match;
        }
        ids
    }
}

/// An answer that was received completely.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to relay.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Headers without those that must not be relayed.
pub fn relayed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut relayed = headers.clone();
    // Headers that `Connection` names belong to one connection, too.
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        relayed.remove(name);
    }
    for name in NOT_RELAYED {
        relayed.remove(*name);
    }
    relayed
}

/// Whether an answer has a length or chunks. Otherwise it ends with its connection.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) || headers.contains_key(header::CONTENT_LENGTH)
}

/// What an answer's ids say about an attempt. They match only if both the request's id and the
/// attempt's number do: an answer with one of them may be that to another attempt.
pub fn ids(headers: &HeaderMap, request_id: &str, attempt: u32) -> Ids {
    let request_ids = Ids::compare(headers.get_all(REQUEST_ID), request_id);
    let attempts = Ids::compare(headers.get_all(ATTEMPT), &attempt.to_string());
    match (request_ids, attempts) {
        (Ids::Match, Ids::Match) => Ids::Match,
        (Ids::Differ, _) | (_, Ids::Differ) => Ids::Differ,
        (Ids::Absent, _) | (_, Ids::Absent) => Ids::Absent,
    }
}

/// Reads an answer that isn't streamed. An answer that may be truncated is an error.
pub async fn read_complete(
    method: &Method,
    response: Response<Incoming>,
    until: Instant,
) -> Result<CompleteAnswer, String> {
    let (head, body) = response.into_parts();
    let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    // Without a length or chunks, a truncated answer looks like a complete one.
    if body.size_hint().exact().is_none() && !chunked && *method != Method::HEAD {
        return Err("the answer has no length, so that a cut would not show".into());
    }
    let body = read_body(body, until).await?;
    Ok(CompleteAnswer {
        status: head.status,
        headers: relayed_headers(&head.headers),
        body,
    })
}

/// Reads a body to its end. A connection that breaks before the end is an error, as is a body that
/// is too large or late.
pub async fn read_body(body: Incoming, until: Instant) -> Result<Bytes, String> {
    read_body_while(body, until, |length| within(length, ANSWER_MAX_BYTES)).await
}

/// Reads a body like [`read_body`], of at most `max_bytes`.
pub async fn read_short_body(
    body: Incoming,
    until: Instant,
    max_bytes: usize,
) -> Result<Bytes, String> {
    read_body_while(body, until, |length| within(length, max_bytes)).await
}

/// Reads a body like [`read_body`], within the memory for the bodies of all answers, which counts it until its
/// reader has taken it.
pub async fn read_body_within(
    budget: &Budget,
    mut body: Incoming,
    until: Instant,
) -> Result<Held, String> {
    let share = budget.share();
    let read = timeout_at(
        until,
        body::join_within(&mut body, ANSWER_MAX_BYTES, &share),
    );
    let read = read.await.map_err(|_| NOT_IN_TIME.to_owned())?;
    let bytes = read.map_err(|error| match error {
        ShareError::Broken(error) => format!("the answer is cut: {error}"),
        ShareError::TooLarge => too_large(ANSWER_MAX_BYTES),
        ShareError::Evicted => "the answers being read are too large together".to_owned(),
    })?;
    Ok(Held::new(bytes, share))
}

/// Reads a body to its end; `check` is called with each length and stops it.
async fn read_body_while(
    mut body: Incoming,
    until: Instant,
    check: impl FnMut(usize) -> Result<(), String>,
) -> Result<Bytes, String> {
    let read = timeout_at(until, body::join(&mut body, check));
    let read = read.await.map_err(|_| NOT_IN_TIME.to_owned())?;
    read.map_err(|error| match error {
        body::Error::Broken(error) => format!("the answer is cut: {error}"),
        body::Error::Refused(reason) => reason,
    })
}

fn within(length: usize, max_bytes: usize) -> Result<(), String> {
    if length > max_bytes {
        return Err(too_large(max_bytes));
    }
    Ok(())
}

fn too_large(max_bytes: usize) -> String {
    format!("the answer is larger than {max_bytes} bytes")
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorReason,
}

#[derive(Deserialize)]
struct ErrorReason {
    #[serde(default)]
    code: String,
    #[serde(default)]
    not_run: bool,
}

/// Checks whether a complete answer that belongs to its attempt goes to the caller; fails if it
/// stands for a failed attempt.
pub fn check(answer: &CompleteAnswer, engine: bool, server: &str) -> Result<(), Failure> {
    let reason = error_reason(answer);
    let code = reason.as_ref().map_or("", |r| r.code.as_str());
    let not_run = reason.as_ref().is_some_and(|r| r.not_run);
    let denied = |server_outcome, code: &str| Failure {
        outcome: Outcome::NotRun,
        server_outcome,
        code: Code::NoCapacity,
        message: format!("{server} refused before running: {code}"),
    };
    match (answer.status, code) {
        (StatusCode::NOT_FOUND, "model_not_loaded") if engine => {
            Err(denied(ServerOutcome::Denied, code))
        }
        (StatusCode::NOT_FOUND, "adapter_not_loaded") if engine => {
            Err(denied(ServerOutcome::AdapterDenied, code))
        }
        (StatusCode::SERVICE_UNAVAILABLE, _) if not_run => Err(denied(ServerOutcome::Denied, code)),
        (status, _) if engine && status.is_server_error() => Err(Failure {
            code: Code::BackendBroke,
            // A request that every engine fails on must not make all engines suspected.
            server_outcome: ServerOutcome::Abandoned,
            ..dispatch::broken(format!("{server} answered {status} {code}"))
        }),
        _ => Ok(()),
    }
}

/// The reason in the body of a refusal; `None` if the answer is no refusal.
fn error_reason(answer: &CompleteAnswer) -> Option<ErrorReason> {
    if answer.status.is_success() || answer.body.len() > REFUSAL_MAX_BYTES {
        return None;
    }
    let body: ErrorBody = serde_json::from_slice(&answer.body).ok()?;
    Some(body.error)
}
