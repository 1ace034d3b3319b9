//! Faults of the request path: what the caller gets, and how often the request ran.

use crate::backend::{Act, Backend, EVENTS};
use crate::client::{self, Answer};
use crate::control::{self, Bench};
use Act::*;
use std::time::{Duration, Instant};

/// How the request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// A completion that may run twice.
    Twice,
    /// A completion that may not.
    Once,
    /// A streamed completion that may run twice.
    Stream,
    /// A streamed completion that may not.
    StreamOnce,
    /// A call of a plain service that may not run twice.
    Order,
    /// A call of a plain service that may.
    Sheet,
}

/// What the caller gets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Gets {
    /// The whole answer.
    Whole,
    /// A refusal with this status, code and claim that it didn't run.
    Refusal(u16, &'static str, bool),
    /// The whole answer, or an honest refusal: the fault races with the request.
    WholeOrHonest,
    /// This many events, then an error event and no end mark.
    ErrorAfter(u64),
}

struct Row {
    name: &'static str,
    kind: Kind,
    /// Scripts of the near and of the far server; `None` refuses connections.
    near: Option<&'static [Act]>,
    far: Option<&'static [Act]>,
    gets: Gets,
    /// Times that the request runs, at both servers together.
    runs: u32,
}

const fn row(
    name: &'static str,
    kind: Kind,
    near: Option<&'static [Act]>,
    far: Option<&'static [Act]>,
    gets: Gets,
    runs: u32,
) -> Row {
    Row {
        name,
        kind,
        near,
        far,
        gets,
        runs,
    }
}

const UNKNOWN: Gets = Gets::Refusal(504, "outcome_unknown", false);
const BROKE: Gets = Gets::Refusal(502, "backend_broke", false);
const UNREACHABLE: Gets = Gets::Refusal(503, "backend_unreachable", true);
const FINE: Option<&[Act]> = Some(&[]);

#[rustfmt::skip] // One row a line.
const ROWS: &[Row] = &[row("no fault", Kind::Twice, FINE, FINE, Gets::Whole, 1),
    row("no fault, chunked", Kind::Twice, Some(&[AnswerChunked]), FINE, Gets::Whole, 1),
    row("no fault, plain", Kind::Order, FINE, FINE, Gets::Whole, 1),
    row("refused connect", Kind::Twice, None, FINE, Gets::Whole, 1),
    row("refused connect, order", Kind::Order, None, FINE, Gets::Whole, 1),
    row("refused connect everywhere", Kind::Twice, None, None, UNREACHABLE, 0),
    row("refused connect everywhere, order", Kind::Order, None, None, UNREACHABLE, 0),
    row("reset at accept", Kind::Twice, Some(&[ResetAtAccept]), FINE, Gets::Whole, 1),
    row("reset at accept, order", Kind::Order, Some(&[ResetAtAccept]), FINE, Gets::WholeOrHonest, 1),
    row("reset at head", Kind::Twice, Some(&[ResetAtHead]), FINE, Gets::Whole, 1),
    row("reset at head, order", Kind::Order, Some(&[ResetAtHead]), FINE, UNKNOWN, 0),
    row("reset after run", Kind::Twice, Some(&[ResetAfterRun]), FINE, Gets::Whole, 2),
    row("reset after run, once", Kind::Once, Some(&[ResetAfterRun]), FINE, UNKNOWN, 1),
    row("reset after run, order", Kind::Order, Some(&[ResetAfterRun]), FINE, UNKNOWN, 1),
    row("close after run, order", Kind::Order, Some(&[CloseAfterRun]), FINE, UNKNOWN, 1),
    row("half an answer", Kind::Twice, Some(&[HalfAnswer]), FINE, Gets::Whole, 2),
    row("half an answer, once", Kind::Once, Some(&[HalfAnswer]), FINE, BROKE, 1),
    row("half an answer, order", Kind::Order, Some(&[HalfAnswer]), FINE, BROKE, 1),
    row("half in chunks, order", Kind::Order, Some(&[HalfChunked]), FINE, BROKE, 1),
    row("half in chunks, sheet", Kind::Sheet, Some(&[HalfChunked]), FINE, Gets::Whole, 2),
    row("no framing, order", Kind::Order, Some(&[Unframed]), FINE, BROKE, 1),
    row("hang", Kind::Twice, Some(&[Hang]), FINE, UNKNOWN, 1),
    row("hang, order", Kind::Order, Some(&[Hang]), FINE, UNKNOWN, 1),
    row("late but in time", Kind::Order, Some(&[Late(100)]), FINE, Gets::Whole, 1),
    row("too late", Kind::Order, Some(&[Late(1_500)]), FINE, UNKNOWN, 1),
    row("answer of another", Kind::Twice, Some(&[ForeignId]), FINE, Gets::Whole, 2),
    row("answer of another, once", Kind::Once, Some(&[ForeignId]), FINE, BROKE, 1),
    row("answer of another, order", Kind::Order, Some(&[ForeignId]), FINE, BROKE, 1),
    row("answer of another attempt", Kind::Once, Some(&[ForeignAttempt]), FINE, BROKE, 1),
    row("no HTTP", Kind::Twice, Some(&[Garbage]), FINE, Gets::Whole, 2),
    row("no HTTP, order", Kind::Order, Some(&[Garbage]), FINE, UNKNOWN, 1),
    row("not loaded", Kind::Once, Some(&[ModelNotLoaded]), FINE, Gets::Whole, 1),
    row("not loaded anywhere, then loaded", Kind::Once, Some(&[ModelNotLoaded]), Some(&[ModelNotLoaded]), Gets::Whole, 1),
    row("leaving", Kind::Once, Some(&[Leaving]), FINE, Gets::Whole, 1),
    row("leaving, order", Kind::Order, Some(&[Leaving]), FINE, Gets::Whole, 1),
    row("engine fails", Kind::Twice, Some(&[Fail]), FINE, Gets::Whole, 2),
    row("engine fails, once", Kind::Once, Some(&[Fail]), FINE, BROKE, 1),
    row("reset, then half", Kind::Twice, Some(&[ResetAfterRun]), Some(&[HalfAnswer]), Gets::Whole, 3),
    row("refused, then half, order", Kind::Order, None, Some(&[HalfAnswer]), BROKE, 1),
    row("not loaded, then reset, once", Kind::Once, Some(&[ModelNotLoaded]), Some(&[ResetAfterRun]), UNKNOWN, 1),
    row("half everywhere", Kind::Twice, Some(&[HalfAnswer; 3]), Some(&[HalfAnswer; 3]), BROKE, 3),
    row("stream", Kind::Stream, Some(&[Stream(EVENTS)]), FINE, Gets::Whole, 1),
    row("stream breaks", Kind::Stream, Some(&[CutStream(3)]), Some(&[Stream(EVENTS)]), Gets::Whole, 2),
    row("stream breaks at once", Kind::Stream, Some(&[CutStream(0)]), Some(&[Stream(EVENTS)]), Gets::Whole, 2),
    row("stream ends early", Kind::Stream, Some(&[ShortStream(3)]), Some(&[Stream(EVENTS)]), Gets::Whole, 2),
    row("engine gives a stream up", Kind::Stream, Some(&[ErrorStream(3)]), Some(&[Stream(EVENTS)]), Gets::Whole, 2),
    row("stream starts over", Kind::Stream, Some(&[CutStream(3)]), Some(&[Restart(EVENTS)]), Gets::Whole, 2),
    row("stream starts over differently", Kind::Stream, Some(&[CutStream(3)]), Some(&[RestartDiffers(EVENTS), RestartDiffers(EVENTS)]), Gets::ErrorAfter(3), 3),
    row("stream breaks twice", Kind::Stream, Some(&[CutStream(2), Stream(EVENTS)]), Some(&[CutStream(4), Stream(EVENTS)]), Gets::Whole, 3),
    row("stream breaks, once", Kind::StreamOnce, Some(&[CutStream(3)]), Some(&[Stream(EVENTS)]), Gets::ErrorAfter(3), 1),
    row("stream breaks, nobody left", Kind::Stream, Some(&[CutStream(3), CutStream(3), CutStream(3)]), None, Gets::ErrorAfter(3), 2),
];

