//! The thread that talks to engines: sends commands and asks for reports.
//!
//! A command leaves only after its record was committed. Each send opens a connection, asks the
//! engine's state on it, and sends the command on that same connection only if the incarnation is
//! the record's: the command then dies with the process that it was meant for. `hyper` rather than
//! `attohttpc`, which can't send two requests on one connection.

use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use flume::{Receiver, Sender};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use lovageplank_core::backend::Announcement;
use lovageplank_core::ledger::Outcome;
use lovageplank_core::prelude::*;
use serde::Serialize;
use std::time::Duration;
use tokio::net::TcpStream;

/// Requests to engines at once.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Requests that may wait.
const QUEUE_CAPACITY: usize = 1_024;

/// Milliseconds for connecting to an engine.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Milliseconds for an engine's answer.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;

/// Bytes of an engine's answer at the most.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Codes by which an engine says with a status of 500 and above that it executes nothing.
const REFUSAL_CODES: [&str; 2] = ["out_of_memory", "leaving"];

/// What the thread is asked for.
#[derive(Clone, Debug)]
pub enum EngineRequest {
    /// Send a command.
    Send(CommandSend),
    /// Ask for a report.
    Poll {
        /// The engine.
        engine: Name,
        /// `ip:port` of the engine.
        address: Name,
        /// Index that is applied now; returned with the report.
        basis: u64,
    },
}

/// One send of a command.
#[derive(Clone, Debug)]
pub struct CommandSend {
    /// Number of the send.
    pub send_number: u32,
    /// The engine.
    pub engine: Name,
    /// Its incarnation; the command must reach no other.
    pub incarnation: u64,
    /// `ip:port` of the engine.
    pub address: Name,
    /// What it is told.
    pub body: Body,
}

/// The body of `POST /commands`.
#[derive(Clone, Debug, Serialize)]
pub struct Body {
    /// Unique; an engine executes it once.
    pub command_id: String,
    /// Grows with every record.
    pub fencing_token: u64,
    /// What to do.
    pub op: Op,
    /// The model.
    pub model: Name,
    /// Its version.
    pub version: Name,
    /// The adapter, for operations on one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Name>,
    /// Memory that the engine is to reserve, in megabytes.
    pub memory_mb: u64,
}

/// What an engine is told to do.
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

/// What the thread found.
#[derive(Clone, Debug)]
pub enum EngineResponse {
    /// What became of a send; `None` if it may still be executed.
    Sent {
        /// Token of the command.
        token: u64,
        /// Number of the send.
        send: u32,
        /// What became of it.
        outcome: Option<Outcome>,
    },
    /// An engine's report.
    Report {
        /// Index that was applied when it was asked for.
        basis: u64,
        /// What the engine holds.
        report: Box<Announcement>,
    },
}

/// Starts the thread; it ends when the returned ring is dropped.
pub fn start(responses: Sender<EngineResponse>) -> Result<Sender<EngineRequest>> {
    let (sender, receiver) = flume::bounded(QUEUE_CAPACITY);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the commands' runtime")?;
    std::thread::Builder::new()
        .name("commands".into())
        .spawn(move || runtime.block_on(run(receiver, responses)))
        .wrap_err("start the commands' thread")?;
    Ok(sender)
}

async fn run(requests: Receiver<EngineRequest>, responses: Sender<EngineResponse>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_REQUESTS));
    while let Ok(request) = requests.recv_async().await {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let responses = responses.clone();
        tokio::spawn(async move {
            let response = match request {
                EngineRequest::Send(command) => Some(send_command(command).await),
                EngineRequest::Poll {
                    engine,
                    address,
                    basis,
                } => poll(&engine, &address, basis).await,
            };
            drop(slot);
            if let Some(response) = response {
                let _ = responses.send_async(response).await;
            }
        });
    }
}

async fn poll(engine: &str, address: &str, basis: u64) -> Option<EngineResponse> {
    let fetched = async { fetch_state(&mut connect(address).await?).await };
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

async fn send_command(command: CommandSend) -> EngineResponse {
    let reply = try_send(&command).await;
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

/// Why a send brought no answer.
struct SendFailure {
    error: eyre::Report,
    /// Whether any byte of the command may have left.
    possibly_sent: bool,
}

async fn try_send(command: &CommandSend) -> Result<Outcome, SendFailure> {
    let not_sent = |error| SendFailure {
        error,
        possibly_sent: false,
    };
    let mut connection = connect(&command.address).await.map_err(not_sent)?;
    let report = fetch_state(&mut connection).await.map_err(not_sent)?;
    if report.id != command.engine || report.incarnation != command.incarnation {
        let error = eyre!("{} is at incarnation {}", report.id, report.incarnation);
        return Err(not_sent(error));
    }
    let body = serde_json::to_vec(&command.body)
        .wrap_err("encode")
        .map_err(not_sent)?;
    let reply = exchange(&mut connection, Method::POST, "/commands", body).await;
    let (status, body) = reply.map_err(|error| SendFailure {
        error,
        possibly_sent: true,
    })?;
    classify_response(status, &body).ok_or_else(|| SendFailure {
        error: eyre!("the engine answers {status} without saying that it refuses"),
        possibly_sent: true,
    })
}

/// What an answer proves. A status of 500 and above alone proves nothing: an engine that fails
/// while it executes may say so and go on. There, only a refusal that names its reason counts.
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
        .map_err(|_| eyre!("connect to {address}: nothing for {CONNECT_TIMEOUT_MS} ms"))?
        .wrap_err_with(|| format!("connect to {address}"))?;
    stream.set_nodelay(true).wrap_err("set no delay")?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .wrap_err("handshake")?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn fetch_state(connection: &mut SendRequest<Full<Bytes>>) -> Result<Announcement> {
    let (status, body) = exchange(connection, Method::GET, "/state", Vec::new()).await?;
    if !status.is_success() {
        return Err(eyre!("ask for the state: status {status}"));
    }
    serde_json::from_slice(&body).wrap_err("read the state")
}

async fn exchange(
    connection: &mut SendRequest<Full<Bytes>>,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "engine")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .wrap_err("build the request")?;
    let reply = async {
        let response = connection
            .send_request(request)
            .await
            .wrap_err_with(|| format!("send {path}"))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| eyre!("read the answer of {path}: {error}"))?;
        Ok((status, body.to_bytes()))
    };
    tokio::time::timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), reply)
        .await
        .map_err(|_| eyre!("{path}: nothing for {RESPONSE_TIMEOUT_MS} ms"))?
}
