//! A weight store of limited rate.
//!
//! ```no_run
//! use lovageplank_standin::store::Config;
//! let store = Config::new().loads_per_s(4.0).full_speed(4).start().unwrap();
//! println!("{}", store.address());
//! ```
//!
//! `GET /weights/{model}` and `GET /adapters/{name}` answer when the load would be done. Loads
//! share the store's speed: up to a limit each runs at full speed, beyond it all take
//! proportionally longer. Loads of models also start no faster than the rate allows, but for a
//! burst of as many as run at full speed. `POST /fault` with [`Trouble`] slows the store down.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lovageplank_core::prelude::*;

use crate::http::{Call, Control, Handler, Response, Server};
use bandwidth::{RateLimiter, SharedBandwidth};

mod bandwidth;

/// Longest load time that one at full speed may be given, in milliseconds.
const MAX_LOAD_MS: u64 = 600_000;

record! { key =>
    /// What is wrong with the store.
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// Factor by which every load takes longer; at least 1.
        pub slowdown: u32,
        /// Whether every load fails with status 503.
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
    /// What the store did; the body of `GET /records`.
    #[serde(default)]
    #[derive(Default)]
    pub struct Snapshot {
        /// Loads begun, by model.
        pub weights: BTreeMap<String, u32>,
        /// Loads begun, by adapter.
        pub adapters: BTreeMap<String, u32>,
        /// Most models that were loaded at once.
        pub most_weights: u32,
        /// Most adapters that were loaded at once.
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
    /// A store of four loads a second, four at full speed, with 32 adapters at full speed.
    pub fn new() -> Config {
        Config::default()
    }

    /// Starts the store.
    pub fn start(self) -> std::io::Result<Store> {
        Store::start(self)
    }

    /// Sets the address to bind; port 0 takes a free one.
    #[must_use]
    pub fn listen(mut self, address: impl Into<String>) -> Config {
        self.listen = address.into();
        self
    }

    /// Sets the loads of models that may start in a second; 0 means any number.
    #[must_use]
    pub fn loads_per_s(mut self, rate: f64) -> Config {
        self.loads_per_s = rate;
        self
    }

    /// Sets how many loads of models run at full speed.
    #[must_use]
    pub fn full_speed(mut self, loads: u32) -> Config {
        self.full_speed = loads.max(1);
        self
    }

    /// Sets how long a load takes at full speed, in milliseconds; else the rate decides.
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

    /// Sets how many loads of adapters run at full speed.
    #[must_use]
    pub fn adapters_full_speed(mut self, loads: u32) -> Config {
        self.adapters_full_speed = loads.max(1);
        self
    }

    /// Sets what is wrong at the start.
    #[must_use]
    pub fn faults(mut self, faults: StoreFaults) -> Config {
        self.faults = faults;
        self
    }

    /// Returns how long a model's load takes at full speed: as configured, or such that a full
    /// set of loads uses up the rate.
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

/// A running weight store; dropping it kills it.
pub struct Store {
    core: Arc<Core>,
    server: Server,
    control: Control,
}

impl Store {
    /// Binds the port and serves it.
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

    /// Returns the address that it serves at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces what is wrong; a load in progress feels it at once.
    pub fn set_faults(&self, faults: StoreFaults) {
        *lock(&self.core.faults) = faults;
    }

    /// Returns what it recorded.
    pub fn records(&self) -> Snapshot {
        lock(&self.core.snapshot).clone()
    }

    /// Returns the token that is cancelled when the store was stopped.
    pub fn stop_token(&self) -> tokio_util::sync::CancellationToken {
        self.control.stop.clone()
    }
}

/// What the calls share.
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
