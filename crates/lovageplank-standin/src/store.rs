//! A stand-in for the weight store, with limited bandwidth and a rate limit.
//!
//! ```no_run
//! use lovageplank_standin::store::Config;
//! let store = Config::new().loads_per_s(4.0).full_speed(4).start().unwrap();
//! println!("{}", store.address());
//! ```
//!
//! `GET /weights/{model}` and `GET /adapters/{name}` respond when the simulated load is complete.
//! Concurrent loads share the store's bandwidth: up to a configured number, each runs at full
//! speed; beyond it, all take proportionally longer. A token bucket also limits the rate at which
//! loads of models start, with a burst of as many loads as run at full speed. `POST /fault` with
//! [`StoreFaults`] slows the store down or makes it unavailable.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lovageplank_core::prelude::*;

use crate::http::{Call, Control, Handler, Response, Server};
use bandwidth::{RateLimiter, SharedBandwidth};

mod bandwidth;

/// Upper bound in milliseconds of the load time at full speed that is derived from the rate; longer
/// times are shortened to it.
const MAX_LOAD_MS: u64 = 600_000;

record! { key =>
    /// Fault switches of the store.
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// Factor by which the duration of every load grows; 0 counts as 1.
        pub slowdown: u32,
        /// Whether every new load is refused with status 503.
        pub unavailable: bool,
    }
}

impl Default for StoreFaults {
    fn default() -> StoreFaults {
        StoreFaults {
            slowdown: 1,
            unavailable: false,
        }
    }
}

record! { key =>
    /// Counters of the store; the body of `GET /records`.
    #[serde(default)]
    #[derive(Default)]
    pub struct Snapshot {
        /// Number of loads started, by model.
        pub weights: BTreeMap<String, u32>,
        /// Number of loads started, by adapter.
        pub adapters: BTreeMap<String, u32>,
        /// Largest number of concurrent loads of models.
        pub most_weights: u32,
        /// Largest number of concurrent loads of adapters.
        pub most_adapters: u32,
    }
}

/// Settings of a [`Store`].
#[derive(Clone, Debug)]
pub struct Config {
    listen: String,
    loads_per_s: f64,
    full_speed: u32,
    load_ms: Option<u64>,
    adapter_ms: (u64, u64),
    adapters_full_speed: u32,
    faults: StoreFaults,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            listen: "127.0.0.1:0".to_owned(),
            loads_per_s: 4.0,
            full_speed: 4,
            load_ms: None,
            adapter_ms: (5, 10),
            adapters_full_speed: 32,
            faults: StoreFaults::default(),
        }
    }
}

impl Config {
    /// Creates the default settings: four loads of models start per second, and four loads of
    /// models and 32 of adapters run at full speed.
    pub fn new() -> Config {
        Config::default()
    }

    /// Starts a store with these settings.
    ///
    /// Errors: as in [`Store::start`].
    pub fn start(self) -> std::io::Result<Store> {
        Store::start(self)
    }

    /// Sets the address to bind; port 0 selects a free port.
    #[must_use]
    pub fn listen(mut self, address: impl Into<String>) -> Config {
        self.listen = address.into();
        self
    }

    /// Sets how many loads of models may start per second; 0 means no limit.
    #[must_use]
    pub fn loads_per_s(mut self, rate: f64) -> Config {
        self.loads_per_s = rate;
        self
    }

    /// Sets how many concurrent loads of models run at full speed, at least 1.
    #[must_use]
    pub fn full_speed(mut self, loads: u32) -> Config {
        self.full_speed = loads.max(1);
        self
    }

    /// Sets the duration of a model's load at full speed, in milliseconds; if not set, it is
    /// derived from the rate.
    #[must_use]
    pub fn load_ms(mut self, time: u64) -> Config {
        self.load_ms = Some(time);
        self
    }

    /// Sets an adapter's shortest and longest load time at full speed, in milliseconds.
    #[must_use]
    pub fn adapter_ms(mut self, shortest: u64, longest: u64) -> Config {
        self.adapter_ms = (shortest, longest.max(shortest));
        self
    }

    /// Sets how many concurrent loads of adapters run at full speed, at least 1.
    #[must_use]
    pub fn adapters_full_speed(mut self, loads: u32) -> Config {
        self.adapters_full_speed = loads.max(1);
        self
    }

    /// Sets the faults that are active at the start.
    #[must_use]
    pub fn faults(mut self, faults: StoreFaults) -> Config {
        self.faults = faults;
        self
    }

