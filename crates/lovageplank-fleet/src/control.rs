//! The control process.
//!
//! ```text
//! links ──▶ voter (thread) ──▶ reports ──▶ state ──▶ links to entry and control processes
//! HTTP calls ─────────────────────────────▶ │ ▲
//!                                 commands ◀──┘ └── engines' answers and reports
//! ```
//!
//! The document goes through consensus. Backend servers' announcements don't: whichever control
//! process gets one passes it on to all, and a process that starts hears them again within one
//! interval. Commands to engines are planned by the leader alone, from engines' reports.

mod calls;
mod commands;
mod entries;
mod pump;
mod state;

use crate::config;
use crate::dialect::Dialect;
use crate::links::Dialer;
use crate::setup::{self, bind};
use eyre::{Result, WrapErr, eyre};
use lovageplank_control::Status;
use lovageplank_control::voter::{self, Request};
use lovageplank_core::consensus::{self, Stored};
use lovageplank_core::prelude::*;
use lovageplank_disk::{Folder, MemoryStorage};
use lovageplank_process::http::Limits;
use lovageplank_process::{http, link};
use lovageplank_router::dispatch::Pool;
use lovageplank_wire::{Hello, Role};
use state::State;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Messages that may wait between the voter and the rest.
const RING: usize = 4_096;
/// Entries after which the log is replaced by a snapshot; each holds a whole document.
const SNAPSHOT_EVERY: u64 = 24;
/// Shortest time without a leader before an election, in milliseconds: several syncs of a slow
/// disk fit in.
const ELECTION_TIMEOUT_MS: Millis = 400;
/// Milliseconds between heartbeats of the leader.
const HEARTBEAT_MS: Millis = 100;
/// Milliseconds that a process which stops gives calls and its successor.
const LINGER_MS: u64 = 900;
/// Bytes of a call's body.
const BODY_BYTES: usize = 8 << 20;

/// What the tasks of a control process share.
pub struct Shared {
    pub(crate) config: config::Control,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) status: Arc<Status>,
    pub(crate) pool: Pool,
    /// Wakes the planner.
    pub(crate) wake: Notify,
    pub(crate) requests: flume::Sender<Request>,
    pub(crate) stop: CancellationToken,
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn ask_voter(&self, request: Request) {
        if self.requests.try_send(request).is_err() {
            tracing::warn!(event = "voter_busy", reason = "its ring is full");
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
    /// Listens where the settings say.
    pub fn bind(config: &config::Control) -> Result<Listeners> {
        Ok(Listeners {
            calls: bind(config.listen)?,
            links: bind(config.link)?,
        })
    }
}

/// Runs a control process until `stop`; an error means that it can't go on.
pub async fn run(
    config: config::Control,
    listeners: Listeners,
    dialect: Arc<dyn Dialect>,
    seeds: flume::Receiver<Vec<SocketAddr>>,
    stop: CancellationToken,
) -> Result<()> {
    let calls = TcpListener::from_std(listeners.calls).wrap_err("listen for calls")?;
    let links = TcpListener::from_std(listeners.links).wrap_err("listen for links")?;
    let (folder, stored) = open_folder(&config)?;
    let id = folder.id();
    let (control_sender, control_events) = flume::bounded(RING);
    let (entry_sender, entry_events) = flume::bounded(RING);
    let (request_sender, requests) = flume::bounded(RING);
    let (report_sender, reports) = flume::bounded(RING);
    let done = CancellationToken::new();
    setup::serve_metrics(&config.common, &done)?;

    let events = link::Events {
        control: control_sender,
        router: entry_sender,
    };
    let link_config = link_config(&config, id, events, &done)?;
    tokio::spawn(link::listen(links, link_config.clone()));
    let own = Some(config.link);
    let dialer = Dialer::new(link_config, own, config.common.seeds.clone());

    let status = Arc::new(Status::default());
    let voter = voter::Config {
        consensus: consensus::Config::new(id, id.0)
            .snapshot_every(SNAPSHOT_EVERY)
            .election_timeout_ms(ELECTION_TIMEOUT_MS)
            .heartbeat_ms(HEARTBEAT_MS),
        instance: control_name(&config),
        address: config.link.to_string().into(),
        votes: config.data.is_some(),
        founders: config.founders.clone(),
        links: control_events,
        requests,
        reports: report_sender,
        status: status.clone(),
        stop: done.clone(),
    };
    let voter = start_voter(voter::Driver::new(voter, folder, stored), &done)?;
    let shared = Arc::new(Shared {
        state: Mutex::new(State::new(id, &config)),
        dialect,
        status,
        pool: Pool::default(),
        wake: Notify::new(),
        requests: request_sender,
        stop: done.clone(),
        config,
    });
    tokio::spawn(pump::reports(shared.clone(), reports, dialer, seeds));
    tokio::spawn(pump::entries(shared.clone(), entry_events));
    tokio::spawn(pump::ticks(shared.clone()));
    tokio::spawn(commands::run(shared.clone()));
    tokio::spawn(serve(shared.clone(), calls, done.clone()));
    tracing::info!(event = "started", role = "control", instance = %shared.config.common.instance, %id,
        votes = shared.config.data.is_some(), founders = ?shared.config.founders, seeds = ?shared.config.common.seeds);

    tokio::select! {
        () = stop.cancelled() => {
            tracing::info!(event = "stopping", role = "control");
            shared.ask_voter(Request::HandOver);
            tokio::time::sleep(Duration::from_millis(LINGER_MS)).await;
        }
        () = done.cancelled() => {}
    }
    done.cancel();
    voter
        .join()
        .unwrap_or_else(|_| Err(eyre!("the voter panicked")))
}

/// The data folder, or one in memory for a process that keeps nothing.
fn open_folder(config: &config::Control) -> Result<(Folder, Stored)> {
    let opened = match &config.data {
        Some(path) => Folder::open(path),
        None => Folder::open_storage(MemoryStorage::default()),
    };
    opened.wrap_err("open the data folder")
}

/// The name by which other control processes and operators know this one: its control address.
fn control_name(config: &config::Control) -> Name {
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
    let role = match config.data {
        Some(_) => Role::Control,
        None => Role::Observer,
    };
    let hello = Hello {
        id: id.0,
        ..link::hello(control_name(config), role, domain, address)
    };
    setup::links(&config.common, hello, events, stop)
}

/// The voter has a thread of its own, since it waits for the disk.
fn start_voter(
    driver: voter::Driver,
    done: &CancellationToken,
) -> Result<std::thread::JoinHandle<Result<()>>> {
    let done = done.clone();
    let run = move || {
        let _stop_all = done.drop_guard();
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
        body_bytes: BODY_BYTES,
        ..Limits::default()
    };
    let handler = move |_, request| calls::handle(shared.clone(), request, limits);
    http::serve(listener, limits, handler, stop).await;
}
