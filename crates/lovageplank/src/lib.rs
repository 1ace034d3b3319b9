//! All roles in one process on loopback, for a first run, development and tests.
//!
//! ```no_run
//! use lovageplank::deployment::Config;
//! let deployment = Config::default().routers(2).engines(2).start().unwrap();
//! println!("callers may come to {}", deployment.routers()[0].address);
//! deployment.stop();
//! ```
//!
//! It runs the same daemons as the separate binaries, with stand-in engines and a stand-in plain
//! service behind them; nothing here decides anything.

pub mod client;
pub mod deployment;
pub mod proxy;
