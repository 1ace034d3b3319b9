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
mod front;
mod place;
mod pump;
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
use lovageplank_core::fleet::message::Router as Listed;
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
const RING: usize = 4_096;
/// Milliseconds before the end of the grace time at which the process ends at the latest.
const GRACE_RESERVE_MS: u64 = 500;
/// Milliseconds between looks whether the last connection has gone.
const DRAIN_LOOK_MS: u64 = 50;
/// Milliseconds after a stop signal during which callers who hold addresses are still served; what
/// they send last has the rest of the grace time to end.
const SERVED_MS: u64 = 2_500;

/// What the tasks of an entry process share.
pub struct Shared {
    pub(crate) config: config::Entry,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) pool: Pool,
    /// Changes whenever a request that waits should be looked at again.
    pub(crate) changed: watch::Sender<u64>,
    /// Asks for the load to be told to the leader at once.
    pub(crate) urgent: Notify,
    /// Cancelled when the process is asked to stop.
    pub(crate) leaving: CancellationToken,
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
    pub(crate) roster: Directory,
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
        self.changed.send_modify(|count| *count += 1);
    }

    /// How this instance presents itself.
    pub(crate) fn listed(&self) -> Listed {
        Listed {
            instance: self.config.common.instance.clone(),
            address: self.config.front.to_string().into(),
            domain: self.config.common.domain.clone(),
            ready: self.is_ready(),
        }
    }

    /// Whether new callers may come.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving.is_cancelled() && self.deployment().is_some()
    }
}

/// A request that runs at a server; counted until it is dropped.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    server: Name,
    ask: RequestSpec,
}

impl Slot {
    pub(crate) fn new(shared: Arc<Shared>, server: Name, ask: RequestSpec) -> Slot {
        shared.state().dispatcher.load().began(&server, &ask);
        Slot {
            shared,
            server,
            ask,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.dispatcher.load().ended(&self.server, &self.ask);
    }
}

/// Bound listeners of an entry process.
#[derive(Debug)]
pub struct Listeners {
    /// For callers' requests.
    pub front: std::net::TcpListener,
    /// For questions whether the instance is ready.
    pub ready: std::net::TcpListener,
    /// For callers who ask for addresses, where it serves them.
    pub directory: Option<std::net::TcpListener>,
}

impl Listeners {
    /// Listens where the settings say.
    pub fn bind(config: &config::Entry) -> Result<Listeners> {
        Ok(Listeners {
            front: bind(config.front)?,
            ready: bind(config.ready)?,
            directory: config.directory.map(bind).transpose()?,
        })
    }
}

/// Runs an entry process until `stop` and the end of its requests.
pub async fn run(
    config: config::Entry,
    listeners: Listeners,
    dialect: Arc<dyn Dialect>,
    seeds: flume::Receiver<Vec<SocketAddr>>,
    stop: CancellationToken,
) -> Result<()> {
    let front = TcpListener::from_std(listeners.front).wrap_err("listen for callers")?;
    let ready = TcpListener::from_std(listeners.ready).wrap_err("listen for checks")?;
    let directory = listeners.directory.map(TcpListener::from_std);
    let directory = directory.transpose().wrap_err("listen for the directory")?;
    let (event_sender, events) = flume::bounded(RING);
    let done = CancellationToken::new();
    setup::serve_metrics(&config.common, &done)?;
    let link_config = link_config(&config, event_sender, &done)?;
    let dialer = Dialer::new(link_config, None, config.common.seeds.clone());
    let shared = Arc::new(Shared {
        state: Mutex::new(new_state(&config)),
        dialect,
        pool: Pool::default(),
        changed: watch::channel(0).0,
        urgent: Notify::new(),
        leaving: stop.clone(),
        closing: CancellationToken::new(),
        connections: AtomicUsize::new(0),
        config,
    });
    tokio::spawn(pump::links(shared.clone(), events, dialer, seeds));
    tokio::spawn(pump::expire(shared.clone()));
    tokio::spawn(front::serve(shared.clone(), front));
    tokio::spawn(front::serve_own_calls(shared.clone(), ready, done.clone()));
    if let Some(directory) = directory {
        tokio::spawn(front::serve_own_calls(
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
    let grace = shared.config.common.grace_ms;
    let last = grace.saturating_sub(GRACE_RESERVE_MS);
    shared.state().stopped_at = Some(clock::boottime_ms());
    let end = tokio::time::Instant::now() + Duration::from_millis(last);
    tokio::time::sleep(Duration::from_millis(SERVED_MS.min(grace / 3))).await;
    shared.closing.cancel();
    while tokio::time::Instant::now() < end && shared.connections.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(DRAIN_LOOK_MS)).await;
    }
    let open = shared.connections.load(Ordering::Relaxed);
    tracing::info!(event = "stopped", role = "entry", connections = open);
}

fn new_state(config: &config::Entry) -> State {
    let dispatcher = Dispatcher::new(
        config.common.domain.clone(),
        config.repeats.clone(),
        config.common.heartbeat_ms,
        rand::random(),
    );
    State {
        dispatcher,
        deployment: None,
        roster: Directory::default(),
        stopped_at: None,
    }
}

fn link_config(
    config: &config::Entry,
    events: flume::Sender<link::Event>,
    stop: &CancellationToken,
) -> Result<link::Config> {
    let common = &config.common;
    let (instance, domain) = (common.instance.clone(), common.domain.clone());
    let address = config.front.to_string().into();
    let hello: Hello = link::hello(instance, Role::Router, domain, address);
    setup::links(common, hello, link::Events::single(events), stop)
}
