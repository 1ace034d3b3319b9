//! Explicit-state checker over the real state machines.
//!
//! A [`Model`] gives states, actions and invariants; a [`Search`] visits every state that some
//! order of actions reaches, breadth first, and reports the shortest way to a violation.
//!
//! ```
//! use lovageplank_check::{Model, Search};
//!
//! /// Counts modulo ten, and must never reach seven.
//! struct Counter;
//!
//! impl Model for Counter {
//!     type State = u8;
//!     type Action = u8;
//!
//!     fn initial(&self) -> Vec<u8> { vec![0] }
//!     fn actions(&self, _: &u8) -> Vec<u8> { vec![2, 5] }
//!     fn next(&self, state: &u8, action: &u8) -> u8 { (state + action) % 10 }
//!     fn fingerprint(&self, state: &u8) -> u64 { u64::from(*state) }
//!     fn check(&self, state: &u8) -> Result<(), String> {
//!         if *state == 7 { Err("seven".to_owned()) } else { Ok(()) }
//!     }
//! }
//!
//! let report = Search::new().run(&Counter);
//! assert_eq!(report.violation.map(|found| found.trace), Some(vec![2, 5]));
//! ```
//!
//! # Rationale and limits
//!
//! The models run the production code, so there is no second description that could differ from
//! it. They are small: what holds for three voters and a handful of faults is not proven for
//! more. States are told apart by 64-bit fingerprints; of a million states, two share one with a
//! chance of about 3 in 10⁸. A search that ended at a bound says so in [`Report::is_complete`].

pub mod bootstrap;
pub mod group;
pub mod ledger;
mod search;
pub mod settings;

pub use search::{Model, Report, Search, Violation};
