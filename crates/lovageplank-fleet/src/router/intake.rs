//! Reads the bodies of callers' requests, and holds the bodies of responses, within the budget of the process.

use super::Shared;
use super::refusal::{Cause, Refusal};
use bytes::Bytes;
use hyper::body::Incoming;
use lovageplank_core::fleet::deployment::Limits;
use lovageplank_process::body::Use;
use lovageplank_process::http::{self, BodyError};

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
