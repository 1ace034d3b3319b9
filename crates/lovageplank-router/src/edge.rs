//! The HTTP listener for callers, backend servers and operators.
//!
//! It uses `hyper` because `rouille` buffers streamed bodies until they end, sets no read timeouts,
//! uses a thread for each connection and doesn't notice that a caller disconnects. Each body is
//! read within a deadline and a size limit, and all bodies in the process have a common memory
//! limit, so that many slow or large senders can't exhaust the memory.

mod body;
mod completion;
mod head;

use crate::broker::Input;
use crate::call::{self, Call, Context};
use crate::control::Call as ControlCall;
use crate::decision::{Arrival, Target};
use crate::refusal::{Code, Refusal};
use body::BodyReader;
use bytes::Bytes;
use head::Head;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lovageplank_core::backend::{Announcement, ServerReport, State};
use lovageplank_core::prelude::*;
use lovageplank_process::http::{self, Body};
use lovageplank_process::{operator, prometheus};
use lovageplank_wire::Answer;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::OwnedSemaphorePermit;

/// Milliseconds for which callers may cache an answer of `/v1/entries`.
pub const ENTRIES_TTL_MS: u64 = 2_000;
/// Largest body in bytes of an announcement, a load report or an operator's call.
const CONTROL_BODY_MAX_BYTES: u64 = 4 << 20;
/// Prefix of the paths of plain services; the service's name follows.
const SERVICE_PATH: &str = "/svc/";

/// Handlers of the listener's requests and the state that they share.
pub struct Edge {
    /// State that all calls share.
    pub context: Arc<Context>,
    /// Prefix of all request ids, which makes them unique across routers and restarts.
    pub prefix: Name,
    /// The operators' token.
    pub operator_key: Name,
    next: AtomicU64,
    body_reader: BodyReader,
}

impl Edge {
    /// Creates the handlers' state.
    pub fn new(context: Arc<Context>, prefix: Name, operator_key: Name) -> Edge {
        Edge {
            context,
            prefix,
            operator_key,
            next: AtomicU64::new(1),
            body_reader: BodyReader::default(),
        }
    }

    /// Answers one request.
    pub async fn handle(
        self: Arc<Edge>,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let received = self.context.clock.now();
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let request_id: Name = format!("{}-{id}", self.prefix).into();
        let (parts, body) = request.into_parts();
        let head = Head {
            id,
            request_id: request_id.clone(),
            received,
            peer,
            parts,
        };
        match self.route(head, body).await {
            Ok(response) => response,
            Err(refusal) => {
                tracing::info!(
                    event = "request",
                    request_id = %request_id,
                    attempts = 0,
                    outcome = refusal.code.name(),
                    ms = self.context.clock.now().saturating_sub(received),
                );
                call::refusal_response(&refusal, &request_id)
            }
        }
    }

    async fn route(&self, head: Head, body: Incoming) -> Result<Response<Body>, Refusal> {
        let path = head.parts.uri.path().to_owned();
        match (head.parts.method.clone(), path.as_str()) {
            (Method::GET, "/healthz") => Ok(http::text(StatusCode::OK, "ok\n".into())),
            (Method::GET, "/readyz") => Ok(self.readiness().await),
            (Method::GET, "/metrics") => Ok(http::text(StatusCode::OK, prometheus::render())),
            (Method::GET, "/v1/entries") => self.entries(&head).await,
            (Method::GET, "/v1/models") => Ok(self.models().await),
            (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.completion(head, body).await
            }
            (Method::POST, "/v1/announce") => self.announce(body).await,
            (Method::POST, "/v1/report") => self.report(body).await,
            (Method::POST, operator::PATH) => self.operator_call(&head, body).await,
            (_, path) if path.starts_with(SERVICE_PATH) => self.service(head, body).await,
            (method, path) => {
                let message = format!("{method} {path} is not served here");
                Err(Refusal::new(Code::UnknownPath, message))
            }
        }
    }

    async fn readiness(&self) -> Response<Body> {
        let status = self.context.broker.status().await.unwrap_or_default();
        let code = if status.ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let body = json!({"ready": status.ready, "version": status.version});
        http::json(code, &body)
    }

    async fn entries(&self, head: &Head) -> Result<Response<Body>, Refusal> {
        let query = head.entries_query()?;
        let broker = &self.context.broker;
        let (entries, version) = broker.entries(query.key, query.domain).await;
        let entries: Vec<_> = entries
            .iter()
            .map(|i| json!({"address": i.address, "failure_domain": i.failure_domain}))
            .collect();
        let body = json!({"entries": entries, "ttl_ms": ENTRIES_TTL_MS, "version": version});
        Ok(http::json(StatusCode::OK, &body))
    }

    async fn models(&self) -> Response<Body> {
        let models = self.context.broker.models().await;
        let data: Vec<_> = models
            .iter()
            .map(
                |m| json!({"id": m.id, "object": "model", "owned_by": m.service, "state": m.state}),
            )
            .collect();
        http::json(StatusCode::OK, &json!({"object": "list", "data": data}))
    }

