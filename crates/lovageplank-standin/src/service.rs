//! A stand-in for a plain service, which echoes request bodies and counts runs.
//!
//! ```no_run
//! use lovageplank_standin::service::Config;
//! let service = Config::new("orders-1").service("orders").latency_ms(5).start().unwrap();
//! println!("{}", service.address());
//! ```
//!
//! It accepts any method on any path, except for its own endpoints (`POST /fault`, `POST /leave`,
//! `GET /records`, `GET /state`, `GET /healthz`). It counts runs by `Idempotency-Key` and by
//! request id, and never refuses a repeated key: the caller has to ensure that a call runs at most
//! once, and the records show whether it did.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use lovageplank_core::backend::{
    Announcement, CachedWeights, Kind, ServerReport, State as LifecycleState,
};
use lovageplank_core::prelude::*;

use tokio_util::sync::CancellationToken;

use crate::announce::{AnnouncementSource, Announcer, Status};
use crate::fault::{FaultSwitches, Faults};
use crate::http::{self, Control, Server};
use crate::record::{Records, Snapshot, unix_us};
use crate::shared::{shared_handle, shared_setters};

mod serve;

/// Time in milliseconds that [`Service::stop`] waits for calls in progress, and then again for
/// their responses to be sent, before it cuts them off.
const DRAIN_MS: u64 = 30_000;

/// Settings of a [`Service`].
#[derive(Clone, Debug)]
pub struct Config {
    id: Name,
    listen: String,
    failure_domain: Name,
    services: BTreeSet<Name>,
    announce_to: Vec<String>,
    incarnation: Option<u64>,
    latency_ms: u64,
    report_ms: u64,
    faults: Faults,
    records: Option<Arc<Records>>,
}

impl Config {
    shared_setters!();

    /// Creates the default settings: port 0 of 127.0.0.1, and no instance to announce to.
    pub fn new(id: impl Into<Name>) -> Config {
        Config {
            id: id.into(),
            listen: "127.0.0.1:0".to_owned(),
            failure_domain: "local".into(),
            services: BTreeSet::new(),
            announce_to: Vec::new(),
            incarnation: None,
            latency_ms: 0,
            report_ms: 200,
            faults: Faults::default(),
            records: None,
        }
    }

    /// Starts a service with these settings.
    ///
    /// Errors: as in [`Service::start`].
    pub fn start(self) -> std::io::Result<Service> {
        Service::start(self)
    }

    /// Sets the duration of a call, in milliseconds.
    #[must_use]
    pub fn latency_ms(mut self, latency: u64) -> Config {
        self.latency_ms = latency;
        self
    }
}

/// A running service; dropping it stops it at once, like [`Service::kill`].
pub struct Service {
    core: Arc<Core>,
    server: Server,
    announcer: Announcer,
}

impl Service {
    shared_handle!();

    /// Binds the listen address and starts to serve requests and send announcements.
    ///
    /// Errors: the address can't be bound, or the server's thread can't be started.
    pub fn start(config: Config) -> std::io::Result<Service> {
        let control = Control::default();
        let to = config.announce_to.clone();
        let report_every = Duration::from_millis(config.report_ms);
        let listen = config.listen.clone();
        let core = Arc::new(Core::new(config, control.clone()));
        let server = Server::start(&listen, control.clone(), core.clone())?;
        core.address.get_or_init(|| server.address());
        let announcer = Announcer::start(core.clone(), to, report_every, control.stop);
        core.waker.get_or_init(|| announcer.waker());
        core.set_faults(core.faults.get());
        Ok(Service {
            core,
            server,
            announcer,
        })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops gracefully: refuses new calls, waits up to 30 seconds for calls in progress and up to
    /// 30 seconds for their responses to be sent, then closes the listener and all connections.
    pub fn stop(mut self) {
        self.leave();
        let drain = Duration::from_millis(DRAIN_MS);
        // A call continues after its client disconnects, and then has no response to wait for.
        http::poll_until(Instant::now() + drain, || {
            self.core.running.load(Ordering::SeqCst) == 0
        });
        self.server.stop(drain);
    }

    /// Stops at once, like a crash: cuts all connections and sends no more announcements.
    pub fn kill(self) {
        self.core.control.stop.cancel();
    }

    /// Waits until the service is stopped.
    pub fn join(mut self) {
        self.server.join();
    }
}

/// State shared by the threads of a service.
struct Core {
    config: Config,
    control: Control,
    faults: FaultSwitches,
    records: Arc<Records>,
    running: AtomicU32,
    leaving: AtomicBool,
    reports: AtomicU32,
    incarnation: u64,
    address: OnceLock<SocketAddr>,
    waker: OnceLock<flume::Sender<()>>,
}

impl Core {
    fn new(config: Config, control: Control) -> Core {
        Core {
            control,
            faults: FaultSwitches::new(config.faults.clone()),
            records: config.records.clone().unwrap_or_default(),
            running: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            reports: AtomicU32::new(0),
            incarnation: config.incarnation.unwrap_or_else(|| unix_us() / 1_000),
            address: OnceLock::new(),
            waker: OnceLock::new(),
            config,
        }
    }

    fn set_faults(&self, faults: Faults) {
        self.control.apply_faults(&faults);
        self.faults.set(faults);
    }

    fn snapshot(&self) -> Snapshot {
        self.records.snapshot(&self.config.id)
    }

    fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        if let Some(waker) = self.waker.get() {
            // If the channel is full, a wake-up is already pending and covers this change.
            let _covered = waker.try_send(());
        }
    }
}

impl AnnouncementSource for Core {
    fn announcement(&self) -> Announcement {
        let bound = self.address.get().map(|address| address.to_string().into());
        let leaving = self.leaving.load(Ordering::SeqCst);
        Announcement {
            id: self.config.id.clone(),
            incarnation: self.incarnation,
            address: bound.unwrap_or_default(),
            kind: Kind::Service,
            failure_domain: self.config.failure_domain.clone(),
            services: self.config.services.clone(),
            accelerators: Vec::new(),
            fencing: false,
            loaded: Vec::new(),
            cached: CachedWeights::default(),
            state: if leaving {
                LifecycleState::Leaving
            } else {
                LifecycleState::Ready
            },
            running: self.running.load(Ordering::SeqCst),
        }
    }

    fn report(&self) -> Option<ServerReport> {
        Some(ServerReport {
            id: self.config.id.clone(),
            incarnation: self.incarnation,
            sequence: u64::from(self.reports.fetch_add(1, Ordering::SeqCst)) + 1,
            age_ms: 0,
            running: self.running.load(Ordering::SeqCst),
            queued: 0,
            kv_used: 0.0,
            cache: Vec::new(),
        })
    }

    fn report_lag(&self) -> Duration {
        Duration::from_millis(self.faults.get().report_lag_ms)
    }

    fn is_silent(&self) -> bool {
        self.faults.get().silent
    }
}
