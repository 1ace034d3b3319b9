//! The router process: sends each caller's request to a backend server.
//!
//! ```text
//! callers ──▶ listener ──▶ call ──▶ attempts ──▶ backend servers
//!                           │ ▲
//!                           ▼ │ a server, or wait, or refuse
//!                       dispatcher
//!                           │ ▲
//!              load reports ▼ │ document, servers, loaded models, request counts of all routers
//!               links to control processes
//! ```
//!
//! Log events and metrics call a router `entry`.

mod attempt;
mod call;
mod dispatch;
mod event_loops;
mod fingerprint;
mod intake;
mod listener;
mod messages;
mod origin;
mod place;
mod quarantine;
mod quota;
mod refusal;
mod relay;
mod request;
mod speed;
mod stream;
mod tenant;
mod turn;

use crate::config;
use crate::dialect::Dialect;
use crate::links::Dialer;
use crate::setup::{self, bind};
use eyre::{Result, WrapErr};
use listener::Source;
use lovageplank_core::fleet::admission::Ending;
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::directory::Directory;
use lovageplank_core::fleet::dispatch::{Dispatcher, RequestSpec};
use lovageplank_core::fleet::message::{Message, Router as DirectoryEntry};
use lovageplank_core::fleet::place::End;
use lovageplank_core::fleet::quarantine::{BEGUN_AFTER_MS, Gate};
use lovageplank_core::fleet::reach;
use lovageplank_core::fleet::revocation::Contact;
use lovageplank_core::fleet::tenant::Labels;
use lovageplank_core::prelude::*;
use lovageplank_process::connections::Connections;
use lovageplank_process::{body, clock, link};
use lovageplank_router::dispatch::Pool;
use lovageplank_wire::{Hello, Role};
use request::Call;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// Capacity of the channel of link events; while it is full, links aren't read.
const CHANNEL_CAPACITY: usize = 4_096;
/// Milliseconds of the grace period that are kept free at its end: draining ends at the latest this
/// long before the grace period does. Requests that still run then are cut off.
const GRACE_RESERVE_MS: u64 = 500;
/// Milliseconds between checks, while draining, whether all connections are closed.
const DRAIN_POLL_MS: u64 = 50;
/// Milliseconds for which connections are still accepted after a stop signal, because callers may
/// have cached this router's address. At most a third of the grace period is used, so that requests
/// on these connections have the rest of it to end. Later connections aren't accepted.
const ACCEPT_AFTER_STOP_MS: u64 = 2_500;

/// State that the tasks of a router share.
pub struct Shared {
    pub(crate) config: config::Router,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Idle connections to backend servers.
    pub(crate) connection_pool: Pool,
    /// Memory for the bodies of requests and responses.
    pub(crate) body_budget: body::Budget,
    /// Connections of callers and other routers.
    pub(crate) open_connections: Arc<Connections>,
    /// Changes whenever the selection of a server should be tried again for waiting requests.
    pub(crate) state_changes: watch::Sender<u64>,
    /// Requests a load report before the next regular one.
    pub(crate) urgent_report: Notify,
    /// Requests that the dispatcher's and the gate's messages for the leader are sent now.
    pub(crate) leader_messages: Notify,
    /// Wakes the task that looks for the end of a cut.
    pub(crate) cut_off: Notify,
    /// Cancelled at the stop signal.
    pub(crate) stopping: CancellationToken,
    /// Cancelled when no more connections are accepted and open ones close after their request.
    pub(crate) closing: CancellationToken,
    /// Number of callers' open connections.
    pub(crate) connections: AtomicUsize,
    state: Mutex<State>,
}

/// What a router has received from control processes, and its own load.
pub(crate) struct State {
    pub(crate) dispatcher: Dispatcher,
    /// Which requests are held because servers ended under them.
    pub(crate) gate: Gate,
    /// The decoded document with the highest version that this router has received since it
    /// started; `None` before the first one.
    pub(crate) deployment: Option<Arc<Deployment>>,
    /// The bytes of that document, which patches apply to.
    pub(crate) document: Option<Arc<[u8]>>,
    /// What is to be answered, and on which links, to control processes that sent changes of what isn't known here.
    pub(crate) answers: Vec<(u64, Message)>,
    pub(crate) directory: Directory,
    /// Requests that wait for the leader's answer to a question for a place, by the number of the question.
    pub(crate) place_questions: BTreeMap<u64, oneshot::Sender<place::Outcome>>,
    /// Wakes the requests that wait because servers are full, by their tickets in the queue.
    pub(crate) turns: BTreeMap<u64, Arc<Notify>>,
    /// Time until which the leader counts as known, if it gives places.
    pub(crate) place_leader_until: Millis,
    /// The contact with leaders, on which the use of keys may depend.
    pub(crate) contact: Contact,
    /// Names of tenants in metrics.
    pub(crate) tenant_labels: Labels,
    /// What may be charged to tenants.
    pub(crate) quotas: quota::Quotas,
    /// Time of the stop signal; `None` before it.
    pub(crate) stop_signal_at: Option<Millis>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn deployment(&self) -> Option<Arc<Deployment>> {
        self.state().deployment.clone()
    }

