//! Faults of backend servers while they handle a request. Each row states what the caller gets and
//! how often the request runs.

use crate::backend::{Backend, Behavior, EVENTS};
use crate::client::{self, Answer};
use crate::control::{self, TestRouter};
use Behavior::*;
use std::time::{Duration, Instant};

/// How the request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// A completion that may run more than once.
    Idempotent,
    /// A completion that may run only once.
    NotIdempotent,
    /// A streamed completion that may run more than once.
    Stream,
    /// A streamed completion that may run only once.
    StreamNotIdempotent,
    /// A call of a plain service that may run only once.
    ServiceNotIdempotent,
    /// A call of a plain service that may run more than once.
    ServiceIdempotent,
}

/// What the caller gets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The complete answer.
    Whole,
    /// A refusal with this status, code and value of `not_run`.
    Refusal(u16, &'static str, bool),
    /// The complete answer, or a refusal with `not_run` false: whether the request is sent before
    /// the fault depends on timing.
    WholeOrUnknown,
    /// This many events, then an error event and no end event.
    ErrorAfter(u64),
}

struct Row {
    name: &'static str,
    kind: Kind,
    /// Scripts of the servers in the router's failure domain and in another; `None` refuses
    /// connections.
    near: Option<&'static [Behavior]>,
    far: Option<&'static [Behavior]>,
    expected: Expected,
    /// Number of times that the request runs, at both servers together.
    runs: u32,
}

const fn row(
    name: &'static str,
    kind: Kind,
    near: Option<&'static [Behavior]>,
    far: Option<&'static [Behavior]>,
    expected: Expected,
    runs: u32,
) -> Row {
    Row {
        name,
        kind,
        near,
        far,
        expected,
        runs,
    }
}

const UNKNOWN: Expected = Expected::Refusal(504, "outcome_unknown", false);
const BROKE: Expected = Expected::Refusal(502, "backend_broke", false);
const UNREACHABLE: Expected = Expected::Refusal(503, "backend_unreachable", true);
const WHOLE: Option<&[Behavior]> = Some(&[]);

