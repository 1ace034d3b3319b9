//! Sends the planner's commands to engines and polls their reports.
//!
//! Only the leader does so, and only while [`Status::leads`](lovageplank_control::Status::leads)
//! holds: the voter has published recently that a majority acknowledges this leader.

use super::Shared;
use crate::dialect::EngineCall;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use lovageplank_core::consensus::Term;
use lovageplank_core::fleet::placement::{Answer, Command, StoreEvent};
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_process::clock;
use lovageplank_router::answer;
use lovageplank_router::decision::Failure;
use lovageplank_router::dispatch::{self, Route};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time between two plans, in milliseconds; events wake the planner earlier.
const PLAN_INTERVAL_MS: u64 = 60;
/// Part of the time that the planner takes at most, one in so many. The rest is for links, reads and reports, which
/// run on the same thread.
const PLAN_TIME_DIVISOR: u32 = 4;
/// Longest pause after a plan, whatever the plan took, in milliseconds: an order leaves within 200 ms of its demand.
const PLAN_PAUSE_MAX_MS: u64 = 100;
/// Milliseconds for a call to an engine, from connecting to the end of the answer. After this
/// timeout it isn't known whether the engine carries out a command that was sent.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Milliseconds to open a connection to an engine. After this timeout the call counts as not sent.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Largest answer of an engine, in bytes; a report names at most some thousand models and adapters.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Plans and sends commands until the process stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut wait_ms = PLAN_INTERVAL_MS;
    while !shared.stop.is_cancelled() {
        let timer = tokio::time::sleep(Duration::from_millis(wait_ms));
        tokio::select! {
            () = shared.planner_wake.notified() => {}
            () = timer => {}
        }
        let began = Instant::now();
        plan(&shared);
        let pause = pause_after(began.elapsed());
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        wait_ms = next_plan_ms(&shared);
    }
}

/// The time after a plan in which there is no other, however many events ask for one.
fn pause_after(plan: Duration) -> Duration {
    // Timers count whole milliseconds, and a short plan takes nothing from others.
    let pause = plan * (PLAN_TIME_DIVISOR - 1);
    let pause = Duration::from_millis(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX));
    pause.min(Duration::from_millis(PLAN_PAUSE_MAX_MS))
}

/// Milliseconds until the next plan, if no event comes before: until the next load ends, at most
/// [`PLAN_INTERVAL_MS`].
fn next_plan_ms(shared: &Shared) -> u64 {
    let state = shared.state();
    let planner = state.planner.as_ref();
    let load_end_ms = planner.and_then(|p| p.next_load_end_ms(clock::boottime_ms()));
    load_end_ms
        .unwrap_or(PLAN_INTERVAL_MS)
        .clamp(1, PLAN_INTERVAL_MS)
}

fn plan(shared: &Arc<Shared>) {
    let now = clock::boottime_ms();
    let mut state = shared.state();
    let term = state.term;
    let deployment = state.deployment.clone();
    let (Some(planner), Some(deployment)) = (&mut state.planner, deployment) else {
        return;
    };
    if !shared.leadership_status.leads(term) {
        return;
    }
    let commands = planner.decide(now, &deployment);
    let polls = planner.due_polls(now, &deployment);
    let store_events = planner.take_store_events();
    state.send_loaded_models();
    state.send_store_loads(now);
    state.record_deferrals(now);
    state.record_starvation(now);
    drop(state);
    store_events.iter().for_each(log_store_event);
    for command in commands {
        // `expected` is the number of commands that the engine must have accepted before this one.
        tracing::info!(event = "command", server = %command.server, op = ?command.op, expected = command.expected, term = term.0);
        tokio::spawn(send(shared.clone(), command, term));
    }
    for (id, address) in polls {
        tokio::spawn(poll(shared.clone(), id, address));
    }
}

fn log_store_event(event: &StoreEvent) {
    match event {
        StoreEvent::Begun {
            engine,
            model,
            purpose,
            holders,
            missing,
            concurrent,
            limit,
        } => {
            let purpose = purpose.name();
            metrics::counter!("lovageplank_store_loads_total", "purpose" => purpose).increment(1);
            tracing::info!(event = "store_load_begun", server = %engine, %model, purpose, concurrent, limit,
                loaded_at = holders.loaded, cached_at = holders.cached, missing);
        }
        StoreEvent::Ended {
            engine,
            model,
            took_ms,
            min_ms,
            concurrent,
            limit,
        } => {
            tracing::info!(event = "store_load_ended", server = %engine, %model, took_ms, min_ms, concurrent, limit);
        }
    }
}

