//! Streams of events: passed on as they come, whole event by whole event, and gone on with at
//! another server where the route allows it.

use super::attempt::Begun;
use super::call::{Call, History, run};
use super::front::Body;
use super::{Shared, attempt};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_router::answer;
use lovageplank_router::events::{self, Splitter};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Pieces that may wait for a caller who reads slowly.
const PIECES: usize = 8;

type Piece = Result<Frame<Bytes>, io::Error>;

/// Begins to pass a stream on.
pub(super) fn relay(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    begun: Begun,
    history: &History,
) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = begun.response.status();
    *response.headers_mut() = answer::pass_on(begun.response.headers());
    let (sender, pieces) = mpsc::channel(PIECES);
    let relay = Relay {
        shared: shared.clone(),
        call: call.clone(),
        history: history.clone(),
        pieces: sender,
        last_event: call.head.last_event.clone(),
        events: 0,
        first_at: None,
    };
    tokio::spawn(relay.run(begun));
    response.map(|()| StreamBody::new(Pieces(pieces)).boxed())
}

/// The receiving end as a stream of body frames.
struct Pieces(mpsc::Receiver<Piece>);

impl futures_util::Stream for Pieces {
    type Item = Piece;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Piece>> {
        self.0.poll_recv(cx)
    }
}

/// One stream on its way.
struct Relay {
    shared: Arc<Shared>,
    call: Arc<Call>,
    history: History,
    pieces: mpsc::Sender<Piece>,
    /// Identity of the last event that was passed on.
    last_event: Option<String>,
    /// Events passed on.
    events: u64,
    /// When the first one was.
    first_at: Option<Millis>,
}

/// How the part of a stream that one server sends ended.
enum End {
    /// Whole.
    Complete,
    /// The caller has left.
    Left,
    /// Time ran out.
    TimedOut,
    /// The server broke off.
    Broken(String),
}

impl Relay {
    async fn run(mut self, mut begun: Begun) {
        loop {
            let server = begun.target.id.clone();
            let end = self.pass_on(begun).await;
            let reason = match end {
                End::Complete => return self.log("complete", &server, ""),
                End::Left => return self.log("caller_left", &server, ""),
                End::TimedOut => {
                    self.log("timed_out", &server, "");
                    return self.cut().await;
                }
                End::Broken(reason) => reason,
            };
            self.log("broken", &server, &reason);
            match self.resume().await {
                Some(next) => begun = next,
                None => return self.cut().await,
            }
        }
    }

    /// Passes on what one server sends.
    async fn pass_on(&mut self, begun: Begun) -> End {
        let Begun {
            response,
            connection,
            slot,
            target,
            ..
        } = begun;
        let now = clock::boottime_ms();
        let left = Duration::from_millis(self.call.deadline.saturating_sub(now));
        self.history.ran.push(target.id.clone());
        self.history.tried.push(target.id.clone());
        let mut body = response.into_body();
        let end = self.pass_events(&mut body, Instant::now() + left).await;
        drop(slot);
        match &end {
            End::Complete => {
                self.shared.state().dispatcher.succeeded(&target.id);
                attempt::give_back(&self.shared, &target.address, connection).await;
            }
            End::Broken(_) => {
                drop(connection);
                let mut state = self.shared.state();
                state.dispatcher.failed(clock::boottime_ms(), &target.id);
            }
            // Closing the connection tells the server to stop.
            End::Left | End::TimedOut => drop(connection),
        }
        end
    }

    async fn pass_events(&mut self, body: &mut Incoming, until: Instant) -> End {
        let mut splitter = Splitter::default();
        loop {
            let frame = tokio::select! {
                frame = timeout_at(until, body.frame()) => frame,
                () = self.pieces.closed() => return End::Left,
            };
            let data = match frame {
                Err(_) => return End::TimedOut,
                Ok(None) if splitter.is_at_end() => return End::Complete,
                Ok(None) => return End::Broken("it ended within an event".into()),
                Ok(Some(Err(error))) => return End::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            splitter.push(&data);
            match self.pass_whole_events(&mut splitter).await {
                None => {}
                Some(end) => return end,
            }
        }
    }

    async fn pass_whole_events(&mut self, splitter: &mut Splitter) -> Option<End> {
        loop {
            let event = match splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => return None,
                Err(events::TooLarge) => return Some(End::Broken("an event is too large".into())),
            };
            if let Some(id) = events::id(&event) {
                self.last_event = Some(id.to_owned());
            }
            self.events += 1;
            self.first_at.get_or_insert_with(clock::boottime_ms);
            if self.pieces.send(Ok(Frame::data(event))).await.is_err() {
                return Some(End::Left);
            }
        }
    }

    /// The same stream from another server, if the route allows it.
    async fn resume(&mut self) -> Option<Begun> {
        let ran = u32::try_from(self.history.ran.len()).unwrap_or(u32::MAX);
        let route = &self.call.route;
        let started = self.events == 0 || self.last_event.is_some();
        if !route.repeatable() || ran >= route.attempts || !started {
            return None;
        }
        let mut call = Call::clone(&self.call);
        // The caller has begun to read, so its patience counts from now on anew.
        call.ask.start_by = (clock::boottime_ms() + route.patience_ms).min(call.deadline);
        call.head.last_event.clone_from(&self.last_event);
        let call = Arc::new(call);
        let deployment = self.shared.deployment()?;
        let next = tokio::select! {
            next = run(&self.shared, &call, &deployment, &mut self.history) => next.ok()?,
            () = self.pieces.closed() => return None,
        };
        if !next.response.status().is_success() || !next.marked {
            attempt::give_back(&self.shared, &next.target.address, next.connection).await;
            return None;
        }
        tracing::info!(event = "resumed", id = call.head.id, server = %next.target.id, after = ?self.last_event);
        Some(next)
    }

    /// Ends the answer so that the caller sees that it isn't whole.
    async fn cut(self) {
        let error = io::Error::other("the stream was cut");
        // Nobody is there to be told any more if this fails.
        let _ = self.pieces.send(Err(error)).await;
    }

    fn log(&self, outcome: &'static str, server: &Name, reason: &str) {
        metrics::counter!("lovageplank_entry_streams_total", "outcome" => outcome).increment(1);
        let took_ms = clock::boottime_ms().saturating_sub(self.call.arrived);
        tracing::info!(event = "stream_ended", id = self.call.head.id, outcome, server = %server,
            model = ?self.call.ask.model, adapter = ?self.call.ask.adapter, events = self.events,
            first_ms = ?self.first_at.map(|at| at.saturating_sub(self.call.arrived)), took_ms, reason);
    }
}
