//! Parameters of the simulated deployments, traces and hardware.

/// Length of a trace in milliseconds: one day.
pub const TRACE_MS: u64 = 24 * HOUR_MS;
/// An hour in milliseconds.
pub const HOUR_MS: u64 = 3_600_000;
/// Milliseconds between decisions while requests wait or replicas load or unload.
pub const ACTIVE_TICK_MS: u64 = 100;
/// Milliseconds between decisions otherwise.
pub const IDLE_TICK_MS: u64 = 1_000;

/// Accelerator memory of an engine in megabytes.
pub const ENGINE_MB: u64 = 80_000;
/// Smallest and largest model in megabytes; three to five fit on an engine.
pub const MODEL_MB: (u64, u64) = (15_000, 25_000);
/// Speed of a load from the weight store without contention: 20 GB take 4 s.
pub const STORE_MB_PER_MS: u64 = 5;
/// Speed of a load from an instance's disk: 20 GB take 1 s.
pub const DISK_MB_PER_MS: u64 = 20;
/// Speed of a load from an instance's main memory: 20 GB take 0.3 s.
pub const MEMORY_MB_PER_MS: u64 = 66;
/// Models whose weights an engine's instance caches in main memory; the least recently loaded is
/// evicted first.
pub const MEMORY_CACHE_MODELS: usize = 2;
/// Models whose weights an engine's instance caches on disk; the least recently loaded is evicted
/// first.
pub const DISK_CACHE_MODELS: usize = 6;
/// Models drawn for each disk cache at the start of a trace.
pub const INITIAL_DISK_CACHE_MODELS: usize = 3;

/// Milliseconds from the decision to drain until no router sends requests to the replica.
pub const DRAIN_MS: u64 = 300;
/// Duration of an unload in milliseconds, after the drain.
pub const UNLOAD_MS: u64 = 200;
/// Requests that a replica runs at once. More than a burst has, so that no wait for a free place in
/// the batch is counted as a cold start.
pub const BATCH_SIZE: u32 = 128;
/// Shortest and longest time in milliseconds that a request runs.
pub const RUN_MS: (u64, u64) = (400, 3_500);

/// Requests in the burst that starts a session: mean and maximum of the heavy-tailed distribution.
pub const BURST: (f64, f64) = (5.0, 60.0);
/// Milliseconds within which all requests of a burst arrive, over all routers.
pub const BURST_MS: u64 = 1_500;
/// Mean number of requests in a session after its burst.
pub const FOLLOW_UPS: f64 = 5.0;
/// Mean time in milliseconds between later requests of a session.
pub const FOLLOW_UP_GAP_MS: f64 = 20_000.0;
/// Range of the mean gap in milliseconds between a model's sessions at full activity; drawn
/// log-uniformly.
pub const SESSION_GAP_MS: (f64, f64) = (240_000.0, 28_800_000.0);
/// Pareto tail index of session gaps and burst sizes; lower means a heavier tail.
pub const GAP_TAIL: f64 = 1.5;
/// Fraction of models whose sessions come at regular gaps.
pub const REGULAR_SHARE: f64 = 0.15;
/// Fraction of requests with a shorter deadline, and that deadline in milliseconds.
pub const SHORT_DEADLINE: (f64, u64) = (0.2, 10_000);
/// Minimum and maximum number of sessions that start together at a peak.
pub const PEAK_MODELS: (usize, usize) = (8, 14);
/// Milliseconds within which the sessions of a peak start.
pub const PEAK_MS: u64 = 10_000;

/// Factor by which the weight store is slower during its slow period.
pub const SLOWDOWN: f64 = 4.0;
/// Length of the slow period in milliseconds.
pub const SLOW_PERIOD_MS: u64 = 20 * 60_000;
/// Milliseconds until a lost engine is back. Its main-memory cache is lost, its disk cache is kept.
pub const ENGINE_LOSS_MS: u64 = 10 * 60_000;
