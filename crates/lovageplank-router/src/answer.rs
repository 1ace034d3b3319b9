//! Answers of backend servers: whose they are, whether they are whole, what they mean.

use crate::decision::Failure;
use crate::dispatch;
use crate::refusal::Code;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Response, StatusCode};
use lovageplank_core::retry::Outcome;
use lovageplank_core::route::ServerOutcome;
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

/// Header with the request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-lovageplank-request-id");
/// Header with the attempt's number.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-lovageplank-attempt");
/// Header with the number of events that a resumed stream leaves out.
pub const RESUME_OFFSET: HeaderName = HeaderName::from_static("x-resume-offset");

/// Bytes of a whole answer at the most.
const ANSWER_BYTES: usize = 16 << 20;
/// Bytes of an answer that is searched for a refusal.
const REFUSAL_BYTES: usize = 64 << 10;

/// Headers that belong to one connection, or that the router sets itself.
const NOT_PASSED_ON: &[&str] = &[
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Headers without those that must not be passed on.
pub fn pass_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    // What `Connection` names belongs to the connection too.
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        passed.remove(name);
    }
    for name in NOT_PASSED_ON {
        passed.remove(*name);
    }
    passed
}

/// Whether an answer belongs to an attempt.
///
/// Engines must repeat both ids; a plain service may leave them out, but not give others.
pub fn belongs(headers: &HeaderMap, request_id: &str, attempt: u32, engine: bool) -> bool {
    let matches = |name: &HeaderName, expected: &str| match headers.get(name) {
        Some(value) => value.as_bytes() == expected.as_bytes(),
        None => !engine,
    };
    matches(&REQUEST_ID, request_id) && matches(&ATTEMPT, &attempt.to_string())
}

/// Reads a whole answer; one that may have been cut is an error.
pub async fn read(
    method: &Method,
    response: Response<Incoming>,
    until: Instant,
) -> Result<Whole, String> {
    let (head, body) = response.into_parts();
    let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    // Without length or chunks a cut looks like the end.
    if body.size_hint().exact().is_none() && !chunked && *method != Method::HEAD {
        return Err("the answer has no length, so that a cut would not show".into());
    }
    let body = collect(body, until).await?;
    Ok(Whole {
        status: head.status,
        headers: pass_on(&head.headers),
        body,
    })
}

/// Reads a body to its end; a connection that breaks or is reset before is an error.
pub async fn collect(mut body: Incoming, until: Instant) -> Result<Bytes, String> {
    let mut whole = BytesMut::new();
    loop {
        let frame = timeout_at(until, body.frame())
            .await
            .map_err(|_| "the answer did not end in time".to_owned())?;
        let data = match frame {
            None => break,
            Some(Err(error)) => return Err(format!("the answer is cut: {error}")),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if whole.len() + data.len() > ANSWER_BYTES {
            return Err(format!("the answer is larger than {ANSWER_BYTES} bytes"));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

#[derive(Deserialize)]
struct Refused {
    error: Reason,
}

#[derive(Deserialize)]
struct Reason {
    #[serde(default)]
    code: String,
    #[serde(default)]
    not_run: bool,
}

/// Whether a whole answer goes to the caller, or stands for a failed attempt.
pub fn judge(whole: &Whole, engine: bool, server: &str) -> Result<(), Failure> {
    let reason = refused(whole);
    let code = reason.as_ref().map_or("", |r| r.code.as_str());
    let not_run = reason.as_ref().is_some_and(|r| r.not_run);
    let denied = |ending, code: &str| Failure {
        outcome: Outcome::NotRun,
        ending,
        code: Code::NoCapacity,
        message: format!("{server} refused before running: {code}"),
    };
    match (whole.status, code) {
        (StatusCode::NOT_FOUND, "model_not_loaded") if engine => {
            Err(denied(ServerOutcome::Denied, code))
        }
        (StatusCode::NOT_FOUND, "adapter_not_loaded") if engine => {
            Err(denied(ServerOutcome::AdapterDenied, code))
        }
        (StatusCode::SERVICE_UNAVAILABLE, _) if not_run => Err(denied(ServerOutcome::Denied, code)),
        (status, _) if engine && status.is_server_error() => Err(Failure {
            code: Code::BackendBroke,
            // A request that breaks any engine must not make all of them suspect.
            ending: ServerOutcome::Abandoned,
            ..dispatch::broken(format!("{server} answered {status} {code}"))
        }),
        _ => Ok(()),
    }
}

/// The reason that a refusal's body gives, if the answer is one.
fn refused(whole: &Whole) -> Option<Reason> {
    if whole.status.is_success() || whole.body.len() > REFUSAL_BYTES {
        return None;
    }
    let refused: Refused = serde_json::from_slice(&whole.body).ok()?;
    Some(refused.error)
}
