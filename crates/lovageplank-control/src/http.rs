//! HTTP requests to the control process: operators' calls, announcements and load reports of
//! backend servers, liveness checks, and metrics.

use flume::Sender;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lovageplank_core::prelude::*;
use lovageplank_process::http::{self, Body, Limits};
use lovageplank_process::{operator, prometheus};
use lovageplank_wire::call::{Call, RefusalCode};
use lovageplank_wire::{Answer, Refusal};
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::sync::oneshot;

/// Milliseconds that a call may wait for its answer. Beyond it, the response is [`Code::Unknown`]:
/// the call may still be executed.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// A call with the channel for its answer.
#[derive(Debug)]
pub struct Submission {
    /// The call.
    pub call: Call,
    /// Channel for the answer.
    pub answer_sender: oneshot::Sender<Answer>,
}

/// Handles HTTP requests by sending calls to the controller.
#[derive(Clone, Debug)]
pub struct CallHandler {
    /// Bearer token that operators' calls must carry.
    pub operator_key: Arc<str>,
    /// Calls to the controller.
    pub calls: Sender<Submission>,
    /// Limits on requests, such as the size of a body.
    pub limits: Limits,
}

impl CallHandler {
    /// Handles one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/healthz" | "/readyz") => http::text(StatusCode::OK, "ok\n".into()),
            (&Method::GET, "/metrics") => http::text(StatusCode::OK, prometheus::render()),
            (&Method::POST, "/v1/announce") => self.submit_json(body, Call::Announce).await,
            (&Method::POST, "/v1/report") => self.submit_json(body, Call::Report).await,
            (&Method::POST, operator::PATH) => {
                if !operator::authorized(&head.headers, &self.operator_key) {
                    return operator::forbidden();
                }
                self.submit_operator_call(body).await
            }
            (_, path) => {
                let message = format!("{} {path} is not served here", head.method);
                operator::refuse(&Refusal::new(RefusalCode::NotFound, message))
            }
        }
    }

    async fn submit_operator_call(self, body: Incoming) -> Response<Body> {
        let bytes = match http::read_body(body, self.limits).await {
            Ok(bytes) => bytes,
            Err(error) => return http::text(error.status(), error.message().into()),
        };
        match operator::parse(&bytes) {
            Ok(call) => self.submit(Call::Operator(call)).await,
            Err(refusal) => operator::refuse(&refusal),
        }
    }

    async fn submit_json<T: DeserializeOwned>(
        self,
        body: Incoming,
        wrap: impl FnOnce(T) -> Call,
    ) -> Response<Body> {
        let bytes = match http::read_body(body, self.limits).await {
            Ok(bytes) => bytes,
            Err(error) => return http::text(error.status(), error.message().into()),
        };
        match serde_json::from_slice(&bytes) {
            Ok(value) => self.submit(wrap(value)).await,
            Err(error) => {
                let message = format!("the body does not have the right shape: {error}");
                operator::refuse(&Refusal::new(RefusalCode::Invalid, message))
            }
        }
    }

    async fn submit(self, call: Call) -> Response<Body> {
        let (answer_sender, answer_receiver) = oneshot::channel();
        if self
            .calls
            .try_send(Submission {
                call,
                answer_sender,
            })
            .is_err()
        {
            let refusal = Refusal::new(RefusalCode::Overloaded, "too many calls wait; try again");
            return operator::refuse(&refusal);
        }
        match tokio::time::timeout(Duration::from_millis(CALL_TIMEOUT_MS), answer_receiver).await {
            Ok(Ok(answer)) => operator::respond(&answer),
            _ => operator::refuse(&Refusal::new(
                RefusalCode::Unknown,
                "no answer in time; ask again",
            )),
        }
    }
}
