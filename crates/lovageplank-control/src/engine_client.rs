//! Sends commands to engines and polls them for reports, on a thread of its own.
//!
//! The controller requests a send only after the command's record is committed. Each send opens a
//! connection, reads the engine's state on it, and sends the command on the same connection only if
//! the engine has the incarnation in the record. The command therefore can't reach a later process
//! of the engine. Since the engine may answer `GET /state` twice, an answer counts as that to the
//! command only if it repeats the ids that were sent with the command. The client is `hyper`
//! because `attohttpc` can't send two requests on one connection.

use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use flume::{Receiver, Sender};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use lovageplank_core::backend::Announcement;
use lovageplank_core::ledger::Outcome;
use lovageplank_core::prelude::*;
use lovageplank_process::body::{self, Budget};
use serde::Serialize;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of concurrent requests to engines; further ones wait in the queue.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Maximum number of queued requests. Beyond it, the controller repeats the request later.
const QUEUE_CAPACITY: usize = 1_024;

/// Milliseconds to connect to an engine. Beyond it, a command counts as not sent and a poll fails.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Milliseconds to send one HTTP request to an engine and read the response. Beyond it, a poll
/// fails; a command is not sent if the request was `GET /state`, and has an unknown outcome
/// otherwise.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;

/// Maximum size of an engine's response body in bytes. Beyond it, the request fails as described at
/// [`RESPONSE_TIMEOUT_MS`].
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Bytes of responses that may be read at once, besides [`SMALL_RESPONSE_BYTES`] of each. Beyond it, the request fails
/// as described at [`RESPONSE_TIMEOUT_MS`].
const RESPONSE_BUDGET_BYTES: usize = 24 << 20;

/// Bytes of a response that may be read in any case.
const SMALL_RESPONSE_BYTES: usize = 64 << 10;

/// Error codes by which a response with a status of 500 or above proves that the engine did not
/// execute the command.
const REFUSAL_CODES: [&str; 2] = ["out_of_memory", "leaving"];

/// Header with the id of a command.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-lovageplank-request-id");

/// Header with the number of the send.
const ATTEMPT: HeaderName = HeaderName::from_static("x-lovageplank-attempt");

/// A request to the engine client.
#[derive(Clone, Debug)]
pub enum EngineRequest {
    /// Sends a command.
    Send(CommandSend),
    /// Polls an engine for a report.
    Poll {
        /// The engine.
        engine: Name,
        /// `ip:port` of the engine.
        address: Name,
        /// Last applied log index when the poll is requested; returned with the report.
        basis: u64,
    },
}

/// One send of a command.
#[derive(Clone, Debug)]
pub struct CommandSend {
    /// Number of the send, from 1.
    pub send_number: u32,
    /// The engine.
    pub engine: Name,
    /// Incarnation in the command's record; the command must not reach another one.
    pub incarnation: u64,
    /// `ip:port` of the engine.
    pub address: Name,
    /// The request body.
    pub body: Body,
}

/// The body of `POST /commands`.
#[derive(Clone, Debug, Serialize)]
pub struct Body {
    /// Unique id; an engine executes a command with this id once. Must be visible ASCII.
    pub command_id: String,
    /// Fencing token; increases with every command record.
    pub fencing_token: u64,
    /// The operation.
    pub op: Op,
    /// The model.
    pub model: Name,
    /// Its version.
    pub version: Name,
    /// The adapter, for operations on an adapter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Name>,
    /// Memory that the engine is to reserve, in megabytes.
    pub memory_mb: u64,
}

/// Operation of a command.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Load a replica.
    Load,
    /// Unload a replica.
    Unload,
    /// Load an adapter on a replica.
    LoadAdapter,
    /// Unload an adapter from a replica.
    UnloadAdapter,
}

/// The result of an [`EngineRequest`].
#[derive(Clone, Debug)]
pub enum EngineResponse {
    /// Result of one send of a command.
    Sent {
        /// Fencing token of the command.
        token: u64,
        /// Number of the send.
        send: u32,
        /// Outcome of the send; `None` if the engine may still execute this copy.
        outcome: Option<Outcome>,
    },
    /// An engine's report, the response to a poll. A poll that fails has no response.
    Report {
        /// Last applied log index when the poll was requested.
        basis: u64,
        /// The engine's state, including its loaded models.
        report: Box<Announcement>,
    },
}

