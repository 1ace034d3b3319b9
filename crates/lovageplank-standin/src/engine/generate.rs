//! Runs of requests: wait for a seat in the batch, then one token after the other.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use lovageplank_core::prelude::*;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::shared::Core;
use super::text;
use crate::record::{Increment, RequestKeys};

/// Tokens that may wait for a slow reader.
const BUFFER_TOKENS: usize = 16;

/// One request that may run.
#[derive(Clone, Debug)]
pub struct Job {
    /// What it is recorded under.
    pub keys: RequestKeys,
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
    pub request_counter: Arc<()>,
}

/// What comes out of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The token at this position.
    Token(u32),
    /// The answer is whole.
    Done,
    /// The run ended early.
    Aborted(AbortReason),
}

/// Why a run ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
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
    let (run_id, cancel) = core.register(&id);
    let generated = AtomicU32::new(0);
    let abort = tokio::select! {
        () = generate_tokens(&core, &job, &out, &generated) => None,
        () = cancel.cancelled() => Some(AbortReason::Cancelled),
        () = out.closed() => Some(AbortReason::Cancelled),
        () = job.unloaded.cancelled() => Some(AbortReason::Unloaded),
    };
    core.deregister(&id, run_id);
    let tokens = generated.into_inner();
    core.records.count(&job.keys, Increment::Tokens(tokens));
    match abort {
        None => {
            core.records.count(&job.keys, Increment::Finished);
            // A client that has gone needs no end.
            let _result = out.send(Event::Done).await;
        }
        Some(abort) => {
            core.records.count(&job.keys, Increment::Cancelled);
            if abort == AbortReason::Unloaded {
                core.records.update(|snapshot| snapshot.cut_by_unload += 1);
            }
            let _result = out.send(Event::Aborted(abort)).await;
        }
    }
}

async fn generate_tokens(core: &Core, job: &Job, out: &mpsc::Sender<Event>, generated: &AtomicU32) {
    let _slot = core.batch.acquire(job.priority).await;
    let count = if job.offset == 0 {
        Increment::Run
    } else {
        Increment::Resumed
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
        generated.fetch_add(1, Ordering::Relaxed);
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
pub fn token_text(job: &Job, position: u32) -> String {
    text::token(job.hash, position)
}