    /// Version of the document that this router applies; 0 before the first one.
    pub(crate) fn document_version(&self) -> u64 {
        self.state().deployment.as_ref().map_or(0, |d| d.version)
    }

    /// Sends the dispatcher's and the gate's messages for the leader and the records for all control
    /// processes, if there are any.
    pub(crate) fn notify_leader(&self, state: &State) {
        let dispatcher = &state.dispatcher;
        let has_messages = dispatcher.has_leader_messages(clock::boottime_ms())
            || dispatcher.has_records()
            || state.gate.has_messages();
        if has_messages {
            self.leader_messages.notify_one();
        }
    }

    /// Records that a server failed, after which it is avoided for some time.
    pub(crate) fn server_failed(&self, id: &Name) {
        let mut state = self.state();
        state.dispatcher.failed(clock::boottime_ms(), id);
    }

    /// Records that a server has said in an answer that it leaves: it gets no more requests.
    pub(crate) fn server_leaves(&self, id: &Name, incarnation: u64) {
        let mut state = self.state();
        let is_new = state
            .dispatcher
            .leaves(clock::boottime_ms(), id, incarnation);
        self.notify_leader(&state);
        drop(state);
        if is_new {
            tracing::info!(event = "server_leaving", server = %id, born_ms = incarnation);
            self.wake_waiting();
        }
    }

    /// Records whether a connection to the server of a service at this address could be opened.
    pub(crate) fn connected(&self, service: &Name, address: &Name, is_open: bool) {
        let now = clock::boottime_ms();
        let mut state = self.state();
        let change = state.dispatcher.connected(now, service, address, is_open);
        drop(state);
        let Some(change) = change else {
            return;
        };
        let is_cut_off = f64::from(u8::from(change == reach::Change::CutOff));
        metrics::gauge!("lovageplank_entry_cut_off", "service" => service.to_string())
            .set(is_cut_off);
        match change {
            reach::Change::CutOff => {
                tracing::warn!(event = "cut_off", %service, last = %address);
                self.cut_off.notify_one();
            }
            reach::Change::Restored => {
                tracing::info!(event = "reconnected", %service, first = %address);
            }
        }
        // The directory entry has changed.
        self.urgent_report.notify_one();
    }

    /// Wakes waiting requests, so that the selection of a server is tried again for each.
    pub(crate) fn wake_waiting(&self) {
        self.state_changes.send_modify(|count| *count += 1);
    }

    /// This router's entry in the router directory.
    pub(crate) fn directory_entry(&self) -> DirectoryEntry {
        DirectoryEntry {
            instance: self.config.common.instance.clone(),
            address: self.config.callers.to_string().into(),
            domain: self.config.common.domain.clone(),
            ready: self.is_ready(),
            relay: self.config.relay.map(|address| address.to_string().into()),
            unreached: {
                let state = self.state();
                state.dispatcher.unreached_services().cloned().collect()
            },
        }
    }

    /// Whether the router takes new callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.deployment().is_some()
    }
}

/// Counts a request in the load of the server that it is sent to, until this value is dropped.
pub(crate) struct RunningRequest {
    shared: Arc<Shared>,
    /// Id of the request.
    id: Name,
    server: Name,
    /// Incarnation of the server, if it is known.
    pub(crate) incarnation: Option<u64>,
    spec: RequestSpec,
    began_at: Millis,
    /// Number of the attempt at the gate.
    attempt: u64,
    first_event_at: Option<Millis>,
    /// Whether its answer has begun.
    is_answered: bool,
    /// Whether the gate knows that the request has begun.
    is_begun_noted: bool,
    end: End,
}

