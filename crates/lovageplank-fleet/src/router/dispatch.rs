//! Selects a server for a request, at once or after waiting for the model or for room.

use super::call::{History, final_refusal};
use super::refusal::{Cause, Refusal};
use super::request::Call;
use super::turn::Queued;
use super::{Shared, State, speed, tenant};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::dispatch::{
    Bar, DEADLINE_RESERVE_MS, Decision, RefusalReason, Target,
};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::time::Duration;

/// Milliseconds after which the selection of a server is tried again for a waiting request, if no
/// change of the state has woken the request before.
const RECHECK_MS: u64 = 40;
/// The grace period divided by this is the longest wait after the stop signal. It applies to
/// requests that arrived before the signal. A request that still waits after that is refused, so
/// that another router can wait for the model. A request that arrives after the signal doesn't wait
/// at all. A request that a server may already have run isn't refused for either reason.
const WAIT_GRACE_DIVISOR: u64 = 4;
/// Milliseconds after which the caller may retry a request whose time ran out before it was sent.
const TOO_LATE_RETRY_AFTER_MS: u64 = 500;

/// Where a request may be sent.
pub(super) enum Selected {
    /// To this server.
    Free(Target),
    /// To the first of some brittle servers at which it gets a place, or else to another one.
    Brittle {
        servers: Vec<Target>,
        other: Option<Target>,
    },
}

/// Returns a server for the request, at once or after waiting for one; otherwise the refusal.
pub(super) async fn select_server(
    shared: &Arc<Shared>,
    call: &mut Arc<Call>,
    deployment: &Deployment,
    history: &mut History,
) -> Result<Selected, Refusal> {
    let mut waiting: Option<Waiting> = None;
    let mut queued = Queued::new(shared, call);
    let mut changes = shared.state_changes.subscribe();
    loop {
        check_closing(shared, history)?;
        tenant::check(shared, call, history)?;
        let now = clock::boottime_ms();
        if now + DEADLINE_RESERVE_MS >= call.spec.start_by {
            return Err(match final_refusal(history) {
                (Cause::Rejected, _) => (Cause::TooLate, Some(TOO_LATE_RETRY_AFTER_MS)),
                other => other,
            });
        }
        let (decision, stops_waiting) = {
            let mut state = shared.state();
            speed::update_connections(shared, &mut state, call, history.tried.is_empty());
            let decision = state.dispatcher.decide_in_turn(
                now,
                deployment,
                &call.spec,
                &history.tried,
                queued.turn(),
            );
            queued.decided(&mut state, &decision);
            shared.notify_leader(&state);
            (decision, must_stop_waiting(shared, &state, call, now))
        };
        match decision {
            Decision::Wait if stops_waiting && history.may_have_run.is_empty() => {
                return Err((Cause::Stopping, Some(0)));
            }
            Decision::Send(target) => return Ok(Selected::Free(target)),
            Decision::Reserve { servers, other } => {
                return Ok(Selected::Brittle { servers, other });
            }
            Decision::Refuse {
                reason,
                retry_after_ms,
            } => {
                history.outlook = queued.turn().outlook();
                log_bars(shared, call, deployment, history);
                return Err(refusal(history, reason, retry_after_ms));
            }
            Decision::Wait => {}
        }
        let recheck = Duration::from_millis(RECHECK_MS);
        if queued.is_waiting() {
            // It doesn't wait for its model, of which the leader would load another copy.
            waiting = None;
            queued.woken(&mut changes, recheck).await;
            continue;
        }
        if waiting.is_none() {
            waiting = Some(Waiting::new(shared.clone(), call.clone()));
        }
        // A change and the timeout both lead to another decision.
        let _ = tokio::time::timeout(recheck, changes.changed()).await;
    }
}

/// Refuses a request that is sent nowhere yet once the router has closed: what is left of the grace period
/// may be too short for an answer, and another router can take the request. A request that a server
/// may already have run goes on.
pub(super) fn check_closing(shared: &Shared, history: &History) -> Result<(), Refusal> {
    if shared.closing.is_cancelled() && history.may_have_run.is_empty() {
        return Err((Cause::Stopping, Some(0)));
    }
    Ok(())
}

/// Whether a waiting request is given up because the router is stopping. A request that starts late
/// in the grace period might not end within it, and another router can wait for the model instead.
fn must_stop_waiting(shared: &Shared, state: &State, call: &Call, now: Millis) -> bool {
    let wait_limit_ms = shared.config.common.grace_ms / WAIT_GRACE_DIVISOR;
    state
        .stop_signal_at
        .is_some_and(|at| call.arrived_at >= at || now >= at + wait_limit_ms)
}

/// A request that waits for a model; it is reported as waiting until it is dropped.
struct Waiting {
    shared: Arc<Shared>,
    call: Arc<Call>,
}

impl Waiting {
    fn new(shared: Arc<Shared>, call: Arc<Call>) -> Waiting {
        let first_for_model = shared
            .state()
            .dispatcher
            .load_tracker()
            .began_waiting(&call.spec);
        let remaining_ms = call.spec.start_by.saturating_sub(clock::boottime_ms());
        tracing::info!(event = "waits", id = %call.id, model = call.spec.model.as_deref(), adapter = call.spec.adapter.as_deref(), left_ms = remaining_ms);
        if first_for_model {
            shared.urgent_report.notify_one();
        }
        Waiting { shared, call }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state
            .dispatcher
            .load_tracker()
            .stopped_waiting(&self.call.spec);
    }
}

/// Logs why the servers of the request's service may not get it, with the number of servers for each reason.
fn log_bars(shared: &Shared, call: &Call, deployment: &Deployment, history: &History) {
    let now = clock::boottime_ms();
    let state = shared.state();
    let bars = state
        .dispatcher
        .bars(now, deployment, &call.spec, &history.tried);
    drop(state);
    let mut counts: BTreeMap<Bar, u32> = BTreeMap::new();
    for (_, bar) in bars {
        *counts.entry(bar).or_default() += 1;
        metrics::counter!("lovageplank_entry_barred_total", "reason" => bar.name()).increment(1);
    }
    let servers: Vec<String> = counts
        .iter()
        .map(|(bar, count)| format!("{}={count}", bar.name()))
        .collect();
    tracing::info!(event = "no_server_open", id = %call.id, service = %call.spec.service, model = call.spec.model.as_deref(),
        adapter = call.spec.adapter.as_deref(), servers = servers.join(" "));
}

fn refusal(history: &History, reason: RefusalReason, retry_after_ms: u64) -> Refusal {
    let cause = match reason {
        RefusalReason::NoServer => Cause::NoServer,
        RefusalReason::Full => Cause::Full,
        RefusalReason::Limited => Cause::Limited,
        RefusalReason::Paused => Cause::Paused,
        RefusalReason::LoadTooSlow => Cause::LoadTooSlow,
        RefusalReason::VersionGone => Cause::VersionGone,
    };
    history.refusal(cause, retry_after_ms)
}
