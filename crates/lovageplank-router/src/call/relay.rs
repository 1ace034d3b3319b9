//! Passes a stream on event by event, and goes on elsewhere when it breaks.

use super::attempt::{self, Answer, Source};
use super::guard::Guard;
use super::{Call, Context};
use crate::decision::{Dispatch, Ended, Failure, Verdict};
use crate::dispatch;
use crate::events::{self, Kind, Splitter};
use crate::refusal::{Code, Refusal};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use lovageplank_core::prelude::*;
use lovageplank_process::http::Body;
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Events that may wait for the caller to read them.
const BUFFER_EVENTS: usize = 8;
/// Milliseconds of silence after which a stream counts as broken.
const STALL_MS: u64 = 10_000;
/// Milliseconds for handing the final error to a caller that reads slowly.
const FAREWELL_MS: u64 = 100;

/// How a stream from one server ended.
enum End {
    Done,
    CallerGone,
    Deadline,
    Broken(String),
}

/// Relays one answer.
pub(super) struct Relay {
    context: Arc<Context>,
    call: Arc<Call>,
    guard: Guard,
    out: mpsc::Sender<Bytes>,
    /// Digests of the events that the caller got, to check a server that repeats them.
    passed: Vec<u64>,
    deadline: Instant,
}

impl Relay {
    /// Starts to relay; the body ends when the relay does.
    pub(super) fn start(
        context: &Arc<Context>,
        call: Arc<Call>,
        guard: Guard,
        dispatch: Dispatch,
        source: Source,
    ) -> Body {
        let (out, events) = mpsc::channel(BUFFER_EVENTS);
        let relay = Relay {
            deadline: context.clock.at(dispatch.deadline),
            call,
            guard,
            out,
            passed: Vec::new(),
            context: context.clone(),
        };
        context.tasks.spawn(relay.run(dispatch, source));
        body(events)
    }

    async fn run(mut self, mut dispatch: Dispatch, mut source: Source) {
        loop {
            let reason = match self.pass(&mut source).await {
                End::Done => return self.done(&dispatch, source).await,
                End::CallerGone => return,
                End::Deadline => "the deadline came".to_owned(),
                End::Broken(reason) => reason,
            };
            drop(source.connection);
            match self.resume(dispatch, reason).await {
                Ok(next) => (dispatch, source) = next,
                Err(refusal) => return self.fail(&refusal).await,
            }
        }
    }

    /// Passes events on until the stream ends in whatever way.
    async fn pass(&mut self, source: &mut Source) -> End {
        let mut splitter = Splitter::default();
        let mut position = source.offset;
        loop {
            loop {
                let event = match splitter.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(events::TooLarge) => return End::Broken("an event is too large".into()),
                };
                if let Some(end) = self.event(event, &mut position).await {
                    return end;
                }
            }
            let stall = Instant::now() + Duration::from_millis(STALL_MS);
            let until = stall.min(self.deadline);
            let frame = tokio::select! {
                () = self.out.closed() => return End::CallerGone,
                frame = timeout_at(until, source.body.frame()) => frame,
            };
            match frame {
                Err(_) if until == self.deadline => return End::Deadline,
                Err(_) => return End::Broken(format!("no event for {STALL_MS} ms")),
                Ok(None) => return End::Broken("the stream ended before its end mark".into()),
                Ok(Some(Err(error))) => return End::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => splitter.push(&frame.into_data().unwrap_or_default()),
            }
        }
    }

    /// Passes one event on; gives the end if that was it.
    async fn event(&mut self, event: Bytes, position: &mut u64) -> Option<End> {
        let kind = events::kind(&event);
        match kind {
            Kind::Error => return Some(End::Broken("the server gave up".into())),
            Kind::Data => {
                *position += 1;
                let digest = digest(&event);
                if let Some(seen) = self.seen(*position) {
                    // A server that starts over is followed only along the same events.
                    return (seen != digest)
                        .then(|| End::Broken("the repeated stream differs".into()));
                }
                self.passed.push(digest);
            }
            Kind::Comment | Kind::Done => {}
        }
        match timeout_at(self.deadline, self.out.send(event)).await {
            Err(_) => Some(End::Deadline),
            Ok(Err(_)) => Some(End::CallerGone),
            Ok(Ok(())) => {
                self.guard.passed_event(kind);
                (kind == Kind::Done).then_some(End::Done)
            }
        }
    }

    /// Digest of the event at a position, from 1, if the caller has it.
    fn seen(&self, position: u64) -> Option<u64> {
        let index = usize::try_from(position).ok()?.checked_sub(1)?;
        self.passed.get(index).copied()
    }

    /// Finds a server that goes on where the caller's stream stands.
    async fn resume(
        &mut self,
        mut dispatch: Dispatch,
        reason: String,
    ) -> Result<(Dispatch, Source), Refusal> {
        let mut failure = Failure {
            code: Code::OutcomeUnknown,
            ..dispatch::broken(format!("{}: {reason}", dispatch.server))
        };
        loop {
            let id = self.call.arrival.id;
            let ended = Ended::Failed(failure);
            let broker = &self.context.broker;
            dispatch = match broker.failed(id, dispatch.attempt, ended).await {
                Verdict::Refuse(refusal) => return Err(refusal),
                Verdict::Dispatch(dispatch) => dispatch,
            };
            self.guard.at(&dispatch);
            let offset = self.passed.len() as u64;
            let answer = tokio::select! {
                () = self.out.closed() => return Err(Refusal::new(Code::OutcomeUnknown, "")),
                answer = attempt::attempt(&self.context, &self.call, &dispatch, offset) => answer,
            };
            failure = match answer {
                Ok(Answer::Stream(source)) if source.offset <= offset => {
                    return Ok((dispatch, source));
                }
                Ok(_) => dispatch::broken(format!("{} does not resume", dispatch.server)),
                Err(failure) => failure,
            };
        }
    }

    async fn done(mut self, dispatch: &Dispatch, mut source: Source) {
        let id = self.call.arrival.id;
        self.context
            .broker
            .answered(id, dispatch.attempt, source.first_byte_ms);
        self.guard.finish("answered");
        // Closes the caller's stream before looking after the connection.
        drop(self.out);
        let until = Instant::now() + Duration::from_millis(FAREWELL_MS);
        let rest = timeout_at(until, source.body.frame()).await;
        if matches!(rest, Ok(None)) {
            attempt::keep(&self.context, dispatch, source.connection).await;
        }
    }

    /// Ends the caller's stream with an explicit error.
    async fn fail(mut self, refusal: &Refusal) {
        if self.out.is_closed() {
            return;
        }
        // Part of the answer was given, so that the request did run.
        let refusal = Refusal {
            code: Code::OutcomeUnknown,
            ..refusal.clone()
        };
        let error = refusal.body(&self.call.request_id);
        let event = format!("event: error\ndata: {error}\n\n");
        let until = Instant::now() + Duration::from_millis(FAREWELL_MS);
        let _ = timeout_at(until, self.out.send(event.into())).await;
        self.guard.finish_refused(&refusal);
    }
}

fn digest(event: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    event.hash(&mut hasher);
    hasher.finish()
}

fn body(events: mpsc::Receiver<Bytes>) -> Body {
    let frames = stream::unfold(events, |mut events| async move {
        let event = events.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(event)), events))
    });
    BodyExt::boxed(StreamBody::new(frames))
}