/// Starts the thread and returns the channel for requests; the thread ends when all of the
/// channel's senders are dropped. Fails if the runtime or the thread can't be started.
pub fn start(responses: Sender<EngineResponse>) -> Result<Sender<EngineRequest>> {
    let (sender, receiver) = flume::bounded(QUEUE_CAPACITY);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the engine client's runtime")?;
    std::thread::Builder::new()
        .name("commands".into())
        .spawn(move || runtime.block_on(run(receiver, responses)))
        .wrap_err("start the engine client's thread")?;
    Ok(sender)
}

async fn run(requests: Receiver<EngineRequest>, responses: Sender<EngineResponse>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_REQUESTS));
    let budget = Arc::new(Budget::new(RESPONSE_BUDGET_BYTES, SMALL_RESPONSE_BYTES));
    while let Ok(request) = requests.recv_async().await {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let (responses, budget) = (responses.clone(), budget.clone());
        tokio::spawn(async move {
            let response = match request {
                EngineRequest::Send(command) => Some(send_command(&budget, command).await),
                EngineRequest::Poll {
                    engine,
                    address,
                    basis,
                } => poll(&budget, &engine, &address, basis).await,
            };
            drop(slot);
            if let Some(response) = response {
                let _ = responses.send_async(response).await;
            }
        });
    }
}

async fn poll(budget: &Budget, engine: &str, address: &str, basis: u64) -> Option<EngineResponse> {
    let fetched = async { fetch_state(budget, &mut connect(address).await?).await };
    match fetched.await {
        Ok(report) => Some(EngineResponse::Report {
            basis,
            report: Box::new(report),
        }),
        Err(error) => {
            tracing::debug!(event = "poll_failed", peer = engine, reason = %format!("{error:#}"));
            None
        }
    }
}

async fn send_command(budget: &Budget, command: CommandSend) -> EngineResponse {
    let reply = try_send(budget, &command).await;
    let outcome = match &reply {
        Ok(outcome) => Some(*outcome),
        Err(SendFailure {
            possibly_sent: false,
            ..
        }) => Some(Outcome::NotSent),
        Err(SendFailure {
            possibly_sent: true,
            ..
        }) => None,
    };
    let reason = reply
        .err()
        .map(|f| format!("{:#}", f.error))
        .unwrap_or_default();
    tracing::info!(
        event = "command",
        peer = %command.engine,
        token = command.body.fencing_token,
        send = command.send_number,
        op = ?command.body.op,
        model = %command.body.model,
        outcome = ?outcome,
        reason,
    );
    EngineResponse::Sent {
        token: command.body.fencing_token,
        send: command.send_number,
        outcome,
    }
}

/// Failure of a send that got no conclusive response.
struct SendFailure {
    error: eyre::Report,
    /// Whether any byte of the command may have been sent.
    possibly_sent: bool,
}

async fn try_send(budget: &Budget, command: &CommandSend) -> Result<Outcome, SendFailure> {
    let not_sent = |error| SendFailure {
        error,
        possibly_sent: false,
    };
    let mut connection = connect(&command.address).await.map_err(not_sent)?;
    let report = fetch_state(budget, &mut connection)
        .await
        .map_err(not_sent)?;
    if report.id != command.engine || report.incarnation != command.incarnation {
        let error = eyre!(
            "the engine at this address is {} with incarnation {}, not the command's target",
            report.id,
            report.incarnation
        );
        return Err(not_sent(error));
    }
    let body = serde_json::to_vec(&command.body)
        .wrap_err("encode the command")
        .map_err(not_sent)?;
    let ids = ids(command).map_err(not_sent)?;
    let post = exchange(
        budget,
        &mut connection,
        Method::POST,
        "/commands",
        &ids,
        body,
    )
    .await;
    let possibly_sent = |error| SendFailure {
        error,
        possibly_sent: true,
    };
    let reply = post.map_err(possibly_sent)?;
    let status = reply.status;
    if !repeats(&reply.headers, &ids) {
        return Err(possibly_sent(eyre!(
            "response with status {status} does not repeat the ids of the command"
        )));
    }
    classify_response(status, &reply.body).ok_or_else(|| {
        possibly_sent(eyre!(
            "response with status {status} does not show whether the command was executed"
        ))
    })
}

