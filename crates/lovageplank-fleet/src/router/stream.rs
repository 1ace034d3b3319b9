//! Relays streams of events, one complete event at a time, and resumes a broken stream at another
//! server where the route allows it.

use super::attempt::OpenResponse;
use super::call::{History, Stage, log_caller_left, send_until_answered};
use super::quarantine::{self, Broken};
use super::request::Call;
use super::{RunningRequest, Shared, attempt, speed};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Frame, Incoming};
use lovageplank_core::fleet::deployment::RequestKind;
use lovageplank_core::fleet::dispatch::{Software, Target};
use lovageplank_core::fleet::origin::{Origin, keep_ms};
use lovageplank_core::fleet::speed::Timer;
use lovageplank_core::prelude::*;
use lovageplank_process::body::channel::{self, channel};
use lovageplank_process::body::{Evicted, Eviction, Share};
use lovageplank_process::clock;
use lovageplank_process::http::Body;
use lovageplank_router::answer;
use lovageplank_router::events::{self, Splitter};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Number of events that are buffered for a caller that reads slowly. While the buffer is full, the
/// server's stream isn't read.
const MAX_BUFFERED_EVENTS: usize = 8;

/// Milliseconds within which a caller must have read what was sent before the end of an aborted stream.
const ABORT_TIMEOUT_MS: u64 = 1_000;

/// Starts to relay a stream and returns the response for the caller.
pub(super) fn relay(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    opened: OpenResponse,
    history: &History,
) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = opened.response.status();
    *response.headers_mut() = answer::relayed_headers(opened.response.headers());
    let (sender, events) = channel(MAX_BUFFERED_EVENTS);
    let share = Arc::new(shared.body_budget.share());
    let eviction = Eviction(share.eviction().clone());
    response.extensions_mut().insert(eviction);
    let relay = Relay {
        shared: shared.clone(),
        call: call.clone(),
        history: history.clone(),
        caller: sender,
        share,
        last_event_id: call.head.last_event_id.clone(),
        origin: origin_of_taken_up(call),
        events: 0,
        first_event_at: None,
    };
    tokio::spawn(relay.run(opened));
    response.map(|()| body(events, call))
}

/// The body of a relayed response.
pub(super) fn body(pieces: channel::Receiver, call: &Arc<Call>) -> Body {
    let relayed = Relayed {
        pieces,
        unfinished: Some(call.clone()),
    };
    relayed.boxed()
}

/// Ends what the caller gets. Unless it is complete, the caller sees that it isn't; if it doesn't read what was sent, its
/// connection is closed.
pub(super) async fn finish(caller: channel::Sender, share: &Share, end: &End) {
    match end {
        End::Complete => caller.complete(),
        End::CallerDisconnected => {}
        End::TimedOut | End::Evicted | End::Broken(_) => {
            let limit = Duration::from_millis(ABORT_TIMEOUT_MS);
            if timeout(limit, caller.ready()).await.is_err() {
                share.eviction().cancel();
            }
        }
    }
}

/// Reserves memory for so many bytes, and waits for it. Returns how the response ends otherwise.
pub(super) async fn reserve(
    share: &Share,
    caller: &channel::Sender,
    bytes: usize,
    deadline: Instant,
) -> Option<End> {
    tokio::select! {
        reserved = timeout_at(deadline, share.reserve_more(bytes)) => match reserved {
            Ok(Ok(())) => None,
            Ok(Err(Evicted)) => Some(End::Evicted),
            Err(_) => Some(End::TimedOut),
        },
        () = caller.closed() => Some(End::CallerDisconnected),
    }
}

/// Where a stream began that the request takes up; `None` for a new one.
fn origin_of_taken_up(call: &Call) -> Option<Origin> {
    match &call.spec.software {
        Software::Only(software) => Some(Origin {
            service: call.spec.service.clone(),
            software: software.clone(),
        }),
        Software::Any | Software::Admitted => None,
    }
}

/// The body of a relayed response, for the caller. If it is dropped before its end, the caller has left; the log says
/// so.
struct Relayed {
    pieces: channel::Receiver,
    /// The request, until the end was taken.
    unfinished: Option<Arc<Call>>,
}

impl hyper::body::Body for Relayed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.pieces).poll_frame(cx);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.unfinished = None;
        }
        polled
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        if let Some(call) = &self.unfinished {
            log_caller_left(call, Stage::Stream);
        }
    }
}

/// A stream that is being relayed.
struct Relay {
    shared: Arc<Shared>,
    call: Arc<Call>,
    history: History,
    /// Takes one event at a time.
    caller: channel::Sender,
    /// Counts the bytes that the caller hasn't taken yet. If it is evicted, the caller's connection is closed.
    share: Arc<Share>,
    /// Id of the last relayed event that had an id; before such an event, the id in the caller's
    /// request, if any.
    last_event_id: Option<String>,
    /// Where the events that the caller has were made; `None` before the first one, and if it isn't known.
    origin: Option<Origin>,
    /// Number of relayed events.
    events: u64,
    /// Time of the first relayed event.
    first_event_at: Option<Millis>,
}