async fn send(shared: Arc<Shared>, command: Command, term: Term) {
    let leader = shared.config.common.instance.clone();
    let call = shared.dialect.command_call(&command, &leader, term.0);
    let called = call_engine(&shared, &command.server, &command.address, call, Some(term)).await;
    let answer = match called {
        Ok((status, _)) => shared.dialect.command_answer(status),
        Err((Answer::Refused, reason)) => {
            tracing::info!(event = "command_not_sent", server = %command.server, reason);
            Answer::Refused
        }
        Err((unknown, reason)) => {
            tracing::info!(event = "command_unanswered", server = %command.server, reason);
            unknown
        }
    };
    let name = format!("{answer:?}").to_lowercase();
    metrics::counter!("lovageplank_commands_total", "answer" => name).increment(1);
    tracing::info!(event = "command_answered", server = %command.server, op = ?command.op, ?answer);
    let mut state = shared.state();
    if let Some(planner) = &mut state.planner {
        planner.command_answered(clock::boottime_ms(), &command, answer);
    }
    drop(state);
    shared.planner_wake.notify_one();
}

async fn poll(shared: Arc<Shared>, id: Name, address: Name) {
    let call = shared.dialect.report_call();
    let called = call_engine(&shared, &id, &address, call, None).await;
    if let Some(planner) = &mut shared.state().planner {
        planner.poll_ended(&id);
    }
    let report = match called {
        Ok((StatusCode::OK, body)) => shared.dialect.parse_report(&body),
        Ok((status, _)) => Err(format!("the engine responded with status {status}")),
        Err((_, reason)) => Err(reason),
    };
    match report {
        Ok(report) => {
            let mut state = shared.state();
            if let Some(planner) = &mut state.planner {
                planner.apply_report(clock::boottime_ms(), &id, &report);
            }
            drop(state);
            shared.planner_wake.notify_one();
        }
        Err(reason) => {
            tracing::info!(event = "no_report", server = %id, reason);
            shared.planner_wake.notify_one();
        }
    }
}

/// The answer that a failure counts as, and the reason.
fn unsent(failure: Failure) -> (Answer, String) {
    let answer = match failure.outcome {
        Outcome::NotRun => Answer::Refused,
        _ => Answer::Unknown,
    };
    (answer, failure.message)
}

/// Sends a call on a connection of its own and reads the answer, which carries no id: on a
/// connection with an earlier call, a late or repeated answer to that one could stand where the
/// answer to this one is expected. With a `term`, the call is sent only while this process leads in it.
/// An error has the reason and one of two classes: [`Answer::Refused`] if the call was not sent, and
/// [`Answer::Unknown`] if the engine may have received it. A call that was not sent counts like one that
/// the engine refused: the engine certainly doesn't carry out either.
async fn call_engine(
    shared: &Shared,
    server: &Name,
    address: &Name,
    call: EngineCall,
    term: Option<Term>,
) -> Result<(StatusCode, Bytes), (Answer, String)> {
    let _call = shared.engine_calls.acquire().await;
    let deadline = Instant::now() + Duration::from_millis(ANSWER_TIMEOUT_MS);
    let destination = Route {
        server: server.clone(),
        address: address.clone(),
        idle_ms: 0,
        connect_ms: CONNECT_TIMEOUT_MS,
        until: deadline,
    };
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = hyper::Uri::from_static(call.path);
    *request.headers_mut() = call.headers;
    if let Ok(host) = address.parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    let connection = dispatch::open(&dispatch::Tcp, &destination).await;
    let connection = connection.map_err(unsent)?;
    // Opening may have taken a while, and a later leader may order the engine by now.
    if term.is_some_and(|term| !shared.leadership_status.leads(term)) {
        return Err((Answer::Refused, "this process doesn't lead any more".into()));
    }
    let sent = dispatch::send_on(connection, &destination, request).await;
    // The connection is closed when this function returns.
    let (response, _connection) = sent.map_err(unsent)?;
    let status = response.status();
    let body = answer::read_short_body(response.into_body(), deadline, MAX_ANSWER_BYTES)
        .await
        .map_err(|reason| (Answer::Unknown, reason))?;
    Ok((status, body))
}