impl RunningRequest {
    fn new(shared: Arc<Shared>, server: Name, call: &Call, is_trial: bool) -> RunningRequest {
        let spec = call.spec.clone();
        let mut state = shared.state();
        let began_at = clock::boottime_ms();
        state.dispatcher.began(began_at, &server, &spec);
        let attempt = state
            .gate
            .attempt_began(&spec.service, &call.parts, is_trial);
        let known = state.dispatcher.registry().get(&server);
        let incarnation = known.map(|known| known.announcement.incarnation);
        drop(state);
        RunningRequest {
            shared,
            id: call.id.clone(),
            server,
            incarnation,
            spec,
            began_at,
            attempt,
            first_event_at: None,
            is_answered: false,
            is_begun_noted: false,
            end: End::default(),
        }
    }

    /// Records that an event of the response has arrived. Returns whether the request has begun.
    pub(crate) fn event_arrived(&mut self) -> bool {
        let now = clock::boottime_ms();
        let is_first = self.first_event_at.is_none();
        self.first_event_at.get_or_insert(now);
        self.note_answer(now);
        let has_begun = self.has_begun();
        if is_first || has_begun && !self.is_begun_noted {
            self.is_begun_noted = has_begun;
            let mut state = self.shared.state();
            state.gate.event_arrived(now, self.attempt);
            self.shared.notify_leader(&state);
        }
        has_begun
    }

    /// Records that the whole response has arrived.
    pub(crate) fn complete(&mut self) {
        self.end = End::Answered;
        self.note_answer(clock::boottime_ms());
    }

    /// Records that the answer has begun, if that is new.
    fn note_answer(&mut self, now: Millis) {
        if std::mem::replace(&mut self.is_answered, true) {
            return;
        }
        let after_ms = now.saturating_sub(self.began_at);
        let mut state = self.shared.state();
        state.dispatcher.answer_began(now, &self.spec, after_ms);
    }

    /// How it ends, for admission control.
    fn ending(&self) -> Ending {
        match self.end {
            _ if self.is_answered => Ending::Answered,
            End::Abandoned => Ending::Unanswered,
            _ => Ending::Failed,
        }
    }

    /// Records that the request ended in another way.
    pub(crate) fn end(&mut self, end: End) {
        self.end = end;
    }

    /// Whether the server has written the response for long enough to show that it doesn't end when it
    /// begins to.
    pub(crate) fn has_begun(&self) -> bool {
        let now = clock::boottime_ms();
        self.first_event_at
            .is_some_and(|at| now >= at + BEGUN_AFTER_MS)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let now = clock::boottime_ms();
        let ran_ms = now.saturating_sub(self.began_at);
        state
            .dispatcher
            .ended(now, &self.server, &self.spec, ran_ms, self.ending());
        state.dispatcher.request_ended(now, &self.server, self.end);
        let is_complete = self.end == End::Answered;
        state.gate.attempt_ended(now, self.attempt, is_complete);
        state.wake_queue();
        self.shared.notify_leader(&state);
        drop(state);
        if self.end == End::Abandoned {
            // The connection is closed with this value, which tells the server to stop.
            tracing::info!(event = "server_told", id = %self.id, server = %self.server);
        }
    }
}

/// Bound listeners of a router.
#[derive(Debug)]
pub struct Listeners {
    /// For callers' requests.
    pub callers: std::net::TcpListener,
    /// For readiness checks.
    pub ready: std::net::TcpListener,
    /// For callers' lookups of the addresses of routers, if this router serves them.
    pub lookups: Option<std::net::TcpListener>,
    /// For requests of routers that reach no server, if this router takes them.
    pub relay: Option<std::net::TcpListener>,
}

impl Listeners {
    /// Binds the addresses in the settings.
    pub fn bind(config: &config::Router) -> Result<Listeners> {
        Ok(Listeners {
            callers: bind(config.callers)?,
            ready: bind(config.ready)?,
            lookups: config.lookups.map(bind).transpose()?,
            relay: config.relay.map(bind).transpose()?,
        })
    }
}

