//! Control daemon: consensus, placement, commands to engines, settings.
//!
//! Three threads exchange messages over bounded channels:
//!
//! ```text
//! links ──▶ voter ──▶ controller ──▶ engine_client ──▶ engines
//! HTTP ─────────────▶     │    ◀──────────┘
//!           voter ◀───────┘
//! ```
//!
//! The [`voter`] thread runs the consensus node and writes to the disk. The [`controller`] thread
//! holds the replicated state and, on the leader, decides about replicas, leases and settings. The
//! [`engine_client`] thread sends commands and polls to engines. A tokio runtime serves the sockets
//! of links and HTTP.

pub mod controller;
pub mod engine_client;
pub mod http;
mod status;
pub mod voter;

pub use status::{LeaderStatus, Standing};

use eyre::{Result, WrapErr, eyre};
use lovageplank_core::consensus;
use lovageplank_core::prelude::*;
use lovageplank_disk::Folder;
use lovageplank_process::config::Config;
use lovageplank_process::http::Limits;
use lovageplank_process::link;
use lovageplank_wire::hello::LinkKey;
use lovageplank_wire::{Hello, Role};
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Maximum number of messages queued in each channel between threads. The voter keeps reports
/// beyond it in its own queue; HTTP calls and proposals beyond it are refused as overloaded.
const CHANNEL_CAPACITY: usize = 4_096;

/// Threads of the tokio runtime that serves sockets.
const SOCKET_THREADS: usize = 2;

/// A running control process.
pub struct Control {
    /// Address of the HTTP listener.
    pub address: SocketAddr,
    /// Address of the link listener.
    pub link: SocketAddr,
    stop: CancellationToken,
    threads: Vec<JoinHandle<Result<()>>>,
    runtime: Option<Runtime>,
}

/// Bound HTTP and link listeners of a control process.
#[derive(Debug)]
pub struct Listeners {
    http: std::net::TcpListener,
    link: std::net::TcpListener,
}

impl Listeners {
    /// Binds both listeners; port 0 selects a free port. Fails if an address can't be bound.
    pub fn bind(http: SocketAddr, link: SocketAddr) -> Result<Listeners> {
        Ok(Listeners {
            http: bind(http)?,
            link: bind(link)?,
        })
    }

    /// Address of the link listener.
    pub fn link(&self) -> Result<SocketAddr> {
        self.link.local_addr().wrap_err("listen for links")
    }
}

impl Control {
    /// Binds the listeners at the configured addresses and starts all threads.
    ///
    /// Fails if a setting is missing or invalid, an address can't be bound, or the data folder
    /// can't be opened.
    pub fn start(config: &Config, stop: &CancellationToken) -> Result<Control> {
        let link = config
            .link
            .ok_or_else(|| eyre!("setting `link` is missing"))?;
        Control::start_on(config, Listeners::bind(config.listen, link)?, stop)
    }

    /// Starts all threads on listeners that are already bound.
    ///
    /// The threads run until `stop` is cancelled or one of them ends, for example with a disk
    /// error. Fails if a setting is missing or invalid, or the data folder can't be opened.
    pub fn start_on(
        config: &Config,
        listeners: Listeners,
        stop: &CancellationToken,
    ) -> Result<Control> {
        let stop = stop.child_token();
        let (folder, stored) = open_folder(config)?;
        let id = folder.id();
        let runtime = start_runtime()?;
        let guard = runtime.enter();
        let listener = TcpListener::from_std(listeners.http).wrap_err("listen for HTTP")?;
        let links = TcpListener::from_std(listeners.link).wrap_err("listen for links")?;
        drop(guard);
        let (address, link) = (listener.local_addr()?, links.local_addr()?);

        let (control_sender, control_events) = flume::bounded(CHANNEL_CAPACITY);
        let (router_sender, router_events) = flume::bounded(CHANNEL_CAPACITY);
        let (call_sender, calls) = flume::bounded(CHANNEL_CAPACITY);
        let (request_sender, requests) = flume::bounded(CHANNEL_CAPACITY);
        let (report_sender, reports) = flume::bounded(CHANNEL_CAPACITY);
        let (engine_response_sender, engine_responses) = flume::bounded(CHANNEL_CAPACITY);
        let engine_requests = engine_client::start(engine_response_sender)?;
        let status = Arc::new(LeaderStatus::default());

        let events = link::Events {
            control: control_sender,
            router: router_sender,
        };
        let links_config = link_config(config, id, link, events, &stop)?;
        runtime.spawn(link::listen(links, links_config.clone()));
        for peer in config.peers.iter().filter(|p| **p != link) {
            runtime.spawn(link::dial(*peer, links_config.clone()));
        }
        runtime.spawn(serve_http(
            config.operator_key.as_str().into(),
            listener,
            call_sender,
            stop.clone(),
        ));

        let voter = voter::Config {
            consensus: consensus::Config::new(id, id.0),
            instance: config.instance.clone(),
            address: link.to_string().into(),
            votes: true,
            initial_voters: config.voters.clone(),
            links: control_events,
            requests,
            reports: report_sender,
            status: status.clone(),
            stop: stop.clone(),
        };
        let voter = voter::Driver::new(voter, folder, stored);
        let controller = controller::Controller::new(controller::Config {
            id,
            instance: config.instance.clone(),
            voter: request_sender,
            reports,
            links: router_events,
            calls,
            engine_requests,
            engine_responses,
            status,
            seed: id.0,
            stop: stop.clone(),
        });
        let threads = vec![
            spawn("voter", &stop, move || voter.run())?,
            spawn("controller", &stop, move || {
                controller.run();
                Ok(())
            })?,
        ];
        tracing::info!(
            event = "started",
            role = "control",
            instance = %config.instance,
            %address,
            %link,
            %id,
        );
        Ok(Control {
            address,
            link,
            stop,
            threads,
            runtime: Some(runtime),
        })
    }