/// A server's part of a stream.
pub(super) struct Part<'a> {
    pub(super) target: &'a Target,
    pub(super) running: &'a mut RunningRequest,
    /// Whether its first event has arrived, and may go on with the stream.
    is_checked: bool,
    /// Measures how fast its events arrive.
    pub(super) timer: Timer,
}

/// How one server's part of a stream ended, or a response that another router sent.
pub(super) enum End {
    /// It was sent to its end.
    Complete,
    /// The caller closed the connection.
    CallerDisconnected,
    /// The request's deadline passed.
    TimedOut,
    /// The memory is needed for others.
    Evicted,
    /// It broke off, with the reason.
    Broken(String),
}

impl End {
    /// Its name in logs and metrics.
    pub(super) fn outcome(&self) -> &'static str {
        match self {
            End::Complete => "complete",
            End::CallerDisconnected => "caller_left",
            End::TimedOut => "timed_out",
            End::Evicted => "evicted",
            End::Broken(_) => "broken",
        }
    }

    /// Why it broke off.
    pub(super) fn reason(&self) -> &str {
        match self {
            End::Broken(reason) => reason,
            _ => "",
        }
    }
}

impl Relay {
    async fn run(mut self, mut opened: OpenResponse) {
        loop {
            let server = opened.target.id.clone();
            let end = self.relay_from(opened).await;
            self.log_end(&end, &server);
            if matches!(end, End::Broken(_)) {
                tracing::info!(event = "stream_broken", id = %self.call.id, %server, events = self.events,
                    keys = self.call.keys_text(&*self.shared.dialect));
                if let Some(next) = self.resume().await {
                    opened = next;
                    continue;
                }
            }
            return finish(self.caller, &self.share, &end).await;
        }
    }

    /// Relays one server's part of the stream.
    async fn relay_from(&mut self, opened: OpenResponse) -> End {
        let OpenResponse {
            response,
            connection,
            mut running,
            target,
            ..
        } = opened;
        self.history.may_have_run.push(target.id.clone());
        self.history.tried.push(target.id.clone());
        let is_framed = answer::is_framed(response.headers());
        let mut body = response.into_body();
        let deadline = Instant::now() + self.call.time_left();
        let part = Part {
            target: &target,
            running: &mut running,
            is_checked: false,
            timer: Timer::default(),
        };
        let end = match self.relay_body(&mut body, deadline, part).await {
            // Only an event tells such a response from one that broke off.
            End::Complete if !is_framed && self.events == 0 => {
                End::Broken("the stream ended before its first event".into())
            }
            end => end,
        };
        if matches!(end, End::Complete) {
            running.complete();
        }
        let (has_begun, incarnation) = (running.has_begun(), running.incarnation);
        drop(running);
        match &end {
            End::Complete => {
                self.report_begun();
                let mut state = self.shared.state();
                state.dispatcher.succeeded(&target.id);
                state.dispatcher.streams_mut().completed(&self.call.id);
                drop(state);
                attempt::return_connection(&self.shared, &target.address, connection, None);
            }
            End::Broken(_) => {
                drop(connection);
                self.shared.server_failed(&target.id);
                if !has_begun {
                    let server = target;
                    let broken = Broken {
                        server,
                        incarnation,
                    };
                    let history = &mut self.history;
                    quarantine::examine(&self.shared, &self.call, &broken, history).await;
                }
            }
            // Closing the connection tells the server to stop.
            End::CallerDisconnected | End::TimedOut | End::Evicted => drop(connection),
        }
        end
    }

    async fn relay_body(
        &mut self,
        body: &mut Incoming,
        deadline: Instant,
        mut part: Part<'_>,
    ) -> End {
        let mut splitter = Splitter::default();
        loop {
            let frame = tokio::select! {
                frame = timeout_at(deadline, body.frame()) => frame,
                () = self.caller.closed() => return End::CallerDisconnected,
            };
            let data = match frame {
                Err(_) => return End::TimedOut,
                Ok(None) if splitter.is_at_end() => return End::Complete,
                Ok(None) => return End::Broken("the stream ended inside an event".into()),
                Ok(Some(Err(error))) => return End::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let reserved = reserve(&self.share, &self.caller, data.len(), deadline);
            if let Some(end) = reserved.await {
                return end;
            }
            splitter.push(&data);
            drop(data);
            let (events, arrived_at) = (self.events, clock::boottime_ms());
            let relayed = self.relay_complete_events(&mut splitter, &mut part);
            match timeout_at(deadline, relayed).await {
                Ok(None) => {}
                Ok(Some(end)) => return end,
                Err(_) => return End::TimedOut,
            }
            let arrived = self.events - events;
            speed::events_arrived(&self.shared, &self.call, &mut part, arrived_at, arrived);
            if self.events > events && part.running.event_arrived() {
                self.report_begun();
            }
        }
    }

    /// Reports that the request has begun to be answered, if it is a trial.
    fn report_begun(&mut self) {
        if let Some(trial) = self.history.trial.take() {
            trial.begun();
        }
    }

    async fn relay_complete_events(
        &mut self,
        splitter: &mut Splitter,
        part: &mut Part<'_>,
    ) -> Option<End> {
        loop {
            let event = match splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => return None,
                Err(events::TooLarge) => return Some(End::Broken("an event is too large".into())),
            };
            if !part.is_checked {
                part.is_checked = true;
                if let Err(reason) = self.check_origin(part) {
                    return Some(End::Broken(reason.into()));
                }
            }
            if let Some(id) = events::id(&event) {
                self.last_event_id = Some(id.to_owned());
            }
            self.events += 1;
            self.first_event_at.get_or_insert_with(clock::boottime_ms);
            if self.caller.send(self.share.lend(event)).await.is_err() {
                return Some(End::CallerDisconnected);
            }
        }
    }

