//! Stand-ins for engines, plain services and the weight store, and a load driver.
//!
//! ```no_run
//! use lovageplank_standin::engine::Config;
//! let engine = Config::new("e1").service("drafting").load_ms(100).start().unwrap();
//! println!("serving at {}", engine.address());
//! engine.stop();
//! ```
//!
//! Each stand-in speaks the interface of what it stands for through real sockets, keeps records
//! of what it did, and has switches that make it fail. None of them is part of the system itself.

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
