//! Decides how long an idle replica stays loaded.
//!
//! A [`History`] records the gaps between a model's bursts of requests. [`History::gain`] compares
//! the wait that a loaded replica saves callers with the cost of its idle time.
//!
//! ```
//! use lovageplank_core::keep_alive::{CostModel, History};
//! let mut history = History::default();
//! for minute in 0..50 {
//!     history.observe_arrivals(minute * 60_000, 1);
//! }
//! let costs = CostModel { cold_cost: 400.0, idle_rate: 1.0, prior_gap_s: 600.0 };
//! let last = 49 * 60_000;
//! assert!(history.gain(last, 0, &costs) > 0.0);
//! assert!(history.gain(last + 3_600_000, 0, &costs) < history.gain(last, 0, &costs));
//! ```
//!
//! The gaps form a hazard rate: for each bucket of idle age, the rate per second at which bursts
//! began at that age. It covers the current gap (idle time without an arrival), heavy tails (a rate
//! that falls with age) and regular gaps (a peak). A prior around the configured gap dominates
//! until a handful of gaps has been observed. Old gaps decay with a half-life.

mod hazard;
mod history;

pub use hazard::Hazard;
pub use history::{CostModel, History};
