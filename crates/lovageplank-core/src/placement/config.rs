//! Configures a planner.

use super::Planner;

/// Figures of the planner that settings don't carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub(super) seed: u64,
    pub(super) report_timeout_ms: u64,
    pub(super) pending_timeout_ms: u64,
    pub(super) drain_ms: u64,
    pub(super) adapters_per_replica: usize,
    pub(super) load_ahead: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            seed: 0,
            report_timeout_ms: 5_000,
            pending_timeout_ms: 3_000,
            drain_ms: 500,
            adapters_per_replica: 32,
            load_ahead: true,
        }
    }
}

impl Config {
    /// The defaults.
    pub fn new() -> Config {
        Config::default()
    }

    /// Seed of the choice between equally good engines.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Config {
        self.seed = seed;
        self
    }

    /// Milliseconds without a batch after which a router's demand is forgotten.
    #[must_use]
    pub fn report_timeout_ms(mut self, report_timeout_ms: u64) -> Config {
        self.report_timeout_ms = report_timeout_ms;
        self
    }

    /// Milliseconds after which an action that never showed in the engines is decided anew.
    #[must_use]
    pub fn pending_timeout_ms(mut self, pending_timeout_ms: u64) -> Config {
        self.pending_timeout_ms = pending_timeout_ms;
        self
    }

    /// Milliseconds that draining and unloading an idle replica is assumed to take.
    #[must_use]
    pub fn drain_ms(mut self, drain_ms: u64) -> Config {
        self.drain_ms = drain_ms;
        self
    }

    /// Adapters that a replica keeps loaded at most.
    #[must_use]
    pub fn adapters_per_replica(mut self, adapters: usize) -> Config {
        self.adapters_per_replica = adapters;
        self
    }

    /// Whether models are loaded ahead of demand.
    #[must_use]
    pub fn load_ahead(mut self, load_ahead: bool) -> Config {
        self.load_ahead = load_ahead;
        self
    }

    /// A planner that knows of no demand yet.
    pub fn build(self) -> Planner {
        Planner::new(self)
    }
}
