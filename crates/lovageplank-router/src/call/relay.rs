//! Relays a stream event by event, and resumes it at another server if it breaks.

use super::attempt::{self, AttemptAnswer, StreamSource};
use super::guard::Guard;
use super::{Call, Context};
use crate::decision::{AttemptResult, Dispatch, Failure, Verdict};
use crate::dispatch;
use crate::events::{self, Kind, Splitter};
use crate::refusal::{Code, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;
use lovageplank_core::prelude::*;
use lovageplank_process::body::channel::{self, channel};
use lovageplank_process::http::Body;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Events that may wait for the caller to read them; beyond it, reading from the server pauses.
const BUFFERED_EVENTS_MAX: usize = 8;
/// Milliseconds without data from the server after which a stream is treated as broken.
const STALL_TIMEOUT_MS: u64 = 10_000;
/// Milliseconds to wait for the caller to take a final error, or for the server to end its body
/// after the last event.
const STREAM_END_TIMEOUT_MS: u64 = 100;

/// How a stream from one server ended.
enum StreamEnd {
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
    out: channel::Sender,
    /// Digests of the relayed events, to check a server that repeats them.
    relayed: Vec<u64>,
    deadline: Instant,
}

impl Relay {
    /// Starts to relay in a task of its own; the returned body ends with the relay, and breaks off if that neither ends
    /// the stream nor says why it can't.
    pub(super) fn start(
        context: &Arc<Context>,
        call: Arc<Call>,
        guard: Guard,
        dispatch: Dispatch,
        source: StreamSource,
    ) -> Body {
        let (out, events) = channel(BUFFERED_EVENTS_MAX);
        let relay = Relay {
            deadline: context.clock.at(dispatch.deadline),
            call,
            guard,
            out,
            relayed: Vec::new(),
            context: context.clone(),
        };
        context.tasks.spawn(relay.run(dispatch, source));
        BodyExt::boxed(events)
    }

    async fn run(mut self, mut dispatch: Dispatch, mut source: StreamSource) {
        loop {
            let reason = match self.relay_stream(&mut source).await {
                StreamEnd::Done => return self.done(&dispatch, source).await,
                StreamEnd::CallerGone => return,
                StreamEnd::Deadline => "the deadline came".to_owned(),
                StreamEnd::Broken(reason) => reason,
            };
            drop(source.connection);
            match self.resume(dispatch, reason).await {
                Ok(next) => (dispatch, source) = next,
                Err(refusal) => return self.fail(&refusal).await,
            }
        }
    }

    /// Relays events until the stream ends; returns how it ended.
    async fn relay_stream(&mut self, source: &mut StreamSource) -> StreamEnd {
        let mut splitter = Splitter::default();
        let mut position = source.offset;
        loop {
            loop {
                let event = match splitter.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(events::TooLarge) => {
                        return StreamEnd::Broken("an event is too large".into());
                    }
                };
                if let Some(end) = self.relay_event(event, &mut position).await {
                    return end;
                }
            }
            let stall_deadline = Instant::now() + Duration::from_millis(STALL_TIMEOUT_MS);
            let until = stall_deadline.min(self.deadline);
            let frame = tokio::select! {
                () = self.out.closed() => return StreamEnd::CallerGone,
                frame = timeout_at(until, source.body.frame()) => frame,
            };
            match frame {
                Err(_) if until == self.deadline => return StreamEnd::Deadline,
                Err(_) => return StreamEnd::Broken(format!("no event for {STALL_TIMEOUT_MS} ms")),
                Ok(None) => {
                    return StreamEnd::Broken("the stream ended before its end mark".into());
                }
                Ok(Some(Err(error))) => return StreamEnd::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => splitter.push(&frame.into_data().unwrap_or_default()),
            }
        }
    }

    /// Relays one event; returns how the stream ended if that was its end.
    async fn relay_event(&mut self, event: Bytes, position: &mut u64) -> Option<StreamEnd> {
        let kind = events::kind(&event);
        match kind {
            Kind::Error => {
                return Some(StreamEnd::Broken("the server gave up".into()));
            }
            Kind::Data => {
                *position += 1;
                let digest = digest(&event);
                if let Some(expected) = self.relayed_digest(*position) {
                    // A server may repeat events that the caller has, but they must be the same.
                    return (expected != digest)
                        .then(|| StreamEnd::Broken("the repeated stream differs".into()));
                }
                self.relayed.push(digest);
            }
            Kind::Comment | Kind::Done => {}
        }
        match timeout_at(self.deadline, self.out.send(event)).await {
            Err(_) => Some(StreamEnd::Deadline),
            Ok(Err(_)) => Some(StreamEnd::CallerGone),
            Ok(Ok(())) => {
                self.guard.event_relayed(kind);
                (kind == Kind::Done).then_some(StreamEnd::Done)
            }
        }
    }

    /// Digest of the event at a position, from 1, if it was relayed.
    fn relayed_digest(&self, position: u64) -> Option<u64> {
        let index = usize::try_from(position).ok()?.checked_sub(1)?;
        self.relayed.get(index).copied()
    }

    /// Finds a server that resumes the stream after the last relayed event.
    async fn resume(
        &mut self,
        mut dispatch: Dispatch,
        reason: String,
    ) -> Result<(Dispatch, StreamSource), Refusal> {
        let mut failure = Failure {
            code: Code::OutcomeUnknown,
            ..dispatch::broken(format!("{}: {reason}", dispatch.server))
        };
        loop {
            let id = self.call.arrival.id;
            let result = AttemptResult::Failed(failure);
            let broker = &self.context.broker;
            dispatch = match broker.failed(id, dispatch.attempt, result).await {
                Verdict::Refuse(refusal) => return Err(refusal),
                Verdict::Dispatch(dispatch) => dispatch,
            };
            self.guard.attempt_started(&dispatch);
            let offset = self.relayed.len() as u64;
            let answer = tokio::select! {
                () = self.out.closed() => return Err(Refusal::new(Code::OutcomeUnknown, "")),
                answer = attempt::attempt(&self.context, &self.call, &dispatch, offset) => answer,
            };
            failure = match answer {
                Ok(AttemptAnswer::Stream(source)) if source.offset <= offset => {
                    return Ok((dispatch, source));
                }
                Ok(_) => dispatch::broken(format!("{} does not resume", dispatch.server)),
                Err(failure) => failure,
            };
        }
    }

    async fn done(mut self, dispatch: &Dispatch, mut source: StreamSource) {
        let id = self.call.arrival.id;
        self.context
            .broker
            .answered(id, dispatch.attempt, source.first_byte_ms);
        self.guard.finish("answered");
        // Ends the caller's stream before the connection returns to the pool.
        self.out.complete();
        let until = Instant::now() + Duration::from_millis(STREAM_END_TIMEOUT_MS);
        let rest = timeout_at(until, source.body.frame()).await;
        if matches!(rest, Ok(None)) {
            // Only engines stream, and the head of this stream repeated both ids.
            attempt::return_to_pool(&self.context, dispatch, source.connection).await;
        }
    }

    /// Ends the caller's stream with an explicit error; breaks it off if the caller doesn't take that.
    async fn fail(mut self, refusal: &Refusal) {
        if self.out.is_closed() {
            return;
        }
        // The caller may have a part of the answer, so that the refusal must not claim `not_run`.
        let refusal = Refusal {
            code: Code::OutcomeUnknown,
            ..refusal.clone()
        };
        let error = refusal.body(&self.call.request_id);
        let event = format!("event: error\ndata: {error}\n\n");
        let until = Instant::now() + Duration::from_millis(STREAM_END_TIMEOUT_MS);
        let sent = timeout_at(until, self.out.send(event.into())).await;
        if matches!(sent, Ok(Ok(()))) {
            self.out.complete();
        }
        self.guard.finish_refused(&refusal);
    }
}

fn digest(event: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    event.hash(&mut hasher);
    hasher.finish()
}
