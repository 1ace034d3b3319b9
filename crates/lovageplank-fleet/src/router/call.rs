//! Handles one request of a caller, from its arrival to its response.

use super::attempt::{self, Failure, OpenResponse, Place, attempt};
use super::dispatch::{Selected, check_closing, select_server};
use super::quarantine::{Broken, Trial};
use super::refusal::{Cause, Refusal, promises_not_run};
use super::relay::Terms;
use super::request::{Call, read};
use super::{Shared, origin, place, quarantine, quota, relay, stream, tenant, turn};
use hyper::body::Incoming;
use hyper::{Request, Response};
use lovageplank_core::fleet::admission::Outlook;
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::dispatch::{DEADLINE_RESERVE_MS, Target};
use lovageplank_core::fleet::permit;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::http::{self, Body};
use lovageplank_router::answer;
use std::time::Duration;
use tokio::time::Instant;

/// A request is refused as soon as servers have rejected it this many times. It is also refused
/// when an attempt wasn't sent and [`History::tried`] then has more servers than this number.
const MAX_REJECTIONS: u32 = 4;
/// Milliseconds after which the caller may retry a request that servers rejected.
const REJECTED_RETRY_AFTER_MS: u64 = 300;
/// Milliseconds after which it is checked again whether a retry that waits for a permit is allowed.
const PERMIT_RECHECK_MS: u64 = 10;

/// The attempts of a request so far.
#[derive(Clone, Default)]
pub(super) struct History {
    /// Servers that may have run the request.
    pub(super) may_have_run: Vec<Name>,
    /// Servers that aren't selected for this request again: each server that couldn't be reached,
    /// rejected the request or may have run it. A misdirected attempt of a request for a model doesn't
    /// add its server.
    pub(super) tried: Vec<Name>,
    /// Whether the request counts in the retry budget of its service.
    pub(super) is_counted: bool,
    /// Whether an attempt was made to send it to a server that couldn't be reached.
    is_unreached: bool,
    /// Attempts that reached a server.
    pub(super) sends: u32,
    /// Attempts that servers rejected.
    pub(super) rejections: u32,
    /// Whether a server ended before it began to answer the request.
    pub(super) ended_server: bool,
    /// The trial of the latest attempt, if it was one.
    pub(super) trial: Option<Arc<Trial>>,
    /// What was charged to its tenant; given back if the request is dropped before it is sent.
    pub(super) charge: Option<Arc<quota::Charge>>,
    /// What the request was told when it found no room at servers and was refused.
    pub(super) outlook: Option<Outlook>,
}

impl History {
    /// The refusal for this cause: it promises that the request has not run only if that is certain.
    pub(super) fn refusal(&self, cause: Cause, retry_after_ms: u64) -> Refusal {
        if self.may_have_run.is_empty() {
            (cause, Some(retry_after_ms))
        } else {
            (Cause::Unknown, None)
        }
    }
}

/// Handles a request and logs its outcome.
///
/// `terms` are those of the router that passed the request on, if another one did.
pub(super) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    terms: Option<Terms>,
) -> Response<Body> {
    let arrived_at = clock::boottime_ms();
    let (mut call, deployment) = match read(&shared, request, arrived_at).await {
        Ok(read) => read,
        Err((cause, retry_after_ms)) => return cause.response(retry_after_ms),
    };
    let mut history = History::default();
    if let Some(terms) = terms {
        call.bind_to(terms);
        history.is_counted = terms.is_counted;
        tracing::info!(event = "relay_accepted", id = %call.id, left_ms = terms.remaining_ms);
    }
    let call = Arc::new(call);
    let mut unanswered = Unanswered(Some(call.clone()));
    // The request as it is sent: bound to a version, and from the tenant that its key has at last.
    let mut sent = call.clone();
    let response = match origin::bind(&shared, &call).await {
        Ok(bound) => {
            sent = bound;
            process(&shared, &mut sent, &deployment, &mut history).await
        }
        Err(refusal) => Err(refusal),
    };
    unanswered.0 = None;
    let refused = response.as_ref().err().map(|(cause, _)| *cause);
    tenant::record(&shared, &sent.sender, refused);
    let tenant = sent.spec.tenant.as_ref().map(|tenant| &*tenant.name);
    let took_ms = clock::boottime_ms().saturating_sub(arrived_at);
    record_outcome(&call, &response, took_ms);
    match response {
        Ok(response) => {
            tracing::info!(event = "answered", id = %call.id, route = %call.route.name, tenant, status = response.status().as_u16(),
                sends = history.sends, rejections = history.rejections, took_ms, version = deployment.version);
            response
        }
        Err((cause, retry_after_ms)) => {
            // `again_ms` is the time after which the caller may retry.
            tracing::info!(event = "refused", id = %call.id, route = %call.route.name, tenant, model = call.spec.model.as_deref(), adapter = call.spec.adapter.as_deref(),
                cause = cause.name(), again_ms = retry_after_ms, admission = history.outlook.as_ref().map(turn::text),
                sends = history.sends, rejections = history.rejections, tried = joined(&history.tried), took_ms, version = deployment.version);
            let mut response = cause.response(retry_after_ms);
            relay::mark_refusal(&shared, &call, &mut response);
            response
        }
    }
}