    /// Checks the first event of a part before the caller gets it. Records at which version the stream
    /// began, or says why the part can't go on with it.
    fn check_origin(&mut self, part: &Part<'_>) -> Result<(), &'static str> {
        let made_at = self.origin_of_part(part);
        if self.origin.is_none() && self.events == 0 {
            self.origin = made_at;
        } else if self.origin.is_some() && self.origin != made_at {
            return Err("the server has started again since the stream was sent to it");
        }
        if self.events == 0 {
            self.record_origin();
        }
        Ok(())
    }

    /// Where the events of a part are made. It isn't known if the server has started again since the
    /// request was sent to it.
    fn origin_of_part(&self, part: &Part<'_>) -> Option<Origin> {
        let Part {
            target, running, ..
        } = part;
        let state = self.shared.state();
        let known = state.dispatcher.registry().get(&target.id)?;
        let announcement = &known.announcement;
        let is_same = Some(announcement.incarnation) == running.incarnation
            && announcement.software == target.software;
        is_same.then(|| Origin {
            service: self.call.spec.service.clone(),
            software: target.software.clone(),
        })
    }

    /// Records where the stream began, so that its caller may take it up.
    fn record_origin(&self) {
        let Some(origin) = self.origin.clone() else {
            return;
        };
        if self.call.route.kind == RequestKind::Resumable {
            let timeout_ms = self.call.head.timeout_ms;
            let keep_ms = keep_ms(timeout_ms.unwrap_or(self.call.route.timeout_ms));
            let (now, mut state) = (clock::boottime_ms(), self.shared.state());
            let streams = state.dispatcher.streams_mut();
            streams.begun(now, &self.call.id, origin, self.call.services(), keep_ms);
            self.shared.notify_leader(&state);
        }
    }

    /// Continues the stream at another server, if the route allows it and the last relayed event has
    /// an id to resume after. Only a server of the version that made the first event can continue it.
    async fn resume(&mut self) -> Option<OpenResponse> {
        let possible_runs = u32::try_from(self.history.may_have_run.len()).unwrap_or(u32::MAX);
        let route = &self.call.route;
        let resumable = self.events == 0 || self.last_event_id.is_some() && self.origin.is_some();
        if !route.repeatable() || possible_runs >= route.attempts || !resumable {
            return None;
        }
        let mut call = Call::clone(&self.call);
        // The caller already has a response head, so the next server gets the full time to start
        // its part.
        call.spec.start_by = (clock::boottime_ms() + route.patience_ms).min(call.deadline);
        call.head.last_event_id.clone_from(&self.last_event_id);
        if let Some(origin) = &self.origin {
            call.spec.software = Software::Only(origin.software.clone());
        }
        let mut call = Arc::new(call);
        let deployment = self.shared.deployment()?;
        let next = tokio::select! {
            next = send_until_answered(&self.shared, &mut call, &deployment, &mut self.history) => next.ok()?,
            () = self.caller.closed() => return None,
        };
        if !next.response.status().is_success() || !next.confirmed {
            // The body isn't read, so the connection can't be reused.
            return None;
        }
        tracing::info!(event = "resumed", id = %call.id, server = %next.target.id, software = %next.target.software, after = self.last_event_id.as_deref());
        Some(next)
    }

    fn log_end(&self, end: &End, server: &Name) {
        let (outcome, reason) = (end.outcome(), end.reason());
        metrics::counter!("lovageplank_entry_streams_total", "outcome" => outcome).increment(1);
        let took_ms = clock::boottime_ms().saturating_sub(self.call.arrived_at);
        tracing::info!(event = "stream_ended", id = %self.call.id, outcome, server = %server,
            model = self.call.spec.model.as_deref(), adapter = self.call.spec.adapter.as_deref(), events = self.events,
            first_ms = self.first_event_at.map(|at| at.saturating_sub(self.call.arrived_at)), took_ms, reason);
    }
}
