//! Starts and stops a router.

use crate::broker::{self, Broker, Input};
use crate::call::Context;
use crate::clock::Clock;
use crate::control::Control;
use crate::control::link::ControlLinks;
use crate::decision::Identity;
use crate::dispatch::Pool;
use crate::edge::{ENTRIES_TTL_MS, Edge};
use crate::objectives;
use eyre::{Result, WrapErr, eyre};
use lovageplank_core::prelude::*;
use lovageplank_process::http::{self, Limits};
use lovageplank_process::{config, link};
use lovageplank_wire::Role;
use lovageplank_wire::hello::LinkKey;
use rand::Rng;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Threads of the runtime that serves sockets.
const SOCKET_THREADS: usize = 2;
/// Milliseconds beyond [`ENTRIES_TTL_MS`] for which a leaving router accepts callers.
const LEAVE_MARGIN_MS: u64 = 1_000;
/// Milliseconds for the runtime to shut down once all work is done; what runs on is abandoned.
const SHUTDOWN_TIMEOUT_MS: u64 = 1_000;

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct Config {
    instance: Name,
    failure_domain: Name,
    listen: SocketAddr,
    operator_key: Name,
    limits: Limits,
    leave_ms: u64,
}

impl Config {
    /// Settings of an instance in a failure domain that listens at any free port of 127.0.0.1.
    pub fn new(instance: impl Into<Name>, failure_domain: impl Into<Name>) -> Config {
        Config {
            instance: instance.into(),
            failure_domain: failure_domain.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            operator_key: "".into(),
            limits: Limits::default(),
            leave_ms: ENTRIES_TTL_MS + LEAVE_MARGIN_MS,
        }
    }

    /// Sets the address to listen at.
    #[must_use]
    pub fn listen(mut self, address: SocketAddr) -> Config {
        self.listen = address;
        self
    }

    /// Sets the operators' token.
    #[must_use]
    pub fn operator_key(mut self, key: impl Into<Name>) -> Config {
        self.operator_key = key.into();
        self
    }

    /// Sets the bounds of the listener.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Config {
        self.limits = limits;
        self
    }

    /// Sets for how many milliseconds a leaving router accepts callers that still use its address.
    #[must_use]
    pub fn leave_ms(mut self, ms: u64) -> Config {
        self.leave_ms = ms;
        self
    }
}

/// What is needed to connect a router to the control group.
pub struct ControlSetup {
    /// Receives what the control group sends.
    pub inputs: flume::Sender<Input>,
    /// Address at which the router listens.
    pub address: SocketAddr,
    /// Start time of the process in Unix milliseconds; grows with each start.
    pub incarnation: u64,
    /// Cancelled when the router stops.
    pub stop: CancellationToken,
}

/// Starts routers.
pub struct Router;