/// The headers that identify a send.
fn ids(command: &CommandSend) -> Result<HeaderMap> {
    let id = HeaderValue::from_str(&command.body.command_id).wrap_err("encode the command's id")?;
    let mut headers = HeaderMap::new();
    headers.insert(REQUEST_ID, id);
    headers.insert(ATTEMPT, command.send_number.into());
    Ok(headers)
}

/// Whether a response has each of these ids, and no other value in its place.
fn repeats(headers: &HeaderMap, ids: &HeaderMap) -> bool {
    ids.iter().all(|(name, id)| {
        let mut values = headers.get_all(name).iter().peekable();
        values.peek().is_some() && values.all(|value| value == id)
    })
}

/// The outcome that a response proves, if any. A status of 500 or above alone proves nothing,
/// because an engine may report a failure and still continue to execute the command; only the error
/// codes in [`REFUSAL_CODES`] prove a refusal.
fn classify_response(status: StatusCode, body: &[u8]) -> Option<Outcome> {
    if status.is_success() {
        return Some(Outcome::Accepted);
    }
    if status.is_client_error() {
        return Some(Outcome::Rejected);
    }
    let refusal: serde_json::Value = serde_json::from_slice(body).ok()?;
    let code = refusal["error"]["code"].as_str()?;
    REFUSAL_CODES.contains(&code).then_some(Outcome::Rejected)
}

async fn connect(address: &str) -> Result<SendRequest<Full<Bytes>>> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting)
        .await
        .map_err(|_| eyre!("connect to {address}: not connected after {CONNECT_TIMEOUT_MS} ms"))?
        .wrap_err_with(|| format!("connect to {address}"))?;
    stream.set_nodelay(true).wrap_err("set TCP_NODELAY")?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .wrap_err("start HTTP/1 on the connection")?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn fetch_state(
    budget: &Budget,
    connection: &mut SendRequest<Full<Bytes>>,
) -> Result<Announcement> {
    // The first response on a connection can only be that to its first request.
    let no_ids = HeaderMap::new();
    let reply = exchange(
        budget,
        connection,
        Method::GET,
        "/state",
        &no_ids,
        Vec::new(),
    )
    .await?;
    if !reply.status.is_success() {
        return Err(eyre!("GET /state: status {}", reply.status));
    }
    serde_json::from_slice(&reply.body).wrap_err("decode the response to GET /state")
}

/// A response that was read completely.
struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

async fn exchange(
    budget: &Budget,
    connection: &mut SendRequest<Full<Bytes>>,
    method: Method,
    path: &str,
    ids: &HeaderMap,
    body: Vec<u8>,
) -> Result<Reply> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "engine")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .wrap_err("build the HTTP request")?;
    request.headers_mut().extend(ids.clone());
    let reply = async {
        let response = connection
            .send_request(request)
            .await
            .wrap_err_with(|| format!("send {path}"))?;
        let (head, mut body) = response.into_parts();
        let share = budget.share();
        let read = body::join(&mut body, |length| match share.grow_to(length) {
            _ if length > MAX_RESPONSE_BYTES => Err("it is too large"),
            Err(body::Full) => Err("responses are too large together"),
            Ok(()) => Ok(()),
        });
        let body = read.await.map_err(|error| match error {
            body::Error::Broken(error) => eyre!("read the response to {path}: {error}"),
            body::Error::Refused(reason) => eyre!("read the response to {path}: {reason}"),
        })?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    tokio::time::timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), reply)
        .await
        .map_err(|_| eyre!("{path}: no complete response after {RESPONSE_TIMEOUT_MS} ms"))?
}