/// Runs a router until `stop`, then until its requests have ended or the grace period is nearly
/// over. An error means that it couldn't start.
pub async fn run(
    config: config::Router,
    listeners: Listeners,
    dialect: Arc<dyn Dialect>,
    seeds: flume::Receiver<Vec<SocketAddr>>,
    stop: CancellationToken,
) -> Result<()> {
    let callers = TcpListener::from_std(listeners.callers).wrap_err("listen for callers")?;
    let ready = TcpListener::from_std(listeners.ready).wrap_err("listen for readiness checks")?;
    let lookups = listeners.lookups.map(TcpListener::from_std);
    let lookups = lookups.transpose().wrap_err("listen for address lookups")?;
    let relay = listeners.relay.map(TcpListener::from_std);
    let relay = relay.transpose().wrap_err("listen for other routers")?;
    let (event_sender, events) = flume::bounded(CHANNEL_CAPACITY);
    // Cancelled after the drain; stops links, metrics and the other listeners.
    let shutdown = CancellationToken::new();
    setup::serve_metrics(&config.common, &shutdown)?;
    let link_config = link_config(&config, event_sender, &shutdown)?;
    let dialer = Dialer::new(link_config, None, config.common.seeds.clone());
    let shared = Arc::new(Shared {
        state: Mutex::new(new_state(&config)),
        dialect,
        connection_pool: Pool::new(config.dial.clone()),
        body_budget: config.common.capacity.budget(),
        open_connections: config.common.capacity.caller_connections(),
        state_changes: watch::channel(0).0,
        urgent_report: Notify::new(),
        leader_messages: Notify::new(),
        cut_off: Notify::new(),
        stopping: stop.clone(),
        closing: CancellationToken::new(),
        connections: AtomicUsize::new(0),
        config,
    });
    tokio::spawn(event_loops::control_links(
        shared.clone(),
        events,
        dialer,
        seeds,
    ));
    tokio::spawn(event_loops::expire(shared.clone()));
    tokio::spawn(listener::serve(shared.clone(), callers, Source::Callers));
    if let Some(relay) = relay {
        tokio::spawn(listener::serve(shared.clone(), relay, Source::Routers));
    }
    tokio::spawn(relay::probe(shared.clone()));
    tokio::spawn(listener::serve_checks_and_lookups(
        shared.clone(),
        ready,
        shutdown.clone(),
    ));
    if let Some(lookups) = lookups {
        tokio::spawn(listener::serve_checks_and_lookups(
            shared.clone(),
            lookups,
            shutdown.clone(),
        ));
    }
    tracing::info!(event = "started", role = "entry", instance = %shared.config.common.instance);
    stop.cancelled().await;
    tracing::info!(event = "stopping", role = "entry");
    drain(&shared).await;
    shutdown.cancel();
    Ok(())
}

/// Accepts connections for a while, for callers that have cached the address, then waits until all
/// connections are closed or the grace period is nearly over.
async fn drain(shared: &Shared) {
    let grace_ms = shared.config.common.grace_ms;
    let drain_ms = grace_ms.saturating_sub(GRACE_RESERVE_MS);
    shared.state().stop_signal_at = Some(clock::boottime_ms());
    let end = tokio::time::Instant::now() + Duration::from_millis(drain_ms);
    tokio::time::sleep(Duration::from_millis(
        ACCEPT_AFTER_STOP_MS.min(grace_ms / 3),
    ))
    .await;
    shared.closing.cancel();
    while tokio::time::Instant::now() < end && shared.connections.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    let open = shared.connections.load(Ordering::Relaxed);
    tracing::info!(event = "stopped", role = "entry", connections = open);
}

fn new_state(config: &config::Router) -> State {
    let mut dispatcher = Dispatcher::new(
        config.common.domain.clone(),
        config.retry_limit.clone(),
        config.common.announcement_interval_ms,
        rand::random(),
    );
    dispatcher.set_pressure(config.pressure);
    State {
        dispatcher,
        gate: Gate::default(),
        deployment: None,
        document: None,
        answers: Vec::new(),
        directory: Directory::default(),
        place_questions: BTreeMap::new(),
        turns: BTreeMap::new(),
        place_leader_until: 0,
        contact: Contact::new(config.revocation_ms),
        tenant_labels: Labels::default(),
        quotas: quota::Quotas::new(rand::random()),
        stop_signal_at: None,
    }
}

fn link_config(
    config: &config::Router,
    events: flume::Sender<link::Event>,
    stop: &CancellationToken,
) -> Result<link::Config> {
    let common = &config.common;
    let (instance, domain) = (common.instance.clone(), common.domain.clone());
    let address = config.callers.to_string().into();
    let hello: Hello = link::hello(instance, Role::Router, domain, address);
    setup::link_config(common, hello, link::Events::single(events), stop)
}
