//! Ensures that every call ends in the log, in the decision thread and at the engine.

use super::{Call, Context};
use crate::answer::REQUEST_ID;
use crate::broker::Input;
use crate::decision::Dispatch;
use crate::dispatch::{self, Route};
use crate::events::Kind;
use crate::objectives::FinishedRequest;
use crate::refusal::{Code, Refusal};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use lovageplank_core::prelude::*;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::Instant;

/// Timeout in milliseconds for sending a cancellation to an engine.
const CANCEL_TIMEOUT_MS: u64 = 2_000;

/// Tracks a call to its end. If it is dropped before, because the caller disconnected, it cancels
/// the request in the decision thread and at the engine.
pub(super) struct Guard {
    context: Arc<Context>,
    call: Arc<Call>,
    /// Name and address of the server of the last attempt.
    server: Option<(Name, Name)>,
    attempts: u32,
    /// Milliseconds that the request waited for a load of its model, if it did.
    cold_ms: Option<u64>,
    /// Milliseconds from the request's arrival to the first event that its caller got.
    first_token_ms: Option<u64>,
    finished: bool,
}

impl Guard {
    pub(super) fn new(context: Arc<Context>, call: Arc<Call>) -> Guard {
        Guard {
            context,
            call,
            server: None,
            attempts: 0,
            cold_ms: None,
            first_token_ms: None,
            finished: false,
        }
    }

    /// Records the start of an attempt.
    pub(super) fn attempt_started(&mut self, dispatch: &Dispatch) {
        self.server = Some((dispatch.server.clone(), dispatch.address.clone()));
        self.attempts = dispatch.attempt;
        if dispatch.attempt == 1 && dispatch.cold {
            self.cold_ms = Some(dispatch.waited_ms);
        }
    }

    /// Records that an event of a stream was relayed to the caller.
    pub(super) fn event_relayed(&mut self, kind: Kind) {
        if kind == Kind::Data && self.first_token_ms.is_none() {
            self.first_token_ms = Some(self.elapsed_ms());
        }
    }

    pub(super) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Records the final outcome.
    pub(super) fn finish(&mut self, outcome: &'static str) {
        self.finished = true;
        self.log(outcome);
    }

    /// Records that the caller gets a refusal. If the request may still run, it is cancelled.
    pub(super) fn finish_refused(&mut self, refusal: &Refusal) {
        self.finish(refusal.code.name());
        if matches!(refusal.code, Code::OutcomeUnknown | Code::BackendBroke) {
            self.cancel();
        }
    }

    /// Ends the request before its first attempt, with a known outcome.
    pub(super) fn abandon(&mut self, outcome: &'static str) {
        self.finish(outcome);
        self.context
            .broker
            .notify(Input::Cancel(self.call.arrival.id));
    }

    fn elapsed_ms(&self) -> u64 {
        let now = self.context.clock.now();
        now.saturating_sub(self.call.arrival.received)
    }

    fn log(&self, outcome: &'static str) {
        let arrival = &self.call.arrival;
        let ms = self.elapsed_ms();
        self.context.reporter.report(FinishedRequest {
            target: arrival.target.clone(),
            deadline_ms: arrival.deadline_ms,
            outcome,
            ms,
            cold_ms: self.cold_ms,
            first_token_ms: self.first_token_ms,
        });
        tracing::info!(
            event = "request",
            request_id = %self.call.request_id,
            target = %arrival.target.name(),
            attempts = self.attempts,
            outcome,
            ms,
        );
        metrics::counter!("lovageplank_requests_total", "outcome" => outcome).increment(1);
        #[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
        metrics::histogram!("lovageplank_request_ms", "outcome" => outcome).record(ms as f64);
    }

    /// Sends a cancellation to the engine of the last attempt.
    fn cancel(&self) {
        let Some((server, address)) = self.server.clone() else {
            return;
        };
        // A router that stops at once has no runtime to send from. Its connections are closed
        // instead.
        if !self.call.engine || Handle::try_current().is_err() {
            return;
        }
        let context = self.context.clone();
        let request_id = self.call.request_id.clone();
        self.context
            .tasks
            .spawn(async move { send_cancel(&context, server, address, &request_id).await });
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        self.context
            .broker
            .notify(Input::Cancel(self.call.arrival.id));
        self.log("caller_gone");
        self.cancel();
    }
}

async fn send_cancel(context: &Context, server: Name, address: Name, request_id: &Name) {
    let request = Request::post(format!("/cancel/{request_id}"))
        .header("host", &*address)
        .header(REQUEST_ID, &**request_id)
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return };
    let route = Route {
        server,
        address,
        idle_ms: 0,
        connect_ms: dispatch::CONNECT_TIMEOUT_MS,
        until: Instant::now() + Duration::from_millis(CANCEL_TIMEOUT_MS),
    };
    let cancelled = dispatch::send(&context.pool, &route, request).await;
    if let Err(failure) = cancelled {
        tracing::debug!(event = "cancel_failed", request_id = %request_id, reason = %failure.message);
    }
}
