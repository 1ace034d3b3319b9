//! Control daemon: consensus, placement, commands to engines, settings.
//!
//! One thread for each duty, joined by bounded rings:
//!
//! ```text
//! links ──▶ voter ──▶ controller ──▶ commands ──▶ engines
//! HTTP ─────────────▶     │    ◀────────┘
//!           voter ◀───────┘
//! ```
//!
//! The [`voter`] drives consensus and the disk. The [`controller`] holds the replicated state and
//! decides while it leads. The [`commander`] talks to engines. Sockets of links and HTTP are
//! served by a small tokio runtime.

pub mod commander;
pub mod controller;
pub mod http;
mod status;
pub mod voter;

pub use status::Status;

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

/// Messages that may wait in a ring.
const RING: usize = 4_096;

/// Threads that serve sockets.
const SOCKET_THREADS: usize = 2;

/// A running control process.
pub struct Control {
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Where it accepts links.
    pub link: SocketAddr,
    stop: CancellationToken,
    threads: Vec<JoinHandle<Result<()>>>,
    runtime: Option<Runtime>,
}

/// Bound listeners of a control process.
#[derive(Debug)]
pub struct Listeners {
    http: std::net::TcpListener,
    link: std::net::TcpListener,
}

impl Listeners {
    /// Binds both; port 0 takes a free one.
    pub fn bind(http: SocketAddr, link: SocketAddr) -> Result<Listeners> {
        Ok(Listeners {
            http: bind(http)?,
            link: bind(link)?,
        })
    }

    /// Where links will be accepted.
    pub fn link(&self) -> Result<SocketAddr> {
        self.link.local_addr().wrap_err("listen for links")
    }
}

impl Control {
    /// Listens where the settings say and starts all threads.
    pub fn start(config: &Config, stop: &CancellationToken) -> Result<Control> {
        let link = config.link.ok_or_else(|| eyre!("link is missing"))?;
        Control::start_on(config, Listeners::bind(config.listen, link)?, stop)
    }

    /// Starts all threads on listeners that are bound already. `stop` ends them; so does an error
    /// of the disk.
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

        let (control_sender, control_events) = flume::bounded(RING);
        let (router_sender, router_events) = flume::bounded(RING);
        let (call_sender, calls) = flume::bounded(RING);
        let (request_sender, requests) = flume::bounded(RING);
        let (report_sender, reports) = flume::bounded(RING);
        let (found_sender, found) = flume::bounded(RING);
        let asks = commander::start(found_sender)?;
        let status = Arc::new(Status::default());

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
            founders: config.voters.clone(),
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
            asks,
            found,
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

    /// Waits until all threads have ended; the error is the one that ended them.
    pub fn join(mut self) -> Result<()> {
        self.wait()
    }

    /// Stops all threads and waits for them.
    pub fn stop(mut self) {
        self.stop.cancel();
        // A failure was logged by its thread; nothing more can be done about it here.
        let _ = self.wait();
    }

    fn wait(&mut self) -> Result<()> {
        let mut outcome = Ok(());
        for thread in self.threads.drain(..) {
            let ended = thread
                .join()
                .unwrap_or_else(|_| Err(eyre!("a thread panicked")));
            outcome = outcome.and(ended);
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
        // A failure was logged by its thread; nothing more can be done about it here.
        let _ = self.wait();
    }
}

fn open_folder(config: &Config) -> Result<(Folder, consensus::Stored)> {
    let path = config
        .data_dir
        .as_ref()
        .ok_or_else(|| eyre!("data_dir is missing"))?;
    Folder::open(path).wrap_err_with(|| format!("open data folder {}", path.display()))
}

fn start_runtime() -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(SOCKET_THREADS)
        .thread_name("sockets")
        .enable_all()
        .build()
        .wrap_err("start the sockets' runtime")
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
    let key = key.ok_or_else(|| eyre!("keys.link is too short"))?;
    Ok(link::Config {
        hello,
        key,
        events,
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
    let edge = http::Edge {
        operator_key,
        calls,
        limits,
    };
    let handler = move |_, request| edge.clone().handle(request);
    lovageplank_process::http::serve(listener, limits, handler, stop).await;
}

fn bind(address: SocketAddr) -> Result<std::net::TcpListener> {
    lovageplank_process::http::bind(address).wrap_err_with(|| format!("listen on {address}"))
}

/// Starts a duty's thread; when it ends, also by a panic, the whole process does.
fn spawn(
    name: &str,
    stop: &CancellationToken,
    duty: impl FnOnce() -> Result<()> + Send + 'static,
) -> Result<JoinHandle<Result<()>>> {
    let stop = stop.clone();
    let duty_name = name.to_owned();
    let run = move || {
        let _stop_all = stop.drop_guard();
        let outcome = duty().wrap_err_with(|| duty_name.clone());
        if let Err(error) = &outcome {
            tracing::error!(event = "failed", step = duty_name, reason = %format!("{error:#}"));
        }
        outcome
    };
    std::thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .wrap_err("start thread")
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