impl Router {
    /// Starts a router; `connect` connects it to the control group and is called within the
    /// router's runtime.
    ///
    /// Fails if the runtime, the listener, the connection or the decision thread can't be started.
    pub fn start(
        config: &Config,
        connect: impl FnOnce(ControlSetup) -> Result<Arc<dyn Control>>,
    ) -> Result<Handle> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(SOCKET_THREADS)
            .thread_name("sockets")
            .enable_all()
            .build()
            .wrap_err("start runtime")?;
        let listener =
            http::bind(config.listen).wrap_err_with(|| format!("listen at {}", config.listen))?;
        let listener = {
            let _guard = runtime.enter();
            TcpListener::from_std(listener).wrap_err("listen")?
        };
        let address = listener.local_addr().wrap_err("listen")?;
        let (broker, receiver) = Broker::channel();
        let stop_links = CancellationToken::new();
        let incarnation = incarnation();
        let setup = ControlSetup {
            inputs: broker.inputs(),
            address,
            incarnation,
            stop: stop_links.clone(),
        };
        let control = {
            let _guard = runtime.enter();
            connect(setup)?
        };
        let clock = Clock::start();
        let identity = Identity {
            instance: config.instance.clone(),
            failure_domain: config.failure_domain.clone(),
        };
        let seed = rand::rng().random();
        let (reporter, objectives) = objectives::channel();
        let thread = broker::spawn(identity, seed, clock, receiver, control.clone(), objectives)
            .wrap_err("start thread")?;
        let context = Arc::new(Context {
            broker: broker.clone(),
            pool: Pool::default(),
            control,
            clock,
            instance: config.instance.clone(),
            incarnation,
            tasks: TaskTracker::new(),
            reporter,
        });
        let prefix = format!("{}-{incarnation:x}", config.instance);
        let edge = Arc::new(Edge::new(
            context.clone(),
            prefix.into(),
            config.operator_key.clone(),
        ));
        let stop_listener = CancellationToken::new();
        let handler = move |peer, request| edge.clone().handle(peer, request);
        let listening = http::serve(listener, config.limits, handler, stop_listener.clone());
        let listener_task = runtime.spawn(listening);
        tracing::info!(event = "started", instance = %config.instance, %address);
        Ok(Handle {
            address,
            leave_ms: config.leave_ms,
            runtime: Some(runtime),
            context,
            broker,
            thread: Some(thread),
            listener_task: Some(listener_task),
            stop_listener,
            stop_links,
        })
    }

    /// Starts the router of a settings file, linked to its control group.
    pub fn start_linked(settings: &config::Config) -> Result<Handle> {
        let key = LinkKey::new(settings.link_key.as_bytes())
            .ok_or_else(|| eyre!("setting keys.link is too short"))?;
        let config = Config::new(settings.instance.clone(), settings.failure_domain.clone())
            .listen(settings.listen)
            .operator_key(settings.operator_key.as_str());
        let peers = settings.peers.clone();
        let (instance, domain) = (settings.instance.clone(), settings.failure_domain.clone());
        Router::start(&config, move |setup| {
            let address = setup.address.to_string().into();
            let mut hello = link::hello(instance, Role::Router, domain, address);
            hello.incarnation = setup.incarnation;
            let (unused, _) = flume::bounded(1);
            let config = link::Config {
                hello,
                key,
                events: link::Events::single(unused),
                egress: None,
                stop: setup.stop,
            };
            Ok(Arc::new(ControlLinks::start(peers, config, setup.inputs)))
        })
    }
}

/// The current time in Unix milliseconds, which identifies this start of the process.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(0))
}

/// A running router; dropping it stops it at once.
pub struct Handle {
    /// Address at which it listens.
    pub address: SocketAddr,
    leave_ms: u64,
    runtime: Option<Runtime>,
    context: Arc<Context>,
    broker: Broker,
    thread: Option<JoinHandle<()>>,
    listener_task: Option<tokio::task::JoinHandle<()>>,
    stop_listener: CancellationToken,
    stop_links: CancellationToken,
}

impl Handle {
    /// Stops gracefully: removes the instance from the answers of `/v1/entries`, serves callers
    /// that still use its address, finishes all requests, then ends.
    pub fn stop(mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        tracing::info!(event = "leaving", address = %self.address);
        self.broker.notify(Input::Leave);
        runtime.block_on(async {
            tokio::time::sleep(Duration::from_millis(self.leave_ms)).await;
            self.stop_listener.cancel();
            if let Some(listener_task) = self.listener_task.take() {
                // Fails only if the listener's task panicked, which the runtime has printed.
                let _ = listener_task.await;
            }
            self.context.tasks.close();
            self.context.tasks.wait().await;
        });
        self.stop_links.cancel();
        self.end_thread();
        runtime.shutdown_timeout(Duration::from_millis(SHUTDOWN_TIMEOUT_MS));
        tracing::info!(event = "stopped", address = %self.address);
    }

    fn end_thread(&mut self) {
        self.broker.notify(Input::Stop);
        if let Some(thread) = self.thread.take() {
            // Fails only if the thread panicked, which was printed already.
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop_links.cancel();
        self.stop_listener.cancel();
        self.end_thread();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
