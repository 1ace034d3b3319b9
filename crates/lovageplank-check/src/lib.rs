//! Explicit-state model checker that runs the production state machines.
//!
//! A [`Model`] defines states, actions and invariants. A [`Search`] visits the reachable states
//! breadth first and reports a shortest trace to a violated invariant.
//!
//! ```
//! use lovageplank_check::{Model, Search};
//!
//! /// A counter modulo ten that must never be seven.
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
//! assert_eq!(report.violation.map(|violation| violation.trace), Some(vec![2, 5]));
//! ```
//!
//! # Rationale and limits
//!
//! The models run the production code, so they can't differ from it as a separate specification
//! could. They are small: an invariant that holds for three voters and a handful of faults is not
//! proven for more. States are identified by 64-bit fingerprints. The probability that any two of
//! a million states share a fingerprint, so that one of them is skipped, is about 3 in 10⁸.
//! [`Report::is_complete`] is false if a bound kept the search from visiting every state.

pub mod bootstrap;
pub mod group;
pub mod ledger;
mod search;
pub mod settings;

pub use search::{Model, Report, Search, Violation};
