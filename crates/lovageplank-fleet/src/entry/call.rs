//! One request, from its arrival to its answer.

use super::attempt::{self, Begun, Failure, attempt};
use super::front::{Body, whole};
use super::place::place;
use super::refusal::Cause;
use super::{Shared, stream};
use crate::dialect::Head;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, Response, Uri};
use lovageplank_core::fleet::deployment::{Deployment, Limits, Route};
use lovageplank_core::fleet::dispatch::{DEADLINE_RESERVE_MS, RequestSpec, Target};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::http::{self, BodyError};
use lovageplank_router::answer;
use std::time::Duration;
use tokio::time::Instant;

/// Times that a request may be rejected before it is given up.
const REJECTIONS_MAX: u32 = 4;
/// Milliseconds after which a request that servers rejected may come back.
const REJECTED_AGAIN_MS: u64 = 300;
/// Milliseconds after which a request may come back when no document is known.
const NO_DOCUMENT_AGAIN_MS: u64 = 500;

/// A request on its way.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: Head,
    pub(super) route: Arc<Route>,
    pub(super) ask: RequestSpec,
    pub(super) arrived: Millis,
    /// When the answer must have ended.
    pub(super) deadline: Millis,
}

/// What has happened to a request so far.
#[derive(Clone, Default)]
pub(super) struct History {
    /// Servers that may have run it.
    pub(super) ran: Vec<Name>,
    /// Servers that it was sent to or couldn't reach.
    pub(super) tried: Vec<Name>,
    /// Sends that servers got.
    pub(super) sends: u32,
    /// Sends that servers rejected.
    pub(super) rejections: u32,
}

/// Serves a request.
pub(super) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::boottime_ms();
    let (call, deployment) = match read(&shared, request, arrived).await {
        Ok(read) => read,
        Err((cause, again_ms)) => return cause.answer(again_ms),
    };
    shared.state().dispatcher.load().arrived(&call.ask);
    let call = Arc::new(call);
    let mut history = History::default();
    let response = match run(&shared, &call, &deployment, &mut history).await {
        Ok(begun) => deliver(&shared, &call, begun, &mut history).await,
        Err(refused) => Err(refused),
    };
    let took_ms = clock::boottime_ms().saturating_sub(arrived);
    count(&call, &response, took_ms);
    match response {
        Ok(response) => {
            tracing::info!(event = "answered", id = call.head.id, route = %call.route.name, status = response.status().as_u16(),
                sends = history.sends, rejections = history.rejections, took_ms, version = deployment.version);
            response
        }
        Err((cause, again_ms)) => {
            tracing::info!(event = "refused", id = call.head.id, route = %call.route.name, cause = cause.name(), again_ms = ?again_ms,
                sends = history.sends, rejections = history.rejections, tried = ?history.tried, took_ms, version = deployment.version);
            cause.answer(again_ms)
        }
    }
}

/// Why a request got no answer, and when it may come back.
pub(super) type Refused = (Cause, Option<u64>);

