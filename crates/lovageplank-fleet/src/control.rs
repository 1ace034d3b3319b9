//! The control process: replicates the document, keeps the registry and commands the engines.
//!
//! ```text
//! links ──▶ voter (thread) ─ voter's reports ─▶ state ──▶ links to routers and control processes
//! HTTP calls ──────────────────────────────────▶ │ ▲
//!                           commands to engines ◀─┘ └── engines' answers and reports
//! ```
//!
//! The document is replicated by consensus. Announcements of backend servers are not: the control
//! process that receives one relays it to the others, and a process that has just started receives
//! all of them again within one announcement interval. Only the leader plans commands to engines,
//! from the engines' reports.
//!
//! Consensus runs on a thread of its own, which is called the voter. A process without a data
//! folder has this thread too, but only replicates the log and never votes.

mod calls;
mod commands;
mod content;
mod deferral_log;
mod documents;
mod event_loops;
mod full_update;
mod origins;
mod packed;
mod places;
mod quarantine;
mod quota;
mod retries;
mod routers;
mod servers;
mod starvation_log;
mod state;
mod store_loads;
mod totals;

use crate::config;
use crate::dialect::Dialect;
use crate::links::Dialer;
use crate::setup::{self, bind};
use eyre::{Result, WrapErr, eyre};
use lovageplank_control::LeaderStatus;
use lovageplank_control::voter::{self, Request};
use lovageplank_core::consensus::{self, StoredState};
use lovageplank_core::prelude::*;
use lovageplank_disk::{Folder, MemoryStorage};
use lovageplank_process::body::Budget;
use lovageplank_process::http::Limits;
use lovageplank_process::{http, link};
use lovageplank_wire::{Hello, Role};
use state::State;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

/// Capacity, in messages, of each channel between links, voter and event loops. Requests to the
/// voter beyond it are dropped.
const CHANNEL_CAPACITY: usize = 4_096;
/// Log entries after which a snapshot replaces the log; each entry holds a whole document.
const SNAPSHOT_LOG_ENTRIES: u64 = 24;
/// Shortest time without a leader before an election, in milliseconds. It is long enough for
/// several syncs of a slow disk.
const ELECTION_TIMEOUT_MS: Millis = 400;
/// Milliseconds between the leader's heartbeats.
const HEARTBEAT_MS: Millis = 100;
/// Milliseconds between a stop signal and the shutdown of the tasks, for calls in progress and for
/// the handover of leadership.
const STOP_DELAY_MS: u64 = 900;
/// Calls to engines that are made at a time.
const ENGINE_CALLS_MAX: usize = 48;
/// Largest body of a call, in bytes; larger ones are refused.
const MAX_BODY_BYTES: usize = 8 << 20;

/// State that the tasks of a control process share.
pub struct Shared {
    pub(crate) config: config::Control,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Memory for the bodies of calls and of the answers to them.
    body_budget: Budget,
    /// Whether this process leads, as the voter last published it.
    pub(crate) leadership_status: Arc<LeaderStatus>,
    /// Calls to engines in progress. More at a time would wait for each other on the one thread, beyond the time
    /// that a connection may take to open.
    engine_calls: Semaphore,
    /// Wakes the planner before its interval has passed.
    pub(crate) planner_wake: Notify,
    /// Wakes the task that proposes versions of servers' software and origins of streams.
    pub(crate) origins_wake: Notify,
    /// Wakes the task that sends routers the document.
    pub(crate) documents_wake: Notify,
    /// Wakes the task that sends the held keys.
    pub(crate) held_keys_wake: Notify,
    pub(crate) voter_requests: flume::Sender<Request>,
    pub(crate) stop: CancellationToken,
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Proposes an entry of the log without a task that waits for the outcome.
    fn propose(&self, content: &content::Content) {
        self.send_to_voter(Request::Propose {
            request_id: 0,
            data: content.encode(),
        });
    }

    /// Queues a request for the voter; drops it if the channel is full.
    pub(crate) fn send_to_voter(&self, request: Request) {
        if self.voter_requests.try_send(request).is_err() {
            tracing::warn!(
                event = "voter_busy",
                reason = "the channel of voter requests is full"
            );
        }
    }
}

/// Bound listeners of a control process.
#[derive(Debug)]
pub struct Listeners {
    /// For operators and backend servers.
    pub calls: std::net::TcpListener,
    /// For links.
    pub links: std::net::TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    pub fn bind(config: &config::Control) -> Result<Listeners> {
        Ok(Listeners {
            calls: bind(config.listen)?,
            links: bind(config.link)?,
        })
    }
}