/// Sends the request until it is answered, and relays the response. If no server can be reached, another
/// router sends it.
async fn process(
    shared: &Arc<Shared>,
    call: &mut Arc<Call>,
    deployment: &Deployment,
    history: &mut History,
) -> Result<Response<Body>, Refusal> {
    quarantine::check(shared, call, history)?;
    check_closing(shared, history)?;
    history.charge = quota::charge(shared, call).await?;
    if relay::is_due(shared, call)
        && let Some(relayed) = relay::forward(shared, call, history).await
    {
        return relayed;
    }
    let now = clock::boottime_ms();
    shared.state().dispatcher.arrived(now, &call.spec);
    let refusal = match send_until_answered(shared, call, deployment, history).await {
        Ok(opened) => return deliver(shared, call, opened, history).await,
        Err(refusal) => refusal,
    };
    if history.is_unreached
        && relay::may_help(refusal.0)
        && relay::is_allowed(call, history)
        && let Some(relayed) = relay::forward(shared, call, history).await
    {
        return relayed;
    }
    Err(refusal)
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its caller has got nothing.
    Unanswered,
    /// Its caller has got the head of a stream.
    Stream,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Stage::Unanswered => "unanswered",
            Stage::Stream => "stream",
        }
    }
}

/// A request that has no response yet. If it is dropped, the caller has left; the log says so.
struct Unanswered(Option<Arc<Call>>);

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some(call) = &self.0 {
            log_caller_left(call, Stage::Unanswered);
        }
    }
}

/// Logs that a caller has left, at the moment at which this router knows it.
pub(super) fn log_caller_left(call: &Call, stage: Stage) {
    let took_ms = clock::boottime_ms().saturating_sub(call.arrived_at);
    metrics::counter!("lovageplank_entry_callers_left_total", "stage" => stage.name()).increment(1);
    tracing::info!(event = "caller_left", id = %call.id, route = %call.route.name, stage = stage.name(), took_ms);
}

