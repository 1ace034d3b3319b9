//! The threads that send commands to engines.
//!
//! A command leaves only after its record was committed. It is sent over a connection of its own
//! and with short deadlines, so that a command which was not answered either reached the engine
//! within [`READ_MS`] or died with its connection. `attohttpc` fits: one connection per command.

use eyre::{Result, WrapErr};
use flume::{Receiver, Sender};
use lovageplank_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Threads that send at once.
const THREADS: usize = 8;

/// Commands that may wait.
const QUEUE: usize = 1_024;

/// Milliseconds for connecting to an engine.
const CONNECT_MS: u64 = 500;

/// Milliseconds for an engine's answer.
pub const READ_MS: u64 = 2_000;

/// One command to one engine.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Token of the committed record.
    pub token: u64,
    /// The engine.
    pub engine: Name,
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

/// What became of a dispatch.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The engine took the command.
    Accepted,
    /// The engine refused it and won't execute it.
    Rejected(String),
    /// It may have been executed or not, now or later.
    Unknown(String),
}

/// The outcome of one dispatch.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Token of the record.
    pub token: u64,
    /// The engine.
    pub engine: Name,
    /// What became of it.
    pub outcome: Outcome,
}

/// Starts the threads; they end when the returned ring is dropped.
pub fn start(results: Sender<Completion>) -> Result<Sender<Dispatch>> {
    let (sender, receiver) = flume::bounded(QUEUE);
    for number in 0..THREADS {
        let (receiver, results) = (receiver.clone(), results.clone());
        std::thread::Builder::new()
            .name(format!("commands-{number}"))
            .spawn(move || run(&receiver, &results))
            .wrap_err("start command thread")?;
    }
    Ok(sender)
}

fn run(dispatches: &Receiver<Dispatch>, results: &Sender<Completion>) {
    for dispatch in dispatches {
        let outcome =
            send(&dispatch).unwrap_or_else(|error| Outcome::Unknown(format!("{error:#}")));
        tracing::info!(
            event = "command",
            peer = %dispatch.engine,
            token = dispatch.token,
            op = ?dispatch.body.op,
            model = %dispatch.body.model,
            outcome = ?outcome,
        );
        let result = Completion {
            token: dispatch.token,
            engine: dispatch.engine,
            outcome,
        };
        if results.send(result).is_err() {
            return;
        }
    }
}

/// The engine's refusal of a command.
#[derive(Deserialize)]
struct Refusal {
    error: Reason,
}

#[derive(Deserialize)]
struct Reason {
    code: String,
}

fn send(dispatch: &Dispatch) -> Result<Outcome> {
    let response = attohttpc::post(format!("http://{}/commands", dispatch.address))
        .connect_timeout(Duration::from_millis(CONNECT_MS))
        .read_timeout(Duration::from_millis(READ_MS))
        .timeout(Duration::from_millis(READ_MS))
        .json(&dispatch.body)
        .wrap_err("encode command")?
        .send()
        .wrap_err_with(|| format!("send command to {}", dispatch.engine))?;
    let status = response.status();
    if status.is_success() {
        return Ok(Outcome::Accepted);
    }
    let text = response.text().wrap_err("read the engine's refusal")?;
    let refusal: Refusal =
        serde_json::from_str(&text).wrap_err_with(|| format!("status {status}"))?;
    Ok(Outcome::Rejected(refusal.error.code))
}
