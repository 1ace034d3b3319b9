//! Handles one request of a caller, from its arrival to its response.

use super::attempt::{self, Failure, OpenResponse, Place, attempt};
use super::dispatch::select_server;
use super::fingerprint::fingerprint;
use super::listener::{Body, full_body};
use super::quarantine::{Broken, Trial};
use super::refusal::{Cause, promises_not_run};
use super::{Shared, quarantine, stream};
use crate::dialect::{Dialect, RequestHead};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, Response, Uri};
use lovageplank_core::fleet::deployment::{Deployment, Limits, Route};
use lovageplank_core::fleet::dispatch::{DEADLINE_RESERVE_MS, RequestSpec, Target};
use lovageplank_core::fleet::permit;
use lovageplank_core::fleet::quarantine::Key;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::http::{self, BodyError};
use lovageplank_router::answer;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::Instant;

/// A request is refused as soon as servers have rejected it this many times. It is also refused
/// when an attempt wasn't sent and [`History::tried`] then has more servers than this number.
const MAX_REJECTIONS: u32 = 4;
/// Milliseconds after which the caller may retry a request that servers rejected.
const REJECTED_RETRY_AFTER_MS: u64 = 300;
/// Milliseconds after which the caller may retry when this router has no document yet.
const NO_DOCUMENT_RETRY_AFTER_MS: u64 = 500;

/// Milliseconds after which it is checked again whether a retry that waits for a permit is allowed.
const PERMIT_RECHECK_MS: u64 = 10;

/// A caller's request and its route.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: RequestHead,
    /// Id of the request; never empty.
    pub(super) id: Name,
    pub(super) route: Arc<Route>,
    pub(super) spec: RequestSpec,
    /// The parts of its prompt that other requests may share, in the order of the prompt.
    pub(super) parts: Arc<[Key]>,
    /// See [`Call::keys`].
    keys: OnceLock<Vec<Key>>,
    pub(super) arrived_at: Millis,
    /// Time by which the response must have ended.
    pub(super) deadline: Millis,
}

impl Call {
    /// What it has in common with other requests, from the most common to the rarest: the parts of its
    /// prompt, and the whole request. They are computed when they are needed first, since that reads the
    /// body.
    pub(super) fn keys(&self, dialect: &dyn Dialect) -> &[Key] {
        self.keys.get_or_init(|| {
            let request = Key::Request(fingerprint(dialect, self));
            self.parts.iter().copied().chain([request]).collect()
        })
    }

    /// The keys, for logs.
    pub(super) fn keys_text(&self, dialect: &dyn Dialect) -> String {
        let keys: Vec<String> = self.keys(dialect).iter().map(Key::to_string).collect();
        keys.join(", ")
    }
}

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
    is_counted: bool,
    /// Attempts that reached a server.
    pub(super) sends: u32,
    /// Attempts that servers rejected.
    pub(super) rejections: u32,
    /// Whether a server ended before it began to answer the request.
    pub(super) ended_server: bool,
    /// The trial of the latest attempt, if it was one.
    pub(super) trial: Option<Arc<Trial>>,
}

/// Handles a request and logs its outcome.
pub(super) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived_at = clock::boottime_ms();
    let (call, deployment) = match read(&shared, request, arrived_at).await {
        Ok(read) => read,
        Err((cause, retry_after_ms)) => return cause.response(retry_after_ms),
    };
    let call = Arc::new(call);
    let mut history = History::default();
    if quarantine::check(&shared, &call, &history).is_ok() {
        shared.state().dispatcher.load_tracker().arrived(&call.spec);
    }
    let mut unanswered = Unanswered(Some(call.clone()));
    let response = match send_until_answered(&shared, &call, &deployment, &mut history).await {
        Ok(opened) => deliver(&shared, &call, opened, &mut history).await,
        Err(refusal) => Err(refusal),
    };
    unanswered.0 = None;
    let took_ms = clock::boottime_ms().saturating_sub(arrived_at);
    record_outcome(&call, &response, took_ms);
    match response {
        Ok(response) => {
            tracing::info!(event = "answered", id = %call.id, route = %call.route.name, status = response.status().as_u16(),
                sends = history.sends, rejections = history.rejections, took_ms, version = deployment.version);
            response
        }
        Err((cause, retry_after_ms)) => {
            // `again_ms` is the time after which the caller may retry.
            tracing::info!(event = "refused", id = %call.id, route = %call.route.name, cause = cause.name(), again_ms = ?retry_after_ms,
                sends = history.sends, rejections = history.rejections, tried = ?history.tried, took_ms, version = deployment.version);
            cause.response(retry_after_ms)
        }
    }
}

/// A request that has no response yet. If it is dropped, the caller has left; the log says so.
struct Unanswered(Option<Arc<Call>>);

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some(call) = &self.0 {
            let took_ms = clock::boottime_ms().saturating_sub(call.arrived_at);
            tracing::info!(event = "caller_left", id = %call.id, route = %call.route.name, took_ms);
        }
    }
}

/// Why a request is refused, and the milliseconds after which the caller may retry.
pub(super) type Refusal = (Cause, Option<u64>);

