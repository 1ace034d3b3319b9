//! Settings of the engine stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use lovageplank_core::prelude::*;

use super::Engine;
use super::Error;
use crate::fault::Faults;
use crate::record::Records;
use crate::shared::shared_setters;

/// Settings of an [`Engine`]; times are in milliseconds.
///
/// ```no_run
/// use lovageplank_standin::engine::Config;
/// let engine = Config::new("e1").memory_mb(40_000).load_ms(50).start().unwrap();
/// println!("{}", engine.address());
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    pub(super) id: Name,
    pub(super) listen: String,
    pub(super) advertise: Option<Name>,
    pub(super) failure_domain: Name,
    pub(super) services: BTreeSet<Name>,
    pub(super) announce_to: Vec<String>,
    pub(super) incarnation: Option<u64>,
    pub(super) memory_mb: u64,
    pub(super) model_memory_mb: u64,
    pub(super) batch: usize,
    pub(super) first_token_ms: u64,
    pub(super) cached_first_token_ms: u64,
    pub(super) token_ms: u64,
    pub(super) prefixes: usize,
    pub(super) memory_load_ms: u64,
    pub(super) disk_load_ms: u64,
    pub(super) store_load_ms: u64,
    pub(super) adapter_ms: (u64, u64),
    pub(super) store: Option<SocketAddr>,
    pub(super) memory_cache: Vec<Name>,
    pub(super) disk_cache: Vec<Name>,
    pub(super) memory_slots: usize,
    pub(super) disk_slots: usize,
    pub(super) report_ms: u64,
    pub(super) fencing: bool,
    pub(super) faults: Faults,
    pub(super) records: Option<Arc<Records>>,
}

impl Config {
    shared_setters!();

    /// Creates the default settings: port 0 of 127.0.0.1, and no instance to announce to.
    pub fn new(id: impl Into<Name>) -> Config {
        Config {
            id: id.into(),
            listen: "127.0.0.1:0".to_owned(),
            advertise: None,
            failure_domain: "local".into(),
            services: BTreeSet::new(),
            announce_to: Vec::new(),
            incarnation: None,
            memory_mb: 80_000,
            model_memory_mb: 10_000,
            batch: 16,
            first_token_ms: 20,
            cached_first_token_ms: 5,
            token_ms: 2,
            prefixes: 256,
            memory_load_ms: 50,
            disk_load_ms: 200,
            store_load_ms: 1_000,
            adapter_ms: (5, 10),
            store: None,
            memory_cache: Vec::new(),
            disk_cache: Vec::new(),
            memory_slots: 2,
            disk_slots: 8,
            report_ms: 200,
            fencing: true,
            faults: Faults::default(),
            records: None,
        }
    }

    /// Starts an engine with these settings.
    ///
    /// Errors: as in [`Engine::start`].
    pub fn start(self) -> Result<Engine, Error> {
        Engine::start(self)
    }

    /// Sets the address to announce, if it differs from the bound one.
    #[must_use]
    pub fn advertise(mut self, address: impl Into<Name>) -> Config {
        self.advertise = Some(address.into());
        self
    }

    /// Sets the accelerator's memory in megabytes.
    #[must_use]
    pub fn memory_mb(mut self, megabytes: u64) -> Config {
        self.memory_mb = megabytes;
        self
    }

    /// Sets the memory of a model whose load command has no `memory_mb`, in megabytes.
    #[must_use]
    pub fn model_memory_mb(mut self, megabytes: u64) -> Config {
        self.model_memory_mb = megabytes;
        self
    }

    /// Sets how many requests run at once, at least 1; further ones wait in a queue.
    #[must_use]
    pub fn batch(mut self, requests: usize) -> Config {
        self.batch = requests.max(1);
        self
    }

    /// Sets the time to the first token, without and with a cached prompt prefix.
    #[must_use]
    pub fn first_token_ms(mut self, uncached: u64, cached: u64) -> Config {
        self.first_token_ms = uncached;
        self.cached_first_token_ms = cached;
        self
    }

    /// Sets the time between tokens.
    #[must_use]
    pub fn token_ms(mut self, interval: u64) -> Config {
        self.token_ms = interval;
        self
    }

    /// Sets how many prompt prefixes are cached.
    #[must_use]
    pub fn prefixes(mut self, count: usize) -> Config {
        self.prefixes = count;
        self
    }

    /// Sets one load time for weights in main memory, on disk and in the store.
    #[must_use]
    pub fn load_ms(self, everywhere: u64) -> Config {
        self.load_times_ms(everywhere, everywhere, everywhere)
    }

    /// Sets the load times for weights in main memory, on disk and in the store.
    #[must_use]
    pub fn load_times_ms(mut self, memory: u64, disk: u64, store: u64) -> Config {
        self.memory_load_ms = memory;
        self.disk_load_ms = disk;
        self.store_load_ms = store;
        self
    }

    /// Sets the shortest and longest load time of an adapter, if no weight store is set.
    #[must_use]
    pub fn adapter_ms(mut self, shortest: u64, longest: u64) -> Config {
        self.adapter_ms = (shortest, longest.max(shortest));
        self
    }

    /// Sets the weight store, which serves all adapters and the weights that aren't cached; its
    /// response time replaces the configured load times.
    #[must_use]
    pub fn store(mut self, address: SocketAddr) -> Config {
        self.store = Some(address);
        self
    }

    /// Adds a model whose weights are in main memory at the start.
    #[must_use]
    pub fn in_memory(mut self, model: impl Into<Name>) -> Config {
        self.memory_cache.push(model.into());
        self
    }

    /// Adds a model whose weights are on disk at the start.
    #[must_use]
    pub fn on_disk(mut self, model: impl Into<Name>) -> Config {
        self.disk_cache.push(model.into());
        self
    }

    /// Sets how many models' weights are kept in main memory and on disk.
    #[must_use]
    pub fn cache_slots(mut self, memory: usize, disk: usize) -> Config {
        self.memory_slots = memory;
        self.disk_slots = disk;
        self
    }

    /// Sets whether commands with stale fencing tokens are refused.
    #[must_use]
    pub fn fencing(mut self, on: bool) -> Config {
        self.fencing = on;
        self
    }
}
