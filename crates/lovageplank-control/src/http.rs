//! The control process's HTTP listener: operators, announcements, liveness and metrics.

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

/// Milliseconds after which a call without an answer has an unknown outcome.
const CALL_MS: u64 = 5_000;

/// A call and where its answer goes.
#[derive(Debug)]
pub struct Submission {
    /// The call.
    pub call: Call,
    /// Takes the answer.
    pub answer: oneshot::Sender<Answer>,
}

/// What the handlers need.
#[derive(Clone, Debug)]
pub struct Edge {
    /// Token of operators.
    pub operator_key: Arc<str>,
    /// The controller's ring.
    pub calls: Sender<Submission>,
    /// Bounds of requests.
    pub limits: Limits,
}

impl Edge {
    /// Answers one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/healthz" | "/readyz") => http::text(StatusCode::OK, "ok\n".into()),
            (&Method::GET, "/metrics") => http::text(StatusCode::OK, prometheus::render()),
            (&Method::POST, "/v1/announce") => self.typed(body, Call::Announce).await,
            (&Method::POST, "/v1/report") => self.typed(body, Call::Report).await,
            (&Method::POST, operator::PATH) => {
                if !operator::authorized(&head.headers, &self.operator_key) {
                    return operator::forbidden();
                }
                self.operate(body).await
            }
            (_, path) => {
                let message = format!("{} {path} is not served here", head.method);
                operator::refuse(&Refusal::new(RefusalCode::NotFound, message))
            }
        }
    }

    async fn operate(self, body: Incoming) -> Response<Body> {
        let bytes = match http::read_body(body, self.limits).await {
            Ok(bytes) => bytes,
            Err(error) => return http::text(error.status(), error.message().into()),
        };
        match operator::parse(&bytes) {
            Ok(call) => self.submit(Call::Operator(call)).await,
            Err(refusal) => operator::refuse(&refusal),
        }
    }

    async fn typed<T: DeserializeOwned>(
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
        let (answer, wait) = oneshot::channel();
        if self.calls.try_send(Submission { call, answer }).is_err() {
            let refusal = Refusal::new(RefusalCode::Overloaded, "too many calls wait; try again");
            return operator::refuse(&refusal);
        }
        match tokio::time::timeout(Duration::from_millis(CALL_MS), wait).await {
            Ok(Ok(answer)) => operator::respond(&answer),
            _ => operator::refuse(&Refusal::new(
                RefusalCode::Unknown,
                "no answer in time; ask again",
            )),
        }
    }
}
