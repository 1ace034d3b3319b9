//! The entry process.
//!
//! ```text
//! callers ──▶ front ──▶ call ──▶ attempts ──▶ backend servers
//!                        │ ▲
//!                        ▼ │ dispatcher (decides)
//! links to control processes: document, servers, holdings, totals ◀─▶ own load
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

/// Events that may wait for the process.
const CHANNEL_CAPACITY: usize = 4_096;
/// Milliseconds before the end of the grace time at which the process ends at the latest.
const GRACE_RESERVE_MS: u64 = 500;
/// Milliseconds between looks whether the last connection has gone.
const DRAIN_POLL_MS: u64 = 50;
/// Milliseconds after a stop signal during which callers who hold addresses are still served; what
/// they send last has the rest of the grace time to end.
const CACHED_ADDRESS_MS: u64 = 2_500;

/// What the tasks of an entry process share.
pub struct Shared {
    pub(crate) config: config::Router,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) pool: Pool,
    /// Changes whenever a request that waits should be looked at again.
    pub(crate) state_changes: watch::Sender<u64>,
    /// Asks for the load to be told to the leader at once.
    pub(crate) urgent_report: Notify,
    /// Cancelled when the process is asked to stop.
    pub(crate) stopping: CancellationToken,
    /// Cancelled when callers' connections are closed as soon as they have no request.
    pub(crate) closing: CancellationToken,
    /// Open connections of callers.
    pub(crate) connections: AtomicUsize,
    state: Mutex<State>,
}

/// What an entry process knows.
pub(crate) struct State {
    pub(crate) dispatcher: Dispatcher,
    /// The newest document seen in the life of the process; its version never goes back.
    pub(crate) deployment: Option<Arc<Deployment>>,
    pub(crate) directory: Directory,
    /// When the process was asked to stop.
    pub(crate) stopped_at: Option<Millis>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn deployment(&self) -> Option<Arc<Deployment>> {
        self.state().deployment.clone()
    }

    /// Lets requests that wait look again.
    pub(crate) fn wake_waiting(&self) {
        self.state_changes.send_modify(|count| *count += 1);
    }

    /// How this instance presents itself.
    pub(crate) fn directory_entry(&self) -> DirectoryEntry {
        DirectoryEntry {
            instance: self.config.common.instance.clone(),
            address: self.config.callers.to_string().into(),
            domain: self.config.common.domain.clone(),
            ready: self.is_ready(),
        }
    }

    /// Whether new callers may come.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.deployment().is_some()
    }
}

/// A request that runs at a server; counted until it is dropped.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    server: Name,
    spec: RequestSpec,
}

impl Slot {
    pub(crate) fn new(shared: Arc<Shared>, server: Name, spec: RequestSpec) -> Slot {
        shared.state().dispatcher.load().began(&server, &spec);
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
        state.dispatcher.load().ended(&self.server, &self.spec);
    }
}

/// Bound listeners of an entry process.
#[derive(Debug)]
pub struct Listeners {
    /// For callers' requests.
    pub callers: std::net::TcpListener,
    /// For questions whether the instance is ready.
    pub ready: std::net::TcpListener,
    /// For callers who ask for addresses, where it serves them.
    pub directory: Option<std::net::TcpListener>,
}

impl Listeners {
    /// Listens where the settings say.
    pub fn bind(config: &config::Router) -> Result<Listeners> {
        Ok(Listeners {
            callers: bind(config.callers)?,
            ready: bind(config.ready)?,
            directory: config.directory.map(bind).transpose()?,
        })
    }
}

/// Runs an entry process until `stop` and the end of its requests.
pub async fn run(
    config: config::Router,
    listeners: Listeners,
    dialect: Arc<dyn Dialect>,
    seeds: flume::Receiver<Vec<SocketAddr>>,
    stop: CancellationToken,
) -> Result<()> {
    let callers = TcpListener::from_std(listeners.callers).wrap_err("listen for callers")?;
    let ready = TcpListener::from_std(listeners.ready).wrap_err("listen for checks")?;
    let directory = listeners.directory.map(TcpListener::from_std);
    let directory = directory.transpose().wrap_err("listen for the directory")?;
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

/// Serves callers who hold addresses for a while, then waits until their requests have ended.
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
