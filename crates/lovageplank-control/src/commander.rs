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
const CONCURRENCY: usize = 64;

/// Requests that may wait.
const QUEUE: usize = 1_024;

/// Milliseconds for connecting to an engine.
const CONNECT_MS: u64 = 500;

/// Milliseconds for an engine's answer.
const READ_MS: u64 = 2_000;

/// Bytes of an engine's answer at the most.
const ANSWER_BYTES: usize = 4 << 20;

/// Codes by which an engine says with a status of 500 and above that it executes nothing.
const REFUSALS: [&str; 2] = ["out_of_memory", "leaving"];

/// What the thread is asked for.
#[derive(Clone, Debug)]
pub enum Ask {
    /// Send a command.
    Send(Send),
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
pub struct Send {
    /// Number of the send.
    pub send: u32,
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
pub enum Found {
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
pub fn start(found: Sender<Found>) -> Result<Sender<Ask>> {
    let (sender, receiver) = flume::bounded(QUEUE);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the commands' runtime")?;
    std::thread::Builder::new()
        .name("commands".into())
        .spawn(move || runtime.block_on(run(receiver, found)))
        .wrap_err("start the commands' thread")?;
    Ok(sender)
}

async fn run(asks: Receiver<Ask>, found: Sender<Found>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(CONCURRENCY));
    while let Ok(ask) = asks.recv_async().await {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let found = found.clone();
        tokio::spawn(async move {
            let answer = match ask {
                Ask::Send(send) => Some(carry(send).await),
                Ask::Poll {
                    engine,
                    address,
                    basis,
                } => poll(&engine, &address, basis).await,
            };
            drop(slot);
            if let Some(answer) = answer {
                let _ = found.send_async(answer).await;
            }
        });
    }
}

async fn poll(engine: &str, address: &str, basis: u64) -> Option<Found> {
    let asked = async { state(&mut connect(address).await?).await };
    match asked.await {
        Ok(report) => Some(Found::Report {
            basis,
            report: Box::new(report),
        }),
        Err(error) => {
            tracing::debug!(event = "poll_failed", peer = engine, reason = %format!("{error:#}"));
            None
        }
    }
}

async fn carry(send: Send) -> Found {
    let answered = deliver(&send).await;
    let outcome = match &answered {
        Ok(outcome) => Some(*outcome),
        Err(Failure { left: false, .. }) => Some(Outcome::NotSent),
        Err(Failure { left: true, .. }) => None,
    };
    let reason = answered
        .err()
        .map(|f| format!("{:#}", f.error))
        .unwrap_or_default();
    tracing::info!(
        event = "command",
        peer = %send.engine,
        token = send.body.fencing_token,
        send = send.send,
        op = ?send.body.op,
        model = %send.body.model,
        outcome = ?outcome,
        reason,
    );
    Found::Sent {
        token: send.body.fencing_token,
        send: send.send,
        outcome,
    }
}

/// Why a send brought no answer.
struct Failure {
    error: eyre::Report,
    /// Whether any byte of the command may have left.
    left: bool,
}

async fn deliver(send: &Send) -> Result<Outcome, Failure> {
    let not_left = |error| Failure { error, left: false };
    let mut connection = connect(&send.address).await.map_err(not_left)?;
    let report = state(&mut connection).await.map_err(not_left)?;
    if report.id != send.engine || report.incarnation != send.incarnation {
        let error = eyre!("{} is at incarnation {}", report.id, report.incarnation);
        return Err(not_left(error));
    }
    let body = serde_json::to_vec(&send.body)
        .wrap_err("encode")
        .map_err(not_left)?;
    let answered = exchange(&mut connection, Method::POST, "/commands", body).await;
    let (status, body) = answered.map_err(|error| Failure { error, left: true })?;
    judge(status, &body).ok_or_else(|| Failure {
        error: eyre!("the engine answers {status} without saying that it refuses"),
        left: true,
    })
}

/// What an answer proves. A status of 500 and above alone proves nothing: an engine that fails
/// while it executes may say so and go on. There, only a refusal that names its reason counts.
fn judge(status: StatusCode, body: &[u8]) -> Option<Outcome> {
    if status.is_success() {
        return Some(Outcome::Accepted);
    }
    if status.is_client_error() {
        return Some(Outcome::Rejected);
    }
    let refusal: serde_json::Value = serde_json::from_slice(body).ok()?;
    let code = refusal["error"]["code"].as_str()?;
    REFUSALS.contains(&code).then_some(Outcome::Rejected)
}

async fn connect(address: &str) -> Result<SendRequest<Full<Bytes>>> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(Duration::from_millis(CONNECT_MS), connecting)
        .await
        .map_err(|_| eyre!("connect to {address}: nothing for {CONNECT_MS} ms"))?
        .wrap_err_with(|| format!("connect to {address}"))?;
    stream.set_nodelay(true).wrap_err("set no delay")?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .wrap_err("handshake")?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn state(connection: &mut SendRequest<Full<Bytes>>) -> Result<Announcement> {
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
    let answered = async {
        let response = connection
            .send_request(request)
            .await
            .wrap_err_with(|| format!("send {path}"))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| eyre!("read the answer of {path}: {error}"))?;
        Ok((status, body.to_bytes()))
    };
    tokio::time::timeout(Duration::from_millis(READ_MS), answered)
        .await
        .map_err(|_| eyre!("{path}: nothing for {READ_MS} ms"))?
}
