//! Stand-ins for engines, plain services and the weight store, and a load driver.
//!
//! ```no_run
//! use lovageplank_standin::engine::Config;
//! let engine = Config::new("e1").service("drafting").load_ms(100).start().unwrap();
//! println!("serving at {}", engine.address());
//! engine.stop();
//! ```
//!
//! Each stand-in serves the interface of the component that it replaces on real sockets, records
//! what it does, and has switches that inject faults. The stand-ins aren't part of the system
//! itself; tests and trials use them.

pub mod announce;
pub mod cli;
pub mod client;
pub mod engine;
pub mod fault;
pub mod http;
pub mod load;
pub mod local;
pub mod record;
pub mod service;
mod shared;
pub mod store;