/// Records metrics of a request: its outcome and the time to the response head.
fn record_outcome(call: &Call, response: &Result<Response<Body>, Refusal>, took_ms: u64) {
    let kind = call.route.kind.name();
    let outcome = response.as_ref().map_or("refused", |_| "answered");
    metrics::counter!("lovageplank_entry_requests_total", "kind" => kind, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("lovageplank_entry_head_seconds", "kind" => kind)
        .record(Duration::from_millis(took_ms));
}

/// Reads a request completely and finds its route.
async fn read(
    shared: &Shared,
    request: Request<Incoming>,
    arrived_at: Millis,
) -> Result<(Call, Arc<Deployment>), Refusal> {
    let Some(deployment) = shared.deployment() else {
        return Err((Cause::NoDocument, Some(NO_DOCUMENT_RETRY_AFTER_MS)));
    };
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    let Some(route) = deployment.route(host, parts.uri.path()).cloned() else {
        tracing::info!(
            event = "no_route",
            host,
            path = parts.uri.path(),
            version = deployment.version
        );
        return Err((Cause::NoRoute, None));
    };
    let head = shared.dialect.request_head(&parts.headers);
    let Some(id) = head.id.as_deref().filter(|id| !id.is_empty()) else {
        return Err((Cause::NoId, None));
    };
    let id = Name::from(id);
    let mut headers = answer::relayed_headers(&parts.headers);
    if let Some(host) = parts.headers.get(header::HOST) {
        headers.insert(header::HOST, host.clone());
    }
    let body = http::read_body(body, body_limits(&deployment.limits))
        .await
        .map_err(|error| match error {
            BodyError::TooLarge => (Cause::TooLarge, None),
            BodyError::TooSlow => (Cause::SlowBody, None),
            BodyError::Broken => (Cause::BadBody, None),
        })?;
    let timeout_ms = head.timeout_ms.unwrap_or(route.timeout_ms);
    let timeout_ms = timeout_ms.min(route.timeout_ms);
    let spec = RequestSpec {
        service: route.service(rand::random()).clone(),
        model: head.model.clone(),
        adapter: head.adapter.clone(),
        prompt_prefix: head.prefix,
        objective_at: arrived_at + route.objective_ms,
        // `patience_ms` is how long a caller waits for the first part of a response. No server is
        // selected for the request shortly before `start_by` or later.
        start_by: arrived_at + timeout_ms.min(route.patience_ms),
    };
    let parts_of_prompt = shared.dialect.prompt_parts(&parts.headers);
    let call = Call {
        parts: parts_of_prompt.into_iter().map(Key::Part).collect(),
        keys: OnceLock::new(),
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        head,
        id,
        route,
        spec,
        arrived_at,
        deadline: arrived_at + timeout_ms,
    };
    Ok((call, deployment))
}

fn body_limits(limits: &Limits) -> http::Limits {
    http::Limits {
        body_bytes: limits.body_bytes,
        // The whole body must arrive within the time for which a connection may be idle.
        body_ms: limits.idle_ms,
        ..http::Limits::default()
    }
}

/// Sends the request to one server after another until one responds or no further attempt is
/// allowed.
pub(super) async fn send_until_answered(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    deployment: &Deployment,
    history: &mut History,
) -> Result<OpenResponse, Refusal> {
    loop {
        quarantine::check(shared, call, history)?;
        let target = select_server(shared, call, deployment, history).await?;
        quarantine::admit(shared, call, history).await?;
        if !may_send(shared, call, history).await {
            return Err(final_refusal(history));
        }
        history.sends += 1;
        log_sent(shared, call, &target, history);
        let possible_runs = u32::try_from(history.may_have_run.len()).unwrap_or(u32::MAX);
        let place = Place {
            is_first: history.sends == 1,
            is_last: possible_runs + 1 >= call.route.attempts,
        };
        let last_event_id = call.head.last_event_id.as_deref();
        match attempt(shared, call, target.clone(), last_event_id, place).await {
            Ok(opened) => return Ok(opened),
            Err(Failure::NotSent(reason)) => {
                tracing::info!(event = "not_sent", id = %call.id, server = %target.id, reason);
                // No server received the request, so it doesn't count as sent.
                history.sends -= 1;
                history.tried.push(target.id);
                if history.tried.len() > MAX_REJECTIONS as usize {
                    return Err(final_refusal(history));
                }
            }
            Err(Failure::Rejected { misdirected }) => {
                tracing::info!(event = "rejected", id = %call.id, server = %target.id, misdirected);
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
        let recheck = Duration::from_millis(PERMIT_RECHECK_MS);
        // A change and the timeout both lead to another check; an answer isn't pending for long.
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
    tracing::info!(event = "sent", id = %call.id, server = %target.id, address = %target.address, route = %call.route.name,
        service = %call.spec.service, model = ?call.spec.model, adapter = ?call.spec.adapter, load, send = history.sends, waited_ms);
}

/// Logs an attempt that brought no response and of which it isn't known whether the request ran.
fn log_broken(shared: &Shared, call: &Call, server: &Name, reason: &str) {
    let keys = call.keys_text(&*shared.dialect);
    tracing::info!(event = "unknown", id = %call.id, %server, reason, keys);
}

/// The refusal of a request that is not sent again: [`Cause::Unknown`] if a server may have run it,
/// and [`Cause::Rejected`] otherwise.
pub(super) fn final_refusal(history: &History) -> Refusal {
    if history.may_have_run.is_empty() {
        (Cause::Rejected, Some(REJECTED_RETRY_AFTER_MS))
    } else {
        (Cause::Unknown, None)
    }
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
    call: &Arc<Call>,
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
    let now = clock::boottime_ms();
    let deadline = Instant::now() + Duration::from_millis(call.deadline.saturating_sub(now));
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
    let mut response = Response::new(full_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = answer::relayed_headers(&parts.headers);
    Ok(response)
}
