//! Answers that the entry process gives itself.

use super::listener::{Body, full_body};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// Why a request gets no server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// No document is known yet.
    NoDocument,
    /// No route matches.
    NoRoute,
    /// The body is larger than allowed.
    TooLarge,
    /// The body didn't come whole.
    BadBody,
    /// The body didn't come in time.
    SlowBody,
    /// No server is known.
    NoServer,
    /// All servers have as much as they can do soon.
    Full,
    /// The model can't be loaded in time.
    Cold,
    /// The servers refused it, and it may not be sent again.
    Rejected,
    /// Time ran out before it was sent.
    TooLate,
    /// A server got it, and it isn't known whether it ran.
    Unknown,
    /// The process stops before the model is there; another instance can wait for it.
    Stopping,
}

impl Cause {
    /// Name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Cause::NoDocument => "no_document",
            Cause::NoRoute => "no_route",
            Cause::TooLarge => "too_large",
            Cause::BadBody => "bad_body",
            Cause::SlowBody => "slow_body",
            Cause::NoServer => "no_server",
            Cause::Full => "full",
            Cause::Cold => "cold",
            Cause::Rejected => "rejected",
            Cause::TooLate => "too_late",
            Cause::Unknown => "unknown",
            Cause::Stopping => "stopping",
        }
    }

    /// The status. 503 promises that the request has not run and never will.
    fn status(self) -> StatusCode {
        match self {
            Cause::NoRoute => StatusCode::NOT_FOUND,
            Cause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::BadBody => StatusCode::BAD_REQUEST,
            Cause::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Cause::NoDocument
            | Cause::NoServer
            | Cause::Full
            | Cause::Cold
            | Cause::Rejected
            | Cause::TooLate
            | Cause::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Cause::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// The answer; `again_ms` is when it is worth coming back, if it has not run.
    pub(super) fn response(self, retry_after_ms: Option<u64>) -> Response<Body> {
        metrics::counter!("lovageplank_entry_refused_total", "cause" => self.name()).increment(1);
        let mut response = Response::new(full_body(self.name()));
        *response.status_mut() = self.status();
        if let Some(retry_after_ms) = retry_after_ms
            && self.status() == StatusCode::SERVICE_UNAVAILABLE
        {
            let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
        }
        response
    }
}
