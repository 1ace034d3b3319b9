//! Schedules loads from the weight store within its rate and concurrency limits.
//!
//! All engines share one weight store. [`Queue`] orders the loads that wait for it and predicts
//! when each ends, [`RateLimiter`] spaces their starts, [`Estimate`] learns how long loads take and
//! how slow the store currently is, and [`Slots`] bounds the adapter loads in flight.
//!
//! ```
//! use lovageplank_core::load::{Job, Queue};
//! let mut queue = Queue::new(4.0, 1);
//! queue.push(Job { model: "lime".into(), deadline: Some(9_000), last_deadline: Some(9_000), waiting: 1, load_ms: 4_000 });
//! queue.push(Job { model: "clay".into(), deadline: Some(5_000), last_deadline: Some(5_000), waiting: 1, load_ms: 4_000 });
//! let plan = queue.plan(0, &[]);
//! assert_eq!(&*plan[0].job.model, "clay");
//! assert_eq!(plan[1].end, 8_000);
//! ```
//!
//! Loads from the main memory or disk of the engine's own instance don't use the store, so they are
//! never queued.

mod adapter;
mod estimate;
mod queue;

use crate::prelude::*;

pub use adapter::Slots;
pub use estimate::Estimate;
pub use queue::{Job, Planned, Queue, RateLimiter};

record! { copy =>
    /// Where the weights of a load come from, fastest first.
    #[serde(rename_all = "snake_case")]
    pub enum Source {
        /// Main memory of the engine's instance.
        Memory,
        /// Disk of the engine's instance.
        Disk,
        /// The weight store.
        Store,
    }
}

impl Source {
    /// Number of sources.
    pub const COUNT: usize = 3;

    /// The fastest source of a model's weights, given what an engine's instance has cached.
    pub fn of(cached: &crate::backend::CachedWeights, model: &str) -> Source {
        if cached.memory.contains(model) {
            Source::Memory
        } else if cached.disk.contains(model) {
            Source::Disk
        } else {
            Source::Store
        }
    }
}

/// Converts milliseconds to seconds.
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^53 ms")]
pub(crate) fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