#[rustfmt::skip] // One row a line.
const ROWS: &[Row] = &[row("no fault", Kind::Idempotent, WHOLE, WHOLE, Expected::Whole, 1),
    row("no fault, chunked", Kind::Idempotent, Some(&[AnswerChunked]), WHOLE, Expected::Whole, 1),
    row("no fault, plain service", Kind::ServiceNotIdempotent, WHOLE, WHOLE, Expected::Whole, 1),
    row("refused connect", Kind::Idempotent, None, WHOLE, Expected::Whole, 1),
    row("refused connect, plain service", Kind::ServiceNotIdempotent, None, WHOLE, Expected::Whole, 1),
    row("refused connect everywhere", Kind::Idempotent, None, None, UNREACHABLE, 0),
    row("refused connect everywhere, plain service", Kind::ServiceNotIdempotent, None, None, UNREACHABLE, 0),
    row("reset at accept", Kind::Idempotent, Some(&[ResetAtAccept]), WHOLE, Expected::Whole, 1),
    row("reset at accept, plain service", Kind::ServiceNotIdempotent, Some(&[ResetAtAccept]), WHOLE, Expected::WholeOrUnknown, 1),
    row("reset at head", Kind::Idempotent, Some(&[ResetAtHead]), WHOLE, Expected::Whole, 1),
    row("reset at head, plain service", Kind::ServiceNotIdempotent, Some(&[ResetAtHead]), WHOLE, UNKNOWN, 0),
    row("reset after run", Kind::Idempotent, Some(&[ResetAfterRun]), WHOLE, Expected::Whole, 2),
    row("reset after run, not idempotent", Kind::NotIdempotent, Some(&[ResetAfterRun]), WHOLE, UNKNOWN, 1),
    row("reset after run, plain service", Kind::ServiceNotIdempotent, Some(&[ResetAfterRun]), WHOLE, UNKNOWN, 1),
    row("close after run, plain service", Kind::ServiceNotIdempotent, Some(&[CloseAfterRun]), WHOLE, UNKNOWN, 1),
    row("half an answer", Kind::Idempotent, Some(&[HalfAnswer]), WHOLE, Expected::Whole, 2),
    row("half an answer, not idempotent", Kind::NotIdempotent, Some(&[HalfAnswer]), WHOLE, BROKE, 1),
    row("half an answer, plain service", Kind::ServiceNotIdempotent, Some(&[HalfAnswer]), WHOLE, BROKE, 1),
    row("half an answer in chunks, plain service", Kind::ServiceNotIdempotent, Some(&[HalfChunked]), WHOLE, BROKE, 1),
    row("half an answer in chunks, idempotent plain service", Kind::ServiceIdempotent, Some(&[HalfChunked]), WHOLE, Expected::Whole, 2),
    row("no framing, plain service", Kind::ServiceNotIdempotent, Some(&[Unframed]), WHOLE, BROKE, 1),
    row("hang", Kind::Idempotent, Some(&[Hang]), WHOLE, UNKNOWN, 1),
    row("hang, plain service", Kind::ServiceNotIdempotent, Some(&[Hang]), WHOLE, UNKNOWN, 1),
    row("delayed, before the deadline", Kind::ServiceNotIdempotent, Some(&[DelayedAnswer(100)]), WHOLE, Expected::Whole, 1),
    row("delayed beyond the deadline", Kind::ServiceNotIdempotent, Some(&[DelayedAnswer(1_500)]), WHOLE, UNKNOWN, 1),
    row("answer to another request", Kind::Idempotent, Some(&[ForeignId]), WHOLE, Expected::Whole, 2),
    row("answer to another request, not idempotent", Kind::NotIdempotent, Some(&[ForeignId]), WHOLE, BROKE, 1),
    row("answer to another request, plain service", Kind::ServiceNotIdempotent, Some(&[ForeignId]), WHOLE, BROKE, 1),
    row("answer to another attempt", Kind::NotIdempotent, Some(&[ForeignAttempt]), WHOLE, BROKE, 1),
    row("not HTTP", Kind::Idempotent, Some(&[Garbage]), WHOLE, Expected::Whole, 2),
    row("not HTTP, plain service", Kind::ServiceNotIdempotent, Some(&[Garbage]), WHOLE, UNKNOWN, 1),
    row("model not loaded", Kind::NotIdempotent, Some(&[ModelNotLoaded]), WHOLE, Expected::Whole, 1),
    row("model not loaded anywhere, then loaded", Kind::NotIdempotent, Some(&[ModelNotLoaded]), Some(&[ModelNotLoaded]), Expected::Whole, 1),
    row("server leaves", Kind::NotIdempotent, Some(&[Leaving]), WHOLE, Expected::Whole, 1),
    row("server leaves, plain service", Kind::ServiceNotIdempotent, Some(&[Leaving]), WHOLE, Expected::Whole, 1),
    row("engine fails", Kind::Idempotent, Some(&[Fail]), WHOLE, Expected::Whole, 2),
    row("engine fails, not idempotent", Kind::NotIdempotent, Some(&[Fail]), WHOLE, BROKE, 1),
    row("status 000, plain service", Kind::ServiceNotIdempotent, Some(&[Status(0)]), WHOLE, UNKNOWN, 1),
    row("status 101, plain service", Kind::ServiceNotIdempotent, Some(&[Status(101)]), WHOLE, UNKNOWN, 1),
    row("status 600, plain service", Kind::ServiceNotIdempotent, Some(&[Status(600)]), WHOLE, UNKNOWN, 1),
    row("status 999, idempotent plain service", Kind::ServiceIdempotent, Some(&[Status(999)]), WHOLE, Expected::Whole, 2),
    row("status 999, engine", Kind::Idempotent, Some(&[Status(999)]), WHOLE, Expected::Whole, 2),
    row("reset, then half an answer", Kind::Idempotent, Some(&[ResetAfterRun]), Some(&[HalfAnswer]), Expected::Whole, 3),
    row("refused connect, then half an answer, plain service", Kind::ServiceNotIdempotent, None, Some(&[HalfAnswer]), BROKE, 1),
    row("model not loaded, then reset, not idempotent", Kind::NotIdempotent, Some(&[ModelNotLoaded]), Some(&[ResetAfterRun]), UNKNOWN, 1),
    row("half an answer everywhere", Kind::Idempotent, Some(&[HalfAnswer; 3]), Some(&[HalfAnswer; 3]), BROKE, 3),
    row("stream", Kind::Stream, Some(&[Stream(EVENTS)]), WHOLE, Expected::Whole, 1),
    row("stream breaks", Kind::Stream, Some(&[BrokenStream(3)]), Some(&[Stream(EVENTS)]), Expected::Whole, 2),
    row("stream breaks at once", Kind::Stream, Some(&[BrokenStream(0)]), Some(&[Stream(EVENTS)]), Expected::Whole, 2),
    row("stream ends early", Kind::Stream, Some(&[StreamWithoutEnd(3)]), Some(&[Stream(EVENTS)]), Expected::Whole, 2),
    row("engine ends a stream with an error", Kind::Stream, Some(&[ErrorStream(3)]), Some(&[Stream(EVENTS)]), Expected::Whole, 2),
    row("stream starts over", Kind::Stream, Some(&[BrokenStream(3)]), Some(&[RestartStream(EVENTS)]), Expected::Whole, 2),
    row("stream starts over differently", Kind::Stream, Some(&[BrokenStream(3)]), Some(&[RestartDifferentStream(EVENTS), RestartDifferentStream(EVENTS)]), Expected::ErrorAfter(3), 3),
    row("stream breaks twice", Kind::Stream, Some(&[BrokenStream(2), Stream(EVENTS)]), Some(&[BrokenStream(4), Stream(EVENTS)]), Expected::Whole, 3),
    row("stream breaks, not idempotent", Kind::StreamNotIdempotent, Some(&[BrokenStream(3)]), Some(&[Stream(EVENTS)]), Expected::ErrorAfter(3), 1),
    row("stream breaks, no other server", Kind::Stream, Some(&[BrokenStream(3), BrokenStream(3), BrokenStream(3)]), None, Expected::ErrorAfter(3), 2),
];

