//! Handles one request from its arrival to its answer.
//!
//! The steps are: arrival, claim of the idempotency key if there is one, dispatch, answer or
//! stream, end. The decision thread decides on dispatches, retries and refusals; this module
//! carries them out.

mod attempt;
mod guard;
mod keyed;
mod relay;

use crate::answer::CompleteAnswer;
use crate::broker::Broker;
use crate::clock::Clock;
use crate::control::Control;
use crate::decision::{Arrival, AttemptResult, Dispatch, Failure, Verdict};
use crate::dispatch::Pool;
use crate::objectives::Reporter;
use crate::refusal::{Code, Refusal};
use attempt::{AttemptAnswer, attempt};
use bytes::Bytes;
use guard::Guard;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Response};
use lovageplank_core::prelude::*;
use lovageplank_process::http::{self, Body};
use relay::Relay;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::task::TaskTracker;

/// State that all calls share.
pub struct Context {
    /// Handle to the decision thread.
    pub broker: Broker,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// The control group.
    pub control: Arc<dyn Control>,
    /// The process's clock.
    pub clock: Clock,
    /// Name of this instance.
    pub instance: Name,
    /// Start time of the process in Unix milliseconds; grows with each start.
    pub incarnation: u64,
    /// Tasks that a graceful stop waits for.
    pub tasks: TaskTracker,
    /// Takes a report of how each request ended.
    pub reporter: Reporter,
}

/// A request that was read and parsed.
pub struct Call {
    /// Id that is unique across all routers and restarts.
    pub request_id: Name,
    /// What the decision thread needs to decide on the request.
    pub arrival: Arrival,
    /// HTTP method.
    pub method: Method,
    /// Path and query for the backend server.
    pub path: String,
    /// Headers to relay to the backend server.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether an engine serves it; otherwise a plain service does.
    pub engine: bool,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// Scope of the key: the caller's name if it gave one, else empty. Never the caller's address,
    /// which may change between a request and its resend.
    pub key_scope: Name,
    /// Accounts for the body's memory as long as the call exists.
    pub memory: OwnedSemaphorePermit,
}

/// Answers a request.
///
/// A request with an idempotency key continues after its caller disconnects, so that its outcome is
/// recorded for a resend.
pub async fn run(context: Arc<Context>, call: Call) -> Response<Body> {
    if call.key.is_none() {
        return ActiveCall::new(context, call).serve().await;
    }
    let request_id = call.request_id.clone();
    let tasks = context.tasks.clone();
    let task = tasks.spawn(async move { ActiveCall::new(context, call).serve().await });
    task.await.unwrap_or_else(|_| {
        let refusal = Refusal::new(Code::OutcomeUnknown, "the request's task failed");
        refusal_response(&refusal, &request_id)
    })
}

/// The response that carries a refusal.
pub fn refusal_response(refusal: &Refusal, request_id: &str) -> Response<Body> {
    let mut response = http::json(refusal.code.status(), &refusal.body(request_id));
    let headers = response.headers_mut();
    set_header(headers, "x-lovageplank-request-id", request_id);
    if let Some(ms) = refusal.retry_after_ms {
        let seconds = ms.div_ceil(1_000).max(1);
        set_header(headers, "retry-after", &seconds.to_string());
    }
    response
}

/// Sets a header, unless HTTP doesn't allow the value.
fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A call in progress.
struct ActiveCall {
    context: Arc<Context>,
    call: Arc<Call>,
    guard: Guard,
    /// Milliseconds that the request waited before its first attempt.
    waited_ms: u64,
    /// Index of the call's claim, once its idempotency key is claimed.
    claim: Option<u64>,
}

impl ActiveCall {
    fn new(context: Arc<Context>, call: Call) -> ActiveCall {
        let call = Arc::new(call);
        ActiveCall {
            guard: Guard::new(context.clone(), call.clone()),
            context,
            call,
            waited_ms: 0,
            claim: None,
        }
    }

    async fn serve(mut self) -> Response<Body> {
        let mut verdict = self.context.broker.submit(self.call.arrival.clone()).await;
        loop {
            let dispatch = match verdict {
                Verdict::Refuse(refusal) => return self.refused(&refusal),
                Verdict::Dispatch(dispatch) => dispatch,
            };
            if dispatch.attempt == 1 {
                self.waited_ms = dispatch.waited_ms;
                #[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
                metrics::histogram!("lovageplank_wait_ms").record(self.waited_ms as f64);
            }
            if let Some(response) = self.claim_key(&dispatch).await {
                return response;
            }
            self.guard.attempt_started(&dispatch);
            match attempt(&self.context, &self.call, &dispatch, 0).await {
                Ok(AttemptAnswer::Complete(answer, first_byte_ms)) => {
                    return self.answered(answer, &dispatch, first_byte_ms);
                }
                Ok(AttemptAnswer::Stream(source)) => return self.stream(dispatch, source),
                Err(failure) => verdict = self.failed(&dispatch, failure).await,
            }
        }
    }

    async fn failed(&mut self, dispatch: &Dispatch, failure: Failure) -> Verdict {
        tracing::debug!(
            event = "attempt_failed",
            request_id = %self.call.request_id,
            attempt = dispatch.attempt,
            code = failure.code.name(),
            reason = %failure.message,
        );
        let code = failure.code.name();
        metrics::counter!("lovageplank_attempts_failed_total", "code" => code).increment(1);
        let result = AttemptResult::Failed(failure);
        let id = self.call.arrival.id;
        self.context
            .broker
            .failed(id, dispatch.attempt, result)
            .await
    }

    fn refused(mut self, refusal: &Refusal) -> Response<Body> {
        self.complete_refused(refusal);
        self.guard.finish_refused(refusal);
        let mut response = refusal_response(refusal, &self.call.request_id);
        self.add_headers(response.headers_mut());
        response
    }

    fn answered(
        mut self,
        answer: CompleteAnswer,
        dispatch: &Dispatch,
        first_byte_ms: u64,
    ) -> Response<Body> {
        let id = self.call.arrival.id;
        self.context
            .broker
            .answered(id, dispatch.attempt, first_byte_ms);
        self.complete_answered(&answer);
        self.guard.finish("answered");
        let mut response = Response::new(http::full(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        self.add_headers(response.headers_mut());
        response
    }

    fn stream(self, dispatch: Dispatch, source: attempt::StreamSource) -> Response<Body> {
        let headers = source.headers.clone();
        let mut own = HeaderMap::new();
        self.add_headers(&mut own);
        self.complete_stream();
        let body = Relay::start(&self.context, self.call, self.guard, dispatch, source);
        let mut response = Response::new(body);
        *response.headers_mut() = headers;
        response.headers_mut().extend(own);
        response
    }

    fn add_headers(&self, headers: &mut HeaderMap) {
        set_header(headers, "x-lovageplank-request-id", &self.call.request_id);
        let attempts = self.guard.attempts().to_string();
        set_header(headers, "x-lovageplank-attempts", &attempts);
        set_header(
            headers,
            "x-lovageplank-cold-ms",
            &self.waited_ms.to_string(),
        );
    }
}
