//! The router process: sends each caller's request to a backend server.
//!
//! ```text
//! callers ──▶ listener ──▶ call ──▶ attempts ──▶ backend servers
//!                           │ ▲
//!                           ▼ │ dispatcher (decides)
//! links to control processes: document, servers, loaded models, totals ◀─▶ load reports
//! ```

mod attempt;
mod call;
mod dispatch;
mod event_loops;
mod listener;
mod refusal;
mod stream;

use crate::config;
use crate::dialect::Dialect;
use crate::links::Dialer;
use crate::setup::{self, bind};
use eyre::{Result, WrapErr};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::directory::Directory;
use lovageplank_core::fleet::dispatch::{Dispatcher, RequestSpec};
use lovageplank_core::fleet::message::Router as DirectoryEntry;
use lovageplank_core::prelude::*;
use lovageplank_process::{clock, link};
use lovageplank_router::dispatch::Pool;
use lovageplank_wire::{Hello, Role};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// Capacity of the channel of link events; while it is full, links aren't read.
const CHANNEL_CAPACITY: usize = 4_096;
/// Milliseconds before the end of the grace period at which draining ends at the latest. Requests
/// that still run then are cut off.
const GRACE_RESERVE_MS: u64 = 500;
/// Milliseconds between checks, while draining, whether all connections are closed.
const DRAIN_POLL_MS: u64 = 50;
/// Milliseconds after a stop signal for which connections are still accepted, at most a third of
/// the grace period, since callers may have cached this router's address. Their requests have the
/// rest of the grace period to end.
const CACHED_ADDRESS_MS: u64 = 2_500;

/// State that the tasks of a router share.
pub struct Shared {
    pub(crate) config: config::Router,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) pool: Pool,
    /// Changes whenever waiting requests should be decided again.
    pub(crate) state_changes: watch::Sender<u64>,
    /// Requests a load report before the next regular one.
    pub(crate) urgent_report: Notify,
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
    /// The document in force: the newest since the process started, so its version never goes back.
    pub(crate) deployment: Option<Arc<Deployment>>,
    pub(crate) directory: Directory,
    /// Time of the stop signal.
    pub(crate) stopped_at: Option<Millis>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn deployment(&self) -> Option<Arc<Deployment>> {
        self.state().deployment.clone()
    }

    /// Wakes waiting requests, so that they are decided again.
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
        }
    }

    /// Whether the router takes new callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.deployment().is_some()
    }
}

/// A request that runs at a server; it counts towards the server's load until it is dropped.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    server: Name,
    spec: RequestSpec,
}

impl Slot {
    pub(crate) fn new(shared: Arc<Shared>, server: Name, spec: RequestSpec) -> Slot {
        shared
            .state()
            .dispatcher
            .load_tracker()
            .began(&server, &spec);
        Slot {
            shared,
            server,
            spec,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state
            .dispatcher
            .load_tracker()
            .ended(&self.server, &self.spec);
    }
}

/// Bound listeners of a router.
#[derive(Debug)]
pub struct Listeners {
    /// For callers' requests.
    pub callers: std::net::TcpListener,
    /// For readiness checks.
    pub ready: std::net::TcpListener,
    /// For callers' address lookups, if they are served.
    pub directory: Option<std::net::TcpListener>,
}

impl Listeners {
    /// Binds the addresses in the settings.
    pub fn bind(config: &config::Router) -> Result<Listeners> {
        Ok(Listeners {
            callers: bind(config.callers)?,
            ready: bind(config.ready)?,
            directory: config.directory.map(bind).transpose()?,
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
    let directory = listeners.directory.map(TcpListener::from_std);
    let directory = directory
        .transpose()
        .wrap_err("listen for address lookups")?;
    let (event_sender, events) = flume::bounded(CHANNEL_CAPACITY);
    let done = CancellationToken::new();
    setup::serve_metrics(&config.common, &done)?;
    let link_config = link_config(&config, event_sender, &done)?;
    let dialer = Dialer::new(link_config, None, config.common.seeds.clone());
    let shared = Arc::new(Shared {
        state: Mutex::new(new_state(&config)),
        dialect,
        pool: Pool::default(),
        state_changes: watch::channel(0).0,
        urgent_report: Notify::new(),
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
    tokio::spawn(listener::serve(shared.clone(), callers));
    tokio::spawn(listener::serve_instance_calls(
        shared.clone(),
        ready,
        done.clone(),
    ));
    if let Some(directory) = directory {
        tokio::spawn(listener::serve_instance_calls(
            shared.clone(),
            directory,
            done.clone(),
        ));
    }
    tracing::info!(event = "started", role = "entry", instance = %shared.config.common.instance);
    stop.cancelled().await;
    tracing::info!(event = "stopping", role = "entry");
    drain(&shared).await;
    done.cancel();
    Ok(())
}

/// Accepts connections for a while, for callers that have cached the address, then waits until all
/// connections are closed or the grace period is nearly over.
async fn drain(shared: &Shared) {
    let grace_ms = shared.config.common.grace_ms;
    let drain_ms = grace_ms.saturating_sub(GRACE_RESERVE_MS);
    shared.state().stopped_at = Some(clock::awake_ms());
    let end = tokio::time::Instant::now() + Duration::from_millis(drain_ms);
    tokio::time::sleep(Duration::from_millis(CACHED_ADDRESS_MS.min(grace_ms / 3))).await;
    shared.closing.cancel();
    while tokio::time::Instant::now() < end && shared.connections.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    let open = shared.connections.load(Ordering::Relaxed);
    tracing::info!(event = "stopped", role = "entry", connections = open);
}

fn new_state(config: &config::Router) -> State {
    let dispatcher = Dispatcher::new(
        config.common.domain.clone(),
        config.retry_bound.clone(),
        config.common.heartbeat_ms,
        rand::random(),
    );
    State {
        dispatcher,
        deployment: None,
        directory: Directory::default(),
        stopped_at: None,
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
    setup::link_config(common, hello, link::Events::one(events), stop)
}