    /// Waits until all threads have ended. Returns the error of the first thread that failed, in
    /// the order voter, controller.
    pub fn join(mut self) -> Result<()> {
        self.join_threads()
    }

    /// Stops all threads and waits for them.
    pub fn stop(mut self) {
        self.stop.cancel();
        // The thread that failed has logged the error.
        let _ = self.join_threads();
    }

    fn join_threads(&mut self) -> Result<()> {
        let mut outcome = Ok(());
        for thread in self.threads.drain(..) {
            let thread_outcome = thread
                .join()
                .unwrap_or_else(|_| Err(eyre!("a thread panicked")));
            outcome = outcome.and(thread_outcome);
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        outcome
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.stop.cancel();
        // The thread that failed has logged the error.
        let _ = self.join_threads();
    }
}

fn open_folder(config: &Config) -> Result<(Folder, consensus::StoredState)> {
    let path = config
        .data_dir
        .as_ref()
        .ok_or_else(|| eyre!("setting `data_dir` is missing"))?;
    Folder::open(path).wrap_err_with(|| format!("open data folder {}", path.display()))
}

fn start_runtime() -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(SOCKET_THREADS)
        .thread_name("sockets")
        .enable_all()
        .build()
        .wrap_err("start the tokio runtime for sockets")
}

fn link_config(
    config: &Config,
    id: consensus::Id,
    link: SocketAddr,
    events: link::Events,
    stop: &CancellationToken,
) -> Result<link::Config> {
    let (instance, domain) = (config.instance.clone(), config.failure_domain.clone());
    let hello = Hello {
        id: id.0,
        incarnation: unix_ms(),
        ..link::hello(instance, Role::Control, domain, link.to_string().into())
    };
    let key = LinkKey::new(config.link_key.as_bytes());
    let key = key.ok_or_else(|| eyre!("setting `keys.link` is too short"))?;
    Ok(link::Config {
        hello,
        key,
        events,
        egress: None,
        stop: stop.clone(),
    })
}

async fn serve_http(
    operator_key: Arc<str>,
    listener: TcpListener,
    calls: flume::Sender<http::Submission>,
    stop: CancellationToken,
) {
    let limits = Limits::default();
    let call_handler = http::CallHandler {
        operator_key,
        calls,
        limits,
    };
    let handler = move |_, request| call_handler.clone().handle(request);
    lovageplank_process::http::serve(listener, limits, handler, stop).await;
}

fn bind(address: SocketAddr) -> Result<std::net::TcpListener> {
    lovageplank_process::http::bind(address).wrap_err_with(|| format!("listen on {address}"))
}

/// Starts a thread. When it ends, even by a panic, `stop` is cancelled and the other threads end
/// too.
fn spawn(
    name: &str,
    stop: &CancellationToken,
    task: impl FnOnce() -> Result<()> + Send + 'static,
) -> Result<JoinHandle<Result<()>>> {
    let stop = stop.clone();
    let thread_name = name.to_owned();
    let run = move || {
        let _stop_all = stop.drop_guard();
        let outcome = task().wrap_err_with(|| thread_name.clone());
        if let Err(error) = &outcome {
            tracing::error!(event = "failed", step = thread_name, reason = %format!("{error:#}"));
        }
        outcome
    };
    std::thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .wrap_err("start thread")
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
