//! Reads the bodies of callers' requests, and holds the bodies of responses, within the budget of the process.

use super::Shared;
use super::listener::Body;
use super::refusal::{Cause, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use lovageplank_core::fleet::deployment::Limits;
use lovageplank_process::body::{Held, Use};
use lovageplank_process::http::{self, BodyError};
use std::convert::Infallible;

/// Milliseconds after which the caller may send a request again whose body found no memory.
const BUSY_RETRY_AFTER_MS: u64 = 1_000;

/// Reads the body of a request whose response must end within some milliseconds. A refusal means that it hasn't
/// run.
pub(super) async fn read_body(
    shared: &Shared,
    body: Incoming,
    limits: &Limits,
    left_ms: u64,
) -> Result<Bytes, Refusal> {
    let limits = http::Limits {
        body_bytes: limits.body_bytes,
        // The whole body must arrive within the time for which a connection may be idle.
        body_ms: limits.idle_ms.min(left_ms),
        ..http::Limits::default()
    };
    let share = shared.body_budget.share_for(Use::Upload);
    let read = http::read_body_within(body, limits, share).await;
    read.map_err(|error| match error {
        BodyError::TooLarge => (Cause::TooLarge, None),
        BodyError::TooSlow => (Cause::SlowBody, None),
        BodyError::Broken => (Cause::BadBody, None),
        BodyError::Overloaded => (Cause::Busy, Some(BUSY_RETRY_AFTER_MS)),
    })
}

/// A response with a whole body. Its connection is closed if the memory is needed for others before the caller has
/// read it.
pub(super) fn held_response(held: Held) -> Response<Body> {
    let eviction = held.eviction();
    let into_io_error = |never: Infallible| match never {};
    let mut response = Response::new(held.map_err(into_io_error).boxed());
    response.extensions_mut().insert(eviction);
    response
}
