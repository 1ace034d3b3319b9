//! Runs of requests: a run waits for a slot in the batch, then generates its tokens in order.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use lovageplank_core::prelude::*;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::shared::Core;
use super::text;
use crate::record::{Increment, RequestKeys};

/// Tokens buffered for the receiver of a run; while the buffer is full, generation waits.
const BUFFER_TOKENS: usize = 16;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Job {
    /// The keys that the request is recorded under.
    pub keys: RequestKeys,
    /// The model.
    pub model: Name,
    /// Hash of the model, adapter and prompt, which determine the answer.
    pub hash: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Length of the whole answer in tokens, including those before `offset`.
    pub tokens: u32,
    /// Position of the first token to generate: the number of tokens that the caller already has.
    pub offset: u32,
    /// Priority, from 0 (runs last) to 9.
    pub priority: u8,
    /// Cancelled when the replica is unloaded.
    pub unloaded: CancellationToken,
    /// Clone of the replica's `request_counter`, which counts this request; never read.
    #[expect(dead_code, reason = "kept for its reference count")]
    pub request_counter: Arc<()>,
}

/// An event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The token at this position was generated.
    Token(u32),
    /// All tokens were generated.
    Done,
    /// The run ended before all tokens were generated.
    Aborted(AbortReason),
}

/// The reason why a run ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The request was cancelled, or its client disconnected.
    Cancelled,
    /// The replica was unloaded.
    Unloaded,
}

/// Starts a run and returns the receiver of its events; dropping the receiver cancels the run.
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
            // The send fails if the client has disconnected; no event is needed then.
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
            // The receiver is gone; `run` ends this future when it notices.
            std::future::pending::<()>().await;
        }
    }
}

async fn sleep(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Returns the text of the token at a position of a job's answer.
pub fn token_text(job: &Job, position: u32) -> String {
    text::token(job.hash, position)
}