/// Records metrics of a request: its outcome and the time to the response head.
fn record_outcome(call: &Call, response: &Result<Response<Body>, Refusal>, took_ms: u64) {
    let kind = call.route.kind.name();
    let outcome = response.as_ref().map_or("refused", |_| "answered");
    metrics::counter!("lovageplank_entry_requests_total", "kind" => kind, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("lovageplank_entry_head_seconds", "kind" => kind)
        .record(Duration::from_millis(took_ms));
}

/// Sends the request to one server after another until one responds or no further attempt is
/// allowed.
pub(super) async fn send_until_answered(
    shared: &Arc<Shared>,
    call: &mut Arc<Call>,
    deployment: &Deployment,
    history: &mut History,
) -> Result<OpenResponse, Refusal> {
    loop {
        quarantine::check(shared, call, history)?;
        let selected = select_server(shared, call, deployment, history).await?;
        quarantine::admit(shared, call, history).await?;
        if !may_send(shared, call, history).await {
            return Err(final_refusal(history));
        }
        let (target, reserved) = match selected {
            Selected::Free(target) => (target, None),
            Selected::Brittle { servers, other } => {
                place::reserve(shared, call, &servers, other, history).await?
            }
        };
        if is_barred(shared, call, &target, history) {
            continue;
        }
        tenant::check(shared, call, history)?;
        quota::settle(history);
        history.sends += 1;
        log_sent(shared, call, &target, history);
        let possible_runs = u32::try_from(history.may_have_run.len()).unwrap_or(u32::MAX);
        let place = Place {
            is_first: history.sends == 1,
            is_last: possible_runs + 1 >= call.route.attempts,
            is_trial: history.trial.is_some(),
        };
        let last_event_id = call.head.last_event_id.as_deref();
        let sent = attempt(shared, call, target.clone(), last_event_id, place, reserved);
        match sent.await {
            Ok(opened) => return Ok(opened),
            Err(Failure::NotSent(reason)) => {
                tracing::info!(event = "not_sent", id = %call.id, server = %target.id, reason);
                // No server received the request, so it doesn't count as sent.
                history.sends -= 1;
                history.is_unreached = true;
                history.tried.push(target.id);
                if relay::is_due(shared, call) || history.tried.len() > MAX_REJECTIONS as usize {
                    return Err(final_refusal(history));
                }
            }
            Err(Failure::Rejected { misdirected }) => {
                log_rejected(shared, call, &target.id, misdirected);
                history.rejections += 1;
                // An engine may load the model soon. Otherwise another server has the address.
                let is_replaced = misdirected && call.spec.model.is_none();
                if is_replaced {
                    shared.server_failed(&target.id);
                }
                if !misdirected || is_replaced {
                    history.tried.push(target.id);
                }
                if history.rejections >= MAX_REJECTIONS {
                    return Err(final_refusal(history));
                }
            }
            Err(Failure::Unknown { reason, broken }) => {
                // It isn't known whether the server has run the request.
                log_broken(shared, call, &target.id, &reason);
                history.may_have_run.push(target.id.clone());
                history.tried.push(target.id);
                if let Some(broken) = broken {
                    quarantine::examine(shared, call, &broken, history).await;
                }
                if !call.route.repeatable() || place.is_last || out_of_time(call) {
                    return Err(final_refusal(history));
                }
            }
        }
    }
}

/// Whether the request may be sent to a server: always at first, and again within the retry budget
/// of its service.
async fn may_send(shared: &Shared, call: &Call, history: &mut History) -> bool {
    if history.sends > 0 {
        return may_retry(shared, call).await;
    }
    if !history.is_counted {
        history.is_counted = true;
        let mut state = shared.state();
        let dispatcher = &mut state.dispatcher;
        dispatcher.record_request(clock::boottime_ms(), &call.spec.service);
    }
    true
}

/// Whether the server may not get the request any more, after the request waited for its turn.
fn is_barred(shared: &Shared, call: &Call, target: &Target, history: &History) -> bool {
    let now = clock::boottime_ms();
    let state = shared.state();
    let bar = state
        .dispatcher
        .bar(now, &call.spec, &target.id, &history.tried);
    drop(state);
    if let Some(bar) = bar {
        tracing::info!(event = "barred", id = %call.id, server = %target.id, reason = bar.name());
    }
    bar.is_some()
}

/// Whether the retry budget allows a retry now, or as soon as the leader has responded to a request
/// for permits.
async fn may_retry(shared: &Shared, call: &Call) -> bool {
    let service = &call.spec.service;
    let mut changes = shared.state_changes.subscribe();
    loop {
        let (answer, usage) = {
            let now = clock::boottime_ms();
            let mut state = shared.state();
            let answer = state.dispatcher.try_retry(now, service);
            let usage = state.dispatcher.retry_usage(now, service);
            shared.notify_leader(&state);
            (answer, usage)
        };
        if answer != permit::Answer::Pending {
            let allowed = answer == permit::Answer::Allowed;
            tracing::info!(event = "retry", id = %call.id, %service, allowed, requests = usage.requests,
                retries = usage.retries, permits = usage.permits);
            return allowed;
        }
        if out_of_time(call) {
            return false;
        }
        let recheck = Duration::from_millis(PERMIT_RECHECK_MS);
        // A change and the timeout both lead to another check.
        let _ = tokio::time::timeout(recheck, changes.changed()).await;
    }
}

fn log_sent(shared: &Shared, call: &Call, target: &Target, history: &History) {
    let load = shared
        .state()
        .dispatcher
        .load_tracker()
        .total_at(&target.id);
    let waited_ms = clock::boottime_ms().saturating_sub(call.arrived_at);
    tracing::info!(event = "sent", id = %call.id, server = %target.id, software = %target.software, address = %target.address, route = %call.route.name,
        service = %call.spec.service, model = call.spec.model.as_deref(), adapter = call.spec.adapter.as_deref(), load, send = history.sends, waited_ms);
}

/// Logs a rejection with what this router knows of the server's requests: all, and those of other routers.
fn log_rejected(shared: &Shared, call: &Call, server: &Name, misdirected: bool) {
    let mut state = shared.state();
    let tracker = state.dispatcher.load_tracker();
    let (load, others) = (tracker.total_at(server), tracker.others_at(server));
    drop(state);
    tracing::info!(event = "rejected", id = %call.id, %server, misdirected, load, others);
}

/// Logs an attempt that brought no response and of which it isn't known whether the request ran.
fn log_broken(shared: &Shared, call: &Call, server: &Name, reason: &str) {
    let keys = call.keys_text(&*shared.dialect);
    tracing::info!(event = "unknown", id = %call.id, %server, reason, keys);
}

/// The refusal of a request that is not sent again: [`Cause::Unknown`] if a server may have run it,
/// and [`Cause::Rejected`] otherwise.
pub(super) fn final_refusal(history: &History) -> Refusal {
    history.refusal(Cause::Rejected, REJECTED_RETRY_AFTER_MS)
}

/// Whether too little time is left for another attempt.
fn out_of_time(call: &Call) -> bool {
    clock::boottime_ms() + DEADLINE_RESERVE_MS >= call.spec.start_by
}

/// Relays a response, as a stream or once it has been read completely. If a response can't be
/// relayed, the request is sent again where the route allows it. The log event `cut` states why it
/// can't be relayed; [`read_whole`] lists the reasons.
async fn deliver(
    shared: &Arc<Shared>,
    call: &mut Arc<Call>,
    mut opened: OpenResponse,
    history: &mut History,
) -> Result<Response<Body>, Refusal> {
    loop {
        let succeeded = opened.response.status().is_success();
        if call.route.streams() && succeeded && opened.confirmed {
            return Ok(stream::relay(shared, call, opened, history));
        }
        let reason = match read_whole(shared, call, opened, history).await {
            Ok(response) => return Ok(response),
            Err(reason) => reason,
        };
        tracing::info!(event = "cut", id = %call.id, reason);
        let possible_runs = u32::try_from(history.may_have_run.len()).unwrap_or(u32::MAX);
        let may_retry =
            call.route.repeatable() && possible_runs < call.route.attempts && !out_of_time(call);
        let deployment = shared.deployment().filter(|_| may_retry);
        let Some(deployment) = deployment else {
            return Err((Cause::Unknown, None));
        };
        opened = send_until_answered(shared, call, &deployment, history).await?;
    }
}

/// Reads a response that isn't a stream. An error states why the response can't be relayed: it is
/// incomplete, it is a success without the header that confirms that the request ran, it is a server
/// error and the request may run again, or its status promises that the request has not run although
/// the server didn't say so.
async fn read_whole(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    opened: OpenResponse,
    history: &mut History,
) -> Result<Response<Body>, String> {
    let OpenResponse {
        response,
        confirmed,
        connection,
        mut running,
        target,
    } = opened;
    let deadline = Instant::now() + call.time_left();
    let (parts, body) = response.into_parts();
    history.may_have_run.push(target.id.clone());
    history.tried.push(target.id.clone());
    if parts.status.is_success() && !confirmed {
        // The response isn't relayed, so its body isn't read and its connection is closed.
        return Err(
            "a success response without the header that confirms that the request ran".into(),
        );
    }
    let body = answer::read_body_within(&shared.body_budget, body, deadline).await;
    if body.is_ok() {
        running.complete();
    }
    let incarnation = running.incarnation;
    drop(running);
    let body = match body {
        Ok(body) => body,
        Err(reason) => {
            shared.server_failed(&target.id);
            let server = target;
            let broken = Broken {
                server,
                incarnation,
            };
            quarantine::examine(shared, call, &broken, history).await;
            return Err(reason);
        }
    };
    if let Some(trial) = &history.trial {
        trial.begun();
    }
    let possible_runs = u32::try_from(history.may_have_run.len()).unwrap_or(u32::MAX);
    let may_run_again = call.route.repeatable() && possible_runs < call.route.attempts;
    let retried = parts.status.is_server_error() && may_run_again;
    if retried || promises_not_run(parts.status) {
        shared.server_failed(&target.id);
        attempt::return_connection(shared, &target.address, connection, None);
        return Err(format!(
            "{} responded with status {}",
            target.id, parts.status
        ));
    }
    shared.state().dispatcher.succeeded(&target.id);
    attempt::return_connection(shared, &target.address, connection, None);
    let mut response = http::held_response(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = answer::relayed_headers(&parts.headers);
    Ok(response)
}

/// Names for a log line, separated by spaces; `None` if there are none, so that the line has no such field.
fn joined(names: &[Name]) -> Option<String> {
    (!names.is_empty()).then(|| names.join(" "))
}
