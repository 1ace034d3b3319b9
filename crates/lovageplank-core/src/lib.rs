//! Decision logic of lovageplank, without input or output.
//!
//! All code here is a function of `(now, input)`: it reads no clock, socket, file or global random
//! number generator, so that daemons, tests and the model checker run the same code.

pub mod admission;
pub mod backend;
pub mod consensus;
pub mod demand;
pub mod fleet;
pub mod idempotency;
pub mod keep_alive;
pub mod ledger;
pub mod load;
mod macros;
pub mod membership;
pub mod placement;
pub mod prelude;
pub mod retry;
pub mod route;
pub mod settings;
pub mod slo;
pub mod state;
pub mod view;