    /// Returns the duration of a model's load at full speed, in milliseconds: as configured, or
    /// such that `full_speed` concurrent loads complete at the configured rate.
    fn full_speed_ms(&self) -> u64 {
        if let Some(time) = self.load_ms {
            return time;
        }
        if self.loads_per_s <= 0.0 {
            return 0;
        }
        let time = f64::from(self.full_speed) / self.loads_per_s;
        let time = std::time::Duration::try_from_secs_f64(time).unwrap_or_default();
        u64::try_from(time.as_millis()).map_or(MAX_LOAD_MS, |ms| ms.min(MAX_LOAD_MS))
    }
}

/// A running weight store; dropping it stops it at once and cuts its connections.
pub struct Store {
    core: Arc<Core>,
    server: Server,
    control: Control,
}

impl Store {
    /// Binds the listen address and starts to serve requests.
    ///
    /// Errors: the address can't be bound, or the server's thread can't be started.
    pub fn start(config: Config) -> std::io::Result<Store> {
        let control = Control::default();
        let listen = config.listen.clone();
        let core = Arc::new(Core::new(config));
        let server = Server::start(&listen, control.clone(), core.clone())?;
        Ok(Store {
            core,
            server,
            control,
        })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults; a new `slowdown` also affects the loads in progress.
    pub fn set_faults(&self, faults: StoreFaults) {
        *lock(&self.core.faults) = faults;
    }

    /// Returns a copy of the counters.
    pub fn records(&self) -> Snapshot {
        lock(&self.core.snapshot).clone()
    }

    /// Returns the token that is cancelled when the store stops.
    pub fn stop_token(&self) -> tokio_util::sync::CancellationToken {
        self.control.stop.clone()
    }
}

/// State shared by the store's requests.
struct Core {
    full_speed_ms: u64,
    adapter_ms: (u64, u64),
    weights: SharedBandwidth,
    adapters: SharedBandwidth,
    rate: RateLimiter,
    faults: Mutex<StoreFaults>,
    snapshot: Mutex<Snapshot>,
}

impl Core {
    fn new(config: Config) -> Core {
        Core {
            full_speed_ms: config.full_speed_ms(),
            adapter_ms: config.adapter_ms,
            weights: SharedBandwidth::new(config.full_speed),
            adapters: SharedBandwidth::new(config.adapters_full_speed),
            rate: RateLimiter::new(config.loads_per_s, config.full_speed),
            faults: Mutex::new(config.faults),
            snapshot: Mutex::default(),
        }
    }

    fn slowdown(&self) -> u32 {
        lock(&self.faults).slowdown.max(1)
    }

    async fn weights(&self, model: &str) -> Response {
        self.rate.acquire().await;
        let transfer = self.weights.start();
        {
            let mut snapshot = lock(&self.snapshot);
            *snapshot.weights.entry(model.to_owned()).or_default() += 1;
            snapshot.most_weights = snapshot.most_weights.max(self.weights.in_flight());
        }
        transfer.run(self.full_speed_ms, || self.slowdown()).await;
        Response::json(200, &serde_json::json!({"model": model}))
    }

    async fn adapter(&self, name: &str) -> Response {
        let (shortest, longest) = self.adapter_ms;
        let extra_ms = crate::engine::text::hash(name, None, "") % (longest - shortest + 1);
        let transfer = self.adapters.start();
        {
            let mut snapshot = lock(&self.snapshot);
            *snapshot.adapters.entry(name.to_owned()).or_default() += 1;
            snapshot.most_adapters = snapshot.most_adapters.max(self.adapters.in_flight());
        }
        transfer.run(shortest + extra_ms, || self.slowdown()).await;
        Response::json(200, &serde_json::json!({"adapter": name}))
    }

    async fn fault(&self, call: Call) -> Response {
        match call.read_json::<StoreFaults>("bad_fault").await {
            Ok(faults) => {
                *lock(&self.faults) = faults.clone();
                Response::json(200, &faults)
            }
            Err(response) => response,
        }
    }
}

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        let path = call.path.clone();
        if call.method == "POST" && path == "/fault" {
            return self.fault(call).await;
        }
        if call.method == "GET" && path == "/records" {
            return Response::json(200, &*lock(&self.snapshot));
        }
        let unavailable = lock(&self.faults).unavailable;
        match (
            path.strip_prefix("/weights/"),
            path.strip_prefix("/adapters/"),
        ) {
            (Some(_), _) | (_, Some(_)) if unavailable => {
                Response::error(503, "unavailable", "the store is switched off")
            }
            (Some(model), _) => self.weights(model).await,
            (_, Some(adapter)) => self.adapter(adapter).await,
            _ => {
                let message = format!("a weight store has no {} {path}", call.method);
                Response::error(404, "unknown_path", &message)
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
