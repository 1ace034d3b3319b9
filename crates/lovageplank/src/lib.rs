//! All roles in one process on loopback, for a first run, development and tests.
//!
//! ```no_run
//! use lovageplank::deployment::Config;
//! let deployment = Config::default().routers(2).engines(2).start().unwrap();
//! println!("callers can connect to {}", deployment.routers()[0].address);
//! deployment.stop();
//! ```
//!
//! The control processes and routers are those of the separate binaries. The backend servers are
//! stand-in engines and stand-in plain services.

pub mod client;
pub mod deployment;
pub mod proxy;