/// Runs a control process until `stop`. An error means that it couldn't start or that its voter
/// failed.
pub async fn run(
    config: config::Control,
    listeners: Listeners,
    dialect: Arc<dyn Dialect>,
    seeds: flume::Receiver<Vec<SocketAddr>>,
    stop: CancellationToken,
) -> Result<()> {
    let calls = TcpListener::from_std(listeners.calls)
        .wrap_err("listen for operators and backend servers")?;
    let links = TcpListener::from_std(listeners.links).wrap_err("listen for links")?;
    let (folder, stored) = open_folder(&config)?;
    let id = folder.id();
    let (control_sender, control_events) = flume::bounded(CHANNEL_CAPACITY);
    let (router_sender, router_events) = flume::bounded(CHANNEL_CAPACITY);
    let (request_sender, requests) = flume::bounded(CHANNEL_CAPACITY);
    let (report_sender, reports) = flume::bounded(CHANNEL_CAPACITY);
    // Cancelled after the stop signal, or when the voter's thread ends; stops all tasks.
    let shutdown = CancellationToken::new();
    setup::serve_metrics(&config.common, &shutdown)?;

    let events = link::Events {
        control: control_sender,
        router: router_sender,
    };
    let link_config = link_config(&config, id, events, &shutdown)?;
    tokio::spawn(link::listen(links, link_config.clone()));
    let own_link_address = Some(config.link);
    let dialer = Dialer::new(link_config, own_link_address, config.common.seeds.clone());

    let status = Arc::new(LeaderStatus::default());
    let voter_config = voter::Config {
        consensus: consensus::Config::new(id, id.0)
            .snapshot_every(SNAPSHOT_LOG_ENTRIES)
            .election_timeout_ms(ELECTION_TIMEOUT_MS)
            .heartbeat_ms(HEARTBEAT_MS),
        // The name of this member in the control group is its control address.
        instance: control_address(&config),
        address: config.link.to_string().into(),
        votes: config.data.is_some(),
        initial_voters: config.initial_voters.clone(),
        links: control_events,
        requests,
        reports: report_sender,
        status: status.clone(),
        stop: shutdown.clone(),
    };
    let voter_thread = start_voter(voter::Driver::new(voter_config, folder, stored), &shutdown)?;
    let broadcasts_wake = Arc::new(Notify::new());
    let shared = Arc::new(Shared {
        state: Mutex::new(State::new(id, &config, broadcasts_wake.clone())),
        dialect,
        body_budget: config.common.capacity.budget(),
        leadership_status: status,
        engine_calls: Semaphore::new(ENGINE_CALLS_MAX),
        planner_wake: Notify::new(),
        origins_wake: Notify::new(),
        documents_wake: Notify::new(),
        held_keys_wake: Notify::new(),
        voter_requests: request_sender,
        stop: shutdown.clone(),
        config,
    });
    tokio::spawn(event_loops::voter_reports(
        shared.clone(),
        reports,
        dialer,
        seeds,
    ));
    tokio::spawn(event_loops::router_links(shared.clone(), router_events));
    tokio::spawn(event_loops::timer(shared.clone()));
    tokio::spawn(event_loops::documents(shared.clone()));
    tokio::spawn(event_loops::held_keys(shared.clone()));
    tokio::spawn(event_loops::broadcasts(shared.clone(), broadcasts_wake));
    tokio::spawn(commands::run(shared.clone()));
    if shared.config.quota.is_some() {
        tokio::spawn(quota::run(shared.clone()));
    }
    tokio::spawn(origins::propose(shared.clone()));
    tokio::spawn(serve(shared.clone(), calls, shutdown.clone()));
    // `founders` are the initial voters.
    tracing::info!(event = "started", role = "control", instance = %shared.config.common.instance, %id,
        votes = shared.config.data.is_some(), founders = ?shared.config.initial_voters, seeds = ?shared.config.common.seeds);

    tokio::select! {
        () = stop.cancelled() => {
            tracing::info!(event = "stopping", role = "control");
            shared.send_to_voter(Request::TransferLeadership);
            tokio::time::sleep(Duration::from_millis(STOP_DELAY_MS)).await;
        }
        () = shutdown.cancelled() => {}
    }
    shutdown.cancel();
    voter_thread
        .join()
        .unwrap_or_else(|_| Err(eyre!("the voter thread panicked")))
}

/// Opens the data folder, or one in memory for a process without a folder.
fn open_folder(config: &config::Control) -> Result<(Folder, StoredState)> {
    let opened = match &config.data {
        Some(path) => Folder::open(path),
        None => Folder::open_storage(MemoryStorage::default()),
    };
    opened.wrap_err("open the data folder")
}

/// The address for calls of operators and backend servers. Other control processes use it as the
/// name of this process.
fn control_address(config: &config::Control) -> Name {
    config.listen.to_string().into()
}

fn link_config(
    config: &config::Control,
    id: consensus::Id,
    events: link::Events,
    stop: &CancellationToken,
) -> Result<link::Config> {
    let domain = config.common.domain.clone();
    let address = config.link.to_string().into();
    // A process without a data folder replicates the log and never votes.
    let role = match config.data {
        Some(_) => Role::Control,
        None => Role::Observer,
    };
    let hello = Hello {
        id: id.0,
        ..link::hello(control_address(config), role, domain, address)
    };
    Ok(link::Config {
        egress: Some(Arc::new(link::Egress::new(config.link_bytes_per_s))),
        ..setup::link_config(&config.common, hello, events, stop)?
    })
}

/// Starts the voter on a thread of its own, because it blocks on the disk. When the thread ends,
/// `shutdown` is cancelled.
fn start_voter(
    driver: voter::Driver,
    shutdown: &CancellationToken,
) -> Result<std::thread::JoinHandle<Result<()>>> {
    let shutdown = shutdown.clone();
    let run = move || {
        let _stop_all = shutdown.drop_guard();
        let outcome = driver.run();
        if let Err(error) = &outcome {
            tracing::error!(event = "failed", step = "voter", reason = %format!("{error:#}"));
        }
        outcome
    };
    std::thread::Builder::new()
        .name("voter".into())
        .spawn(run)
        .wrap_err("start the voter")
}

async fn serve(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let limits = Limits {
        body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    };
    let connections = shared.config.common.capacity.caller_connections();
    let handler = move |_, request| calls::handle(shared.clone(), request, limits);
    http::serve_within(listener, limits, connections, handler, stop).await;
}
