//! Runs of requests: wait for a seat in the batch, then one token after the other.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use lovageplank_core::prelude::*;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::shared::Core;
use super::text;
use crate::record::{Count, Keys};

/// Tokens that may wait for a slow reader.
const BUFFER_TOKENS: usize = 16;

/// One request that may run.
#[derive(Clone, Debug)]
pub struct Job {
    /// What it is recorded under.
    pub keys: Keys,
    /// The model.
    pub model: Name,
    /// Hash of all that the answer depends on.
    pub hash: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Tokens of the whole answer.
    pub tokens: u32,
    /// Tokens that the caller has already.
    pub offset: u32,
    /// From 0 (runs last) to 9.
    pub priority: u8,
    /// Cancelled when the replica is unloaded.
    pub unloaded: CancellationToken,
    /// Keeps the request counted on its replica; never read.
    #[expect(dead_code, reason = "held for its count")]
    pub work: Arc<()>,
}

/// What comes out of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The token at this position.
    Token(u32),
    /// The answer is whole.
    Done,
    /// The run ended early.
    Ended(End),
}

/// Why a run ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Somebody cancelled it, or its client went away.
    Cancelled,
    /// Its replica was unloaded.
    Unloaded,
}

/// Starts a run; it ends by itself when the receiver is dropped.
pub fn start(core: Arc<Core>, job: Job) -> mpsc::Receiver<Event> {
    let (out, events) = mpsc::channel(BUFFER_TOKENS);
    tokio::spawn(run(core, job, out));
    events
}

async fn run(core: Arc<Core>, job: Job, out: mpsc::Sender<Event>) {
    let id = job.keys.request_id.clone().unwrap_or_default();
    let (number, cancel) = core.register(&id);
    let given = AtomicU32::new(0);
    let end = tokio::select! {
        () = tokens(&core, &job, &out, &given) => None,
        () = cancel.cancelled() => Some(End::Cancelled),
        () = out.closed() => Some(End::Cancelled),
        () = job.unloaded.cancelled() => Some(End::Unloaded),
    };
    core.deregister(&id, number);
    let tokens = given.into_inner();
    core.records.count(&job.keys, Count::Tokens(tokens));
    match end {
        None => {
            core.records.count(&job.keys, Count::Finished);
            // A client that has gone needs no end.
            let _gone = out.send(Event::Done).await;
        }
        Some(end) => {
            core.records.count(&job.keys, Count::Cancelled);
            if end == End::Unloaded {
                core.records.update(|page| page.cut_by_unload += 1);
            }
            let _gone = out.send(Event::Ended(end)).await;
        }
    }
}

async fn tokens(core: &Core, job: &Job, out: &mpsc::Sender<Event>, given: &AtomicU32) {
    let _seat = core.batch.enter(job.priority).await;
    let count = if job.offset == 0 {
        Count::Run
    } else {
        Count::Resumed
    };
    core.records.count(&job.keys, count);
    let first_ms = if core.touch_prefix(&job.model, job.prefix) {
        core.config.cached_first_token_ms
    } else {
        core.config.first_token_ms
    };
    sleep(first_ms).await;
    for position in job.offset..job.tokens {
        if position > job.offset {
            sleep(core.config.token_ms).await;
        }
        given.fetch_add(1, Ordering::Relaxed);
        if out.send(Event::Token(position)).await.is_err() {
            // The run is ended from outside when its client goes away.
            std::future::pending::<()>().await;
        }
    }
}

async fn sleep(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Returns the text of a token of a job.
pub fn token(job: &Job, position: u32) -> String {
    text::token(job.hash, position)
}