#[test]
fn request_path_faults() {
    let mut failures = Vec::new();
    for row in ROWS {
        let near = server(row.near);
        let far = server(row.far);
        let bench = control::start(&[&near, &far]);
        let began = Instant::now();
        let answer = call(&bench, row.kind);
        let took = began.elapsed();
        let runs = near.runs() + far.runs();
        if let Err(reason) = check(row, &answer, runs, took) {
            failures.push(format!("{}: {reason}\n{answer:?}", row.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn server(script: Option<&[Act]>) -> Backend {
    script.map_or_else(Backend::refusing, Backend::start)
}

fn call(bench: &Bench, kind: Kind) -> Answer {
    let address = bench.router.address;
    let deadline = [("x-lovageplank-deadline-ms", "1000")];
    match kind {
        Kind::Twice => client::complete(address, "lime", &deadline, false),
        Kind::Once => client::complete(address, "once", &deadline, false),
        Kind::Stream => client::complete(address, "lime", &deadline, true),
        Kind::StreamOnce => client::complete(address, "once", &deadline, true),
        Kind::Order => client::send(address, "POST", "/svc/orders/new", &deadline, "stone"),
        Kind::Sheet => client::send(address, "POST", "/svc/sheets/new", &deadline, "sheet"),
    }
}

fn check(row: &Row, answer: &Answer, runs: u32, took: Duration) -> Result<(), String> {
    // The deadline of every call, and what a busy machine may add.
    if took > Duration::from_millis(1_000 + 500) {
        return Err(format!("answered after {took:?}"));
    }
    let streamed = matches!(row.kind, Kind::Stream | Kind::StreamOnce);
    match row.gets {
        Gets::Whole if streamed => check_events(answer, EVENTS, true)?,
        Gets::ErrorAfter(events) => check_events(answer, events, false)?,
        Gets::Whole => check_whole(answer)?,
        Gets::Refusal(status, code, not_run) => {
            let got = (answer.status, answer.code(), answer.error("not_run"));
            if got != (status, code.to_owned(), not_run.into()) {
                return Err(format!("got {got:?}"));
            }
        }
        Gets::WholeOrHonest => {
            if check_whole(answer).is_err() && answer.error("not_run") != false {
                return Err("neither whole nor honest".into());
            }
            return (runs <= row.runs)
                .then_some(())
                .ok_or(format!("ran {runs} times"));
        }
    }
    (runs == row.runs)
        .then_some(())
        .ok_or(format!("ran {runs} times, not {}", row.runs))
}

fn check_whole(answer: &Answer) -> Result<(), String> {
    if answer.status != 200 || answer.body != "whole answer" {
        return Err("the answer is not whole".into());
    }
    Ok(())
}

fn check_events(answer: &Answer, events: u64, done: bool) -> Result<(), String> {
    let expected = client::events(events);
    if done {
        return (answer.body == format!("{expected}data: [DONE]\n\n"))
            .then_some(())
            .ok_or("the stream is not whole".into());
    }
    let rest = answer.body.strip_prefix(&expected);
    let error = rest.is_some_and(|rest| rest.starts_with("event: error\ndata: {\"error\""));
    (error && !answer.body.contains("[DONE]"))
        .then_some(())
        .ok_or("no explicit error after the events".into())
}