    async fn completion(&self, head: Head, body: Incoming) -> Result<Response<Body>, Refusal> {
        let own_headers = head.own_headers()?;
        let (body, memory) = self.read_caller_body(&head, body).await?;
        let completion = completion::parse(head.parts.uri.path(), &body)?;
        let caller = own_headers.caller.or(completion.user);
        let arrival = Arrival {
            id: head.id,
            target: Target::Model {
                model: completion.model,
                adapter: completion.adapter,
                version: completion.version,
                service: own_headers.service,
            },
            caller: caller.clone().unwrap_or_else(|| head.peer_name()),
            priority: own_headers.priority,
            deadline_ms: own_headers.deadline_ms,
            bytes: body.len() as u64,
            prefix: completion.prefix,
            received: head.received,
        };
        let call = Call {
            path: head.path_and_query(),
            engine: true,
            stream: completion.stream,
            key: own_headers.key,
            key_scope: caller.unwrap_or_default(),
            memory,
            body,
            arrival,
            request_id: head.request_id.clone(),
            method: head.parts.method.clone(),
            headers: head.relayed_headers(),
        };
        Ok(call::run(self.context.clone(), call).await)
    }

    async fn service(&self, head: Head, body: Incoming) -> Result<Response<Body>, Refusal> {
        let own_headers = head.own_headers()?;
        let path_and_query = head.path_and_query();
        let rest = &path_and_query[SERVICE_PATH.len()..];
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service: Name = service.split('?').next().unwrap_or_default().into();
        let path = format!("/{path}");
        let (body, memory) = self.read_caller_body(&head, body).await?;
        let arrival = Arrival {
            id: head.id,
            target: Target::Service(service),
            caller: own_headers
                .caller
                .clone()
                .unwrap_or_else(|| head.peer_name()),
            priority: own_headers.priority,
            deadline_ms: own_headers.deadline_ms,
            bytes: body.len() as u64,
            prefix: 0,
            received: head.received,
        };
        let call = Call {
            path,
            engine: false,
            stream: false,
            key: own_headers.key,
            key_scope: own_headers.caller.unwrap_or_default(),
            memory,
            body,
            arrival,
            request_id: head.request_id.clone(),
            method: head.parts.method.clone(),
            headers: head.relayed_headers(),
        };
        Ok(call::run(self.context.clone(), call).await)
    }

    /// Reads a caller's body within the largest limit that the settings allow to any service.
    async fn read_caller_body(
        &self,
        head: &Head,
        body: Incoming,
    ) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
        let limit = self.context.broker.status().await?.body_limit;
        let until = self
            .context
            .clock
            .at(head.received + body::BODY_READ_TIMEOUT_MS);
        self.body_reader.read(body, limit, until).await
    }

    async fn read_json<T: DeserializeOwned>(&self, body: Incoming) -> Result<T, Refusal> {
        let until = self
            .context
            .clock
            .at(self.context.clock.now() + body::BODY_READ_TIMEOUT_MS);
        let (bytes, _memory) = self
            .body_reader
            .read(body, CONTROL_BODY_MAX_BYTES, until)
            .await?;
        serde_json::from_slice(&bytes).map_err(|error| {
            let message = format!("the body does not have the right shape: {error}");
            Refusal::new(Code::Malformed, message)
        })
    }

    async fn announce(&self, body: Incoming) -> Result<Response<Body>, Refusal> {
        let announcement: Announcement = self.read_json(body).await?;
        if announcement.state == State::Leaving {
            self.context.broker.notify(Input::ServerLeaving {
                server: announcement.id.clone(),
                incarnation: announcement.incarnation,
            });
        }
        let call = ControlCall::Announce(announcement);
        Ok(match self.context.control.call(call).await {
            Answer::Grant(grant) => http::json(StatusCode::OK, &json!(grant)),
            other => operator::respond(&other),
        })
    }

    async fn report(&self, body: Incoming) -> Result<Response<Body>, Refusal> {
        let report: ServerReport = self.read_json(body).await?;
        self.context.broker.notify(Input::Report(report.clone()));
        let answer = self.context.control.call(ControlCall::Report(report)).await;
        Ok(operator::respond(&answer))
    }

    async fn operator_call(&self, head: &Head, body: Incoming) -> Result<Response<Body>, Refusal> {
        if !operator::authorized(&head.parts.headers, &self.operator_key) {
            return Ok(operator::forbidden());
        }
        let until = self
            .context
            .clock
            .at(head.received + body::BODY_READ_TIMEOUT_MS);
        let (bytes, _memory) = self
            .body_reader
            .read(body, CONTROL_BODY_MAX_BYTES, until)
            .await?;
        let answer = match operator::parse(&bytes) {
            Ok(call) => self.context.control.call(ControlCall::Operator(call)).await,
            Err(refusal) => return Ok(operator::refuse(&refusal)),
        };
        Ok(operator::respond(&answer))
    }
}
