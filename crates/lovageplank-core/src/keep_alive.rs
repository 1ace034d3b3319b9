//! Decides how long an idle replica stays loaded.
//!
//! A [`History`] holds the gaps between a model's bursts of requests; [`History::gain`] weighs what
//! a replica that stays loaded saves its callers against the idle time that it costs.
//!
//! ```
//! use lovageplank_core::keep_alive::{History, CostModel};
//! let mut history = History::default();
//! for minute in 0..50 {
//!     history.observe_arrivals(minute * 60_000, 1);
//! }
//! let costs = CostModel { cold_cost: 400.0, idle_rate: 1.0, prior_gap_s: 600.0 };
//! assert!(history.gain(49 * 60_000, 0, &costs) > 0.0);
//! assert!(history.gain(49 * 60_000 + 3_600_000, 0, &costs) < history.gain(49 * 60_000, 0, &costs));
//! ```
//!
//! The gaps enter a hazard rate: for each class of idle age, how often a request came per second
//! at that age. That handles the gap still open (idle time without an event), heavy tails (a
//! hazard that falls with age) and regular rhythms (a peak) alike. A prior around the configured
//! gap carries the estimate until a handful of gaps was seen. Old gaps fade with a half-life.

mod hazard;
mod history;

pub use hazard::Hazard;
pub use history::{CostModel, History};