/// Counts a request and the time to the head of its answer.
fn count(call: &Call, response: &Result<Response<Body>, Refused>, took_ms: u64) {
    let kind = call.route.kind.name();
    let outcome = response.as_ref().map_or("refused", |_| "answered");
    metrics::counter!("lovageplank_entry_requests_total", "kind" => kind, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("lovageplank_entry_head_seconds", "kind" => kind)
        .record(Duration::from_millis(took_ms));
}

/// Reads a request and finds its route.
async fn read(
    shared: &Shared,
    request: Request<Incoming>,
    arrived: Millis,
) -> Result<(Call, Arc<Deployment>), Refused> {
    let Some(deployment) = shared.deployment() else {
        return Err((Cause::NoDocument, Some(NO_DOCUMENT_AGAIN_MS)));
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
    let head = shared.dialect.head(&parts.headers);
    let mut headers = answer::pass_on(&parts.headers);
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
    let wait_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
    let wait_ms = wait_ms.min(route.timeout_ms);
    let ask = RequestSpec {
        service: route.service(rand::random()).clone(),
        model: head.model.clone(),
        adapter: head.adapter.clone(),
        prefix: head.prefix,
        start_by: arrived + wait_ms.min(route.patience_ms),
    };
    let call = Call {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        head,
        route,
        ask,
        arrived,
        deadline: arrived + wait_ms,
    };
    Ok((call, deployment))
}

fn body_limits(limits: &Limits) -> http::Limits {
    http::Limits {
        body_bytes: limits.body_bytes,
        body_ms: limits.idle_ms,
        ..http::Limits::default()
    }
}

/// Finds a server that begins to answer.
pub(super) async fn run(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    deployment: &Deployment,
    history: &mut History,
) -> Result<Begun, Refused> {
    loop {
        let target = place(shared, call, deployment, history).await?;
        let may_send = {
            let now = clock::boottime_ms();
            let mut state = shared.state();
            if history.sends == 0 {
                state.dispatcher.record_request(now, &call.ask.service);
                true
            } else {
                let instances = state.roster.router_count();
                state
                    .dispatcher
                    .try_retry(now, &call.ask.service, instances)
            }
        };
        if !may_send {
            return Err(given_up(history));
        }
        history.sends += 1;
        log_sent(shared, call, &target, history);
        let ran = u32::try_from(history.ran.len()).unwrap_or(u32::MAX);
        let last = ran + 1 >= call.route.attempts;
        match attempt(
            shared,
            call,
            target.clone(),
            call.head.last_event.as_deref(),
            last,
        )
        .await
        {
            Ok(begun) => return Ok(begun),
            Err(Failure::NotSent(reason)) => {
                tracing::info!(event = "not_sent", id = call.head.id, server = %target.id, reason);
                // No server got it, so it doesn't count as a send.
                history.sends -= 1;
                history.tried.push(target.id);
                if history.tried.len() > REJECTIONS_MAX as usize {
                    return Err(given_up(history));
                }
            }
            Err(Failure::Rejected { misdirected }) => {
                tracing::info!(event = "rejected", id = call.head.id, server = %target.id, misdirected);
                history.rejections += 1;
                if !misdirected {
                    history.tried.push(target.id);
                }
                if history.rejections >= REJECTIONS_MAX {
                    return Err(given_up(history));
                }
            }
            Err(Failure::Unknown(reason)) => {
                tracing::info!(event = "unknown", id = call.head.id, server = %target.id, reason);
                history.ran.push(target.id.clone());
                history.tried.push(target.id);
                if !call.route.repeatable() || last || is_late(call) {
                    return Err(given_up(history));
                }
            }
        }
    }
}

fn log_sent(shared: &Shared, call: &Call, target: &Target, history: &History) {
    let load = shared.state().dispatcher.load().total_at(&target.id);
    let waited_ms = clock::boottime_ms().saturating_sub(call.arrived);
    tracing::info!(event = "sent", id = call.head.id, server = %target.id, address = %target.address, route = %call.route.name,
        service = %call.ask.service, model = ?call.ask.model, adapter = ?call.ask.adapter, load, send = history.sends, waited_ms);
}

/// The final answer to a request that isn't tried any more.
pub(super) fn given_up(history: &History) -> Refused {
    if history.ran.is_empty() {
        (Cause::Rejected, Some(REJECTED_AGAIN_MS))
    } else {
        (Cause::Unknown, None)
    }
}

/// Whether there is no time for another attempt.
fn is_late(call: &Call) -> bool {
    clock::boottime_ms() + DEADLINE_RESERVE_MS >= call.ask.start_by
}

/// Passes an answer on, whole or as a stream.
async fn deliver(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    mut begun: Begun,
    history: &mut History,
) -> Result<Response<Body>, Refused> {
    loop {
        let succeeds = begun.response.status().is_success();
        if call.route.streams() && succeeds && begun.marked {
            return Ok(stream::relay(shared, call, begun, history));
        }
        let reason = match read_whole(shared, call, begun, history).await {
            Ok(response) => return Ok(response),
            Err(reason) => reason,
        };
        tracing::info!(event = "cut", id = call.head.id, reason);
        let ran = u32::try_from(history.ran.len()).unwrap_or(u32::MAX);
        let again = call.route.repeatable() && ran < call.route.attempts && !is_late(call);
        let deployment = shared.deployment().filter(|_| again);
        let Some(deployment) = deployment else {
            return Err((Cause::Unknown, None));
        };
        begun = run(shared, call, &deployment, history).await?;
    }
}

/// Reads an answer that isn't a stream; an error means that it isn't whole or not good.
async fn read_whole(
    shared: &Arc<Shared>,
    call: &Call,
    begun: Begun,
    history: &mut History,
) -> Result<Response<Body>, String> {
    let Begun {
        response,
        marked,
        connection,
        slot,
        target,
    } = begun;
    let now = clock::boottime_ms();
    let until = Instant::now() + Duration::from_millis(call.deadline.saturating_sub(now));
    let (parts, body) = response.into_parts();
    history.ran.push(target.id.clone());
    history.tried.push(target.id.clone());
    if parts.status.is_success() && !marked {
        // Nothing of it is passed on, so its rest isn't read, and its connection is closed.
        return Err("a success without the server's mark".into());
    }
    let body = answer::collect(body, until).await;
    drop(slot);
    let body = body.inspect_err(|_| {
        let mut state = shared.state();
        state.dispatcher.failed(clock::boottime_ms(), &target.id);
    })?;
    let ran = u32::try_from(history.ran.len()).unwrap_or(u32::MAX);
    if parts.status.is_server_error() && call.route.repeatable() && ran < call.route.attempts {
        shared
            .state()
            .dispatcher
            .failed(clock::boottime_ms(), &target.id);
        attempt::give_back(shared, &target.address, connection).await;
        return Err(format!("{} answered {}", target.id, parts.status));
    }
    shared.state().dispatcher.succeeded(&target.id);
    attempt::give_back(shared, &target.address, connection).await;
    let mut response = Response::new(whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = answer::pass_on(&parts.headers);
    Ok(response)
}
