//! Refusals that callers get.
//!
//! The body is `{"error":{"code","message","not_run","request_id","retry_after_ms"?}}`. The flag
//! `not_run` is set only with proof that the request did not run.

use hyper::StatusCode;
use lovageplank_core::prelude::*;
use serde_json::{Value, json};

record! { copy =>
    /// Why a request was refused or failed.
    #[serde(rename_all = "snake_case")]
    pub enum Code {
        /// The request is invalid.
        Malformed,
        /// The operator's token is missing or wrong.
        Unauthorized,
        /// The settings don't allow this caller to use the service.
        Forbidden,
        /// The settings have no such model.
        UnknownModel,
        /// The settings have no such service.
        UnknownService,
        /// There is no such path.
        UnknownPath,
        /// Another request with this idempotency key is in progress.
        ClaimInProgress,
        /// The idempotency key was used for another request.
        KeyReused,
        /// The body is too large.
        TooLarge,
        /// The request arrived too slowly.
        TooSlow,
        /// The caller sends too many requests.
        RateLimit,
        /// Too many requests of the service are in progress.
        ConcurrencyLimit,
        /// The pending queue is full.
        QueueFull,
        /// The request can't be answered before its deadline.
        Late,
        /// The model can't be loaded, no server of the service is ready, or a server refused the
        /// request before running it.
        NoCapacity,
        /// The router's lease has expired, so that its view may be outdated.
        LeaseLapsed,
        /// The router has too many inputs waiting or too many bodies in memory.
        Overloaded,
        /// The control group, which this request needs, can't be reached or has no capacity.
        ControlUnavailable,
        /// No byte of the request could be sent to a backend server.
        BackendUnreachable,
        /// The backend server's answer is an error, incomplete or belongs to another request.
        BackendBroke,
        /// The request may have run, and its answer is lost.
        OutcomeUnknown,
    }
}

impl Code {
    /// HTTP status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Code::Malformed => StatusCode::BAD_REQUEST,
            Code::Unauthorized => StatusCode::UNAUTHORIZED,
            Code::Forbidden => StatusCode::FORBIDDEN,
            Code::UnknownModel | Code::UnknownService | Code::UnknownPath => StatusCode::NOT_FOUND,
            Code::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Code::ClaimInProgress => StatusCode::CONFLICT,
            Code::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Code::RateLimit | Code::ConcurrencyLimit => StatusCode::TOO_MANY_REQUESTS,
            Code::QueueFull
            | Code::Late
            | Code::NoCapacity
            | Code::LeaseLapsed
            | Code::Overloaded
            | Code::ControlUnavailable
            | Code::BackendUnreachable => StatusCode::SERVICE_UNAVAILABLE,
            Code::BackendBroke => StatusCode::BAD_GATEWAY,
            Code::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name of the code in bodies and logs.
    pub fn name(self) -> &'static str {
        match self {
            Code::Malformed => "malformed",
            Code::Unauthorized => "unauthorized",
            Code::Forbidden => "forbidden",
            Code::UnknownModel => "unknown_model",
            Code::UnknownService => "unknown_service",
            Code::UnknownPath => "unknown_path",
            Code::ClaimInProgress => "claim_in_progress",
            Code::KeyReused => "key_reused",
            Code::TooLarge => "too_large",
            Code::TooSlow => "too_slow",
            Code::RateLimit => "rate_limit",
            Code::ConcurrencyLimit => "concurrency_limit",
            Code::QueueFull => "queue_full",
            Code::Late => "late",
            Code::NoCapacity => "no_capacity",
            Code::LeaseLapsed => "lease_lapsed",
            Code::Overloaded => "overloaded",
            Code::ControlUnavailable => "control_unavailable",
            Code::BackendUnreachable => "backend_unreachable",
            Code::BackendBroke => "backend_broke",
            Code::OutcomeUnknown => "outcome_unknown",
        }
    }

    /// Whether this code is only given with proof that the request did not run.
    pub fn not_run(self) -> bool {
        !matches!(
            self,
            Code::BackendBroke | Code::OutcomeUnknown | Code::ClaimInProgress
        )
    }
}

/// The answer to a request that was refused or failed.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// What happened, and what the caller can do.
    pub message: String,
    /// Milliseconds after which the caller should retry.
    pub retry_after_ms: Option<u64>,
    /// Other instances that the caller can use, as `ip:port`, best first.
    pub entries: Vec<Name>,
}

impl Refusal {
    /// Creates a refusal without advice on when or where to retry.
    pub fn new(code: Code, message: impl Into<String>) -> Refusal {
        Refusal {
            code,
            message: message.into(),
            retry_after_ms: None,
            entries: Vec::new(),
        }
    }

    /// Sets the milliseconds after which the caller should retry.
    #[must_use]
    pub fn retry_after_ms(mut self, ms: u64) -> Refusal {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Sets the other instances that the caller can use.
    #[must_use]
    pub fn entries(mut self, entries: Vec<Name>) -> Refusal {
        self.entries = entries;
        self
    }

    /// The JSON body.
    pub fn body(&self, request_id: &str) -> Value {
        let mut error = json!({
            "code": self.code.name(),
            "message": self.message,
            "not_run": self.code.not_run(),
            "request_id": request_id,
        });
        if let Some(ms) = self.retry_after_ms {
            error["retry_after_ms"] = json!(ms);
        }
        if !self.entries.is_empty() {
            error["entries"] = json!(self.entries);
        }
        json!({"error": error})
    }
}
