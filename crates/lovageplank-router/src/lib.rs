//! Router daemon: callers, admission, pending queue, routing, relaying.
//!
//! ```no_run
//! use lovageplank_process::config;
//! use lovageplank_router::Router;
//! let settings = config::read("router.jsonc".as_ref(), config::DaemonKind::Router).unwrap();
//! let router = Router::start_linked(&settings).unwrap();
//! println!("listening at {}", router.address);
//! router.stop();
//! ```
//!
//! | module | job |
//! | --- | --- |
//! | [`edge`] | the caller listener: reads and checks HTTP requests |
//! | [`call`] | handles one request from its arrival to its answer |
//! | [`decision`] | decides on every request, without input and output |
//! | [`broker`] | the decision thread and its input channel |
//! | [`dispatch`] | sends attempts to backend servers and counts the bytes sent |
//! | [`answer`] | checks answers of backend servers |
//! | [`events`] | splits streams into events |
//! | [`objectives`] | counts finished requests for the leader's burn rates |
//! | [`control`] | the router's interface to the control group |
//!
//! A small `tokio` runtime serves all sockets; one thread with a bounded input channel decides. The
//! listener and the connections to backend servers use `hyper` for these reasons: `rouille` buffers
//! streamed bodies until they end; `tiny_http` sets no read timeouts; both use a thread for each
//! connection and don't notice that a caller disconnects; and the I/O errors of `attohttpc` don't
//! show whether a byte of the request was sent. `hyper` over a stream that counts sent bytes shows
//! this exactly, which a refusal with `not_run` depends on.
//!
//! Limit: an answer that isn't streamed is buffered completely before it is relayed, so that a
//! truncated answer can't pass for a complete one; it may have 16 MiB.

pub mod answer;
pub mod broker;
pub mod call;
pub mod clock;
pub mod control;
pub mod decision;
pub mod dispatch;
pub mod edge;
pub mod events;
pub mod objectives;
pub mod refusal;
mod router;

pub use router::{Config, ControlSetup, Handle, Router};
