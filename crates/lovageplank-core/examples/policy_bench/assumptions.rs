//! Everything that the measurement assumes, in one place.

/// Length of a trace in milliseconds: one day.
pub const TRACE_MS: u64 = 24 * HOUR_MS;
/// An hour in milliseconds.
pub const HOUR_MS: u64 = 3_600_000;
/// Time between decisions while something waits, loads or drains.
pub const ACTIVE_TICK_MS: u64 = 100;
/// Time between decisions otherwise.
pub const IDLE_TICK_MS: u64 = 1_000;

/// Accelerator memory of an engine.
pub const ENGINE_MB: u64 = 80_000;
/// Smallest and largest model: an engine holds three to five.
pub const MODEL_MB: (u64, u64) = (15_000, 25_000);
/// Speed of a load from the weight store at full speed: 20 GB take 4 s.
pub const STORE_MB_PER_MS: u64 = 5;
/// Speed of a load from an instance's disk: 20 GB take 1 s.
pub const DISK_MB_PER_MS: u64 = 20;
/// Speed of a load from an instance's main memory: 20 GB take 0.3 s.
pub const MEMORY_MB_PER_MS: u64 = 66;
/// Models whose weights an engine's instance keeps in main memory, least recently loaded first out.
pub const MEMORY_CACHE_MODELS: usize = 2;
/// Models whose weights an engine's instance keeps on disk, least recently loaded first out.
pub const DISK_CACHE_MODELS: usize = 6;
/// Models on each disk at the start of a trace.
pub const INITIAL_DISK_CACHE_MODELS: usize = 3;

/// Time from a drain's decision until every router has stopped sending to the replica.
pub const DRAIN_MS: u64 = 300;
/// Time that the unload itself takes.
pub const UNLOAD_MS: u64 = 200;
/// Requests that a replica batches: more than a burst has, so that no wait for a place in the batch
/// passes for a cold start.
pub const BATCH_SIZE: u32 = 128;
/// Shortest and longest time that a request runs.
pub const RUN_MS: (u64, u64) = (400, 3_500);

/// Requests in the first seconds of a session: mean, and the cap of the heavy tail.
pub const BURST: (f64, f64) = (5.0, 60.0);
/// A burst arrives within this time, over all routers.
pub const BURST_MS: u64 = 1_500;
/// Mean number of later requests in a session.
pub const FOLLOW_UPS: f64 = 5.0;
/// Mean time between later requests of a session.
pub const FOLLOW_UP_GAP_MS: f64 = 20_000.0;
/// Shortest and longest mean gap between a model's sessions in busy hours; drawn log-uniformly.
pub const SESSION_GAP_MS: (f64, f64) = (240_000.0, 28_800_000.0);
/// Tail index of the gaps: the lower, the heavier.
pub const GAP_TAIL: f64 = 1.5;
/// Share of models whose sessions come at a regular rhythm.
pub const REGULAR_SHARE: f64 = 0.15;
/// Share of callers who set a shorter deadline, and that deadline.
pub const SHORT_DEADLINE: (f64, u64) = (0.2, 10_000);
/// Models that wake together at a peak, fewest and most.
pub const PEAK_MODELS: (usize, usize) = (8, 14);
/// Time within which they wake.
pub const PEAK_MS: u64 = 10_000;

/// The weight store is this many times slower during its slow spell.
pub const SLOWDOWN: f64 = 4.0;
/// Length of the slow spell.
pub const SLOW_PERIOD_MS: u64 = 20 * 60_000;
/// Time that a lost engine stays away; its main memory is lost, its disk is not.
pub const ENGINE_LOSS_MS: u64 = 10 * 60_000;
