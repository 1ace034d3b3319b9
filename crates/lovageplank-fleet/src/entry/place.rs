//! A server for a request: at once, or after waiting for its model.

use super::call::{Call, History, Refused, given_up};
use super::refusal::Cause;
use super::{Shared, State};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::dispatch::{DEADLINE_RESERVE_MS, Decision, RefusalReason, Target};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::time::Duration;

/// Milliseconds after which a request that waits looks again, if nothing has changed.
const LOOK_MS: u64 = 40;
/// The part of the grace time for which requests that wait already may go on to.
const WAITS_PART: u64 = 4;
/// Milliseconds after which a request that came too late may come back.
const TOO_LATE_AGAIN_MS: u64 = 500;

/// A server for the request, now or after a wait.
pub(super) async fn place(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    deployment: &Deployment,
    history: &History,
) -> Result<Target, Refused> {
    let mut waiting: Option<Waiting> = None;
    let mut changed = shared.changed.subscribe();
    loop {
        let now = clock::boottime_ms();
        if now + DEADLINE_RESERVE_MS >= call.ask.start_by {
            return Err(match given_up(history) {
                (Cause::Rejected, _) => (Cause::TooLate, Some(TOO_LATE_AGAIN_MS)),
                other => other,
            });
        }
        let (verdict, stops) = {
            let mut state = shared.state();
            let verdict = state
                .dispatcher
                .decide(now, deployment, &call.ask, &history.tried);
            (verdict, stops(shared, &state, call, now))
        };
        match verdict {
            Decision::Wait if stops && history.ran.is_empty() => {
                return Err((Cause::Stopping, Some(0)));
            }
            Decision::Send(target) => return Ok(target),
            Decision::Refuse {
                reason,
                retry_after_ms: again_ms,
            } => return Err(refused(history, reason, again_ms)),
            Decision::Wait => {}
        }
        if waiting.is_none() {
            waiting = Some(Waiting::new(shared.clone(), call.clone()));
        }
        let look = Duration::from_millis(LOOK_MS);
        // Both a change and the end of the pause lead to another look.
        let _ = tokio::time::timeout(look, changed.changed()).await;
    }
}

/// Whether a request that waits is given up because the process stops: what begins late in the
/// grace time might not end in it, and another instance can wait as well.
fn stops(shared: &Shared, state: &State, call: &Call, now: Millis) -> bool {
    let waits_ms = shared.config.common.grace_ms / WAITS_PART;
    state
        .stopped_at
        .is_some_and(|at| call.arrived >= at || now >= at + waits_ms)
}

/// A request that waits for a model; counted until it is dropped.
struct Waiting {
    shared: Arc<Shared>,
    call: Arc<Call>,
}

impl Waiting {
    fn new(shared: Arc<Shared>, call: Arc<Call>) -> Waiting {
        let first = shared.state().dispatcher.load().began_waiting(&call.ask);
        let left_ms = call.ask.start_by.saturating_sub(clock::boottime_ms());
        tracing::info!(event = "waits", id = call.head.id, model = ?call.ask.model, adapter = ?call.ask.adapter, left_ms);
        if first {
            shared.urgent.notify_one();
        }
        Waiting { shared, call }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.dispatcher.load().stopped_waiting(&self.call.ask);
    }
}

fn refused(history: &History, reason: RefusalReason, again_ms: u64) -> Refused {
    if !history.ran.is_empty() {
        return (Cause::Unknown, None);
    }
    let cause = match reason {
        RefusalReason::NoServer => Cause::NoServer,
        RefusalReason::Full => Cause::Full,
        RefusalReason::Cold => Cause::Cold,
    };
    (cause, Some(again_ms))
}
