//! Configures a planner.

use super::Planner;

/// Planner parameters that are not in the settings tree.
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
    /// The default configuration.
    pub fn new() -> Config {
        Config::default()
    }

    /// Sets the seed that breaks ties between engines of equal cost. Default: 0.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Config {
        self.seed = seed;
        self
    }

    /// Sets the milliseconds without a report after which a router's demand is dropped. Default:
    /// 5,000.
    #[must_use]
    pub fn report_timeout_ms(mut self, report_timeout_ms: u64) -> Config {
        self.report_timeout_ms = report_timeout_ms;
        self
    }

    /// Sets the milliseconds after which a load or drain that no engine reports is forgotten, so
    /// that it can be decided again. Default: 3,000.
    #[must_use]
    pub fn pending_timeout_ms(mut self, pending_timeout_ms: u64) -> Config {
        self.pending_timeout_ms = pending_timeout_ms;
        self
    }

    /// Sets the milliseconds that draining and unloading an idle replica is assumed to take.
    /// Default: 500.
    #[must_use]
    pub fn drain_ms(mut self, drain_ms: u64) -> Config {
        self.drain_ms = drain_ms;
        self
    }

    /// Sets the number of loaded adapters per replica above which unused ones are unloaded.
    /// Default: 32.
    #[must_use]
    pub fn adapters_per_replica(mut self, adapters: usize) -> Config {
        self.adapters_per_replica = adapters;
        self
    }

    /// Sets whether models are loaded ahead of demand. Default: true.
    #[must_use]
    pub fn load_ahead(mut self, load_ahead: bool) -> Config {
        self.load_ahead = load_ahead;
        self
    }

    /// Builds a planner that has received no demand yet.
    pub fn build(self) -> Planner {
        Planner::new(self)
    }
}