#[test]
fn request_path_faults() {
    let mut failures = Vec::new();
    for row in ROWS {
        let near = server(row.near);
        let far = server(row.far);
        let test = control::start(&[&near, &far]);
        let started = Instant::now();
        let answer = call(&test, row.kind);
        let elapsed = started.elapsed();
        let runs = near.runs() + far.runs();
        if let Err(reason) = check(row, &answer, runs, elapsed) {
            failures.push(format!("{}: {reason}\n{answer:?}", row.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn server(script: Option<&[Behavior]>) -> Backend {
    script.map_or_else(Backend::refusing, Backend::start)
}

fn call(test: &TestRouter, kind: Kind) -> Answer {
    let address = test.router.address;
    let deadline = [("x-lovageplank-deadline-ms", "1000")];
    match kind {
        Kind::Idempotent => client::complete(address, "lime", &deadline, false),
        Kind::NotIdempotent => client::complete(address, "once", &deadline, false),
        Kind::Stream => client::complete(address, "lime", &deadline, true),
        Kind::StreamNotIdempotent => client::complete(address, "once", &deadline, true),
        Kind::ServiceNotIdempotent => {
            client::send(address, "POST", "/svc/orders/new", &deadline, "stone")
        }
        Kind::ServiceIdempotent => {
            client::send(address, "POST", "/svc/sheets/new", &deadline, "sheet")
        }
    }
}

fn check(row: &Row, answer: &Answer, runs: u32, elapsed: Duration) -> Result<(), String> {
    // The deadline of every call, and 500 ms for a busy machine.
    if elapsed > Duration::from_millis(1_000 + 500) {
        return Err(format!(
            "answered after {elapsed:?}, expected at most 1.5 s"
        ));
    }
    let streamed = matches!(row.kind, Kind::Stream | Kind::StreamNotIdempotent);
    match row.expected {
        Expected::Whole if streamed => check_events(answer, EVENTS, true)?,
        Expected::ErrorAfter(events) => check_events(answer, events, false)?,
        Expected::Whole => check_whole(answer)?,
        Expected::Refusal(status, code, not_run) => {
            let got = (answer.status, answer.code(), answer.error("not_run"));
            if got != (status, code.to_owned(), not_run.into()) {
                return Err(format!("status, code, not_run: {got:?}"));
            }
        }
        Expected::WholeOrUnknown => {
            if check_whole(answer).is_err() && answer.error("not_run") != false {
                return Err("neither the complete answer nor a refusal with not_run false".into());
            }
            return (runs <= row.runs)
                .then_some(())
                .ok_or(format!("ran {runs} times"));
        }
    }
    (runs == row.runs)
        .then_some(())
        .ok_or(format!("ran {runs} times, expected {}", row.runs))
}

fn check_whole(answer: &Answer) -> Result<(), String> {
    if answer.status != 200 || answer.body != "whole answer" {
        return Err("the answer is not complete".into());
    }
    Ok(())
}

fn check_events(answer: &Answer, events: u64, done: bool) -> Result<(), String> {
    let events_text = client::events(events);
    if done {
        return (answer.body == format!("{events_text}data: [DONE]\n\n"))
            .then_some(())
            .ok_or("the stream is not complete".into());
    }
    let rest = answer.body.strip_prefix(&events_text);
    let error = rest.is_some_and(|rest| rest.starts_with("event: error\ndata: {\"error\""));
    (error && !answer.body.contains("[DONE]"))
        .then_some(())
        .ok_or("no error event after the relayed events".into())
}
