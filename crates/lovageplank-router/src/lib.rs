//! Router daemon: callers, admission, pending queue, routing, relaying.
//!
//! ```no_run
//! use lovageplank_process::config;
//! use lovageplank_router::Router;
//! let settings = config::read("router.jsonc".as_ref(), config::DaemonKind::Router).unwrap();
//! let router = Router::start_linked(&settings).unwrap();
//! println!("callers may come to {}", router.address);
//! router.stop();
//! ```
//!
//! | module | job |
//! | --- | --- |
//! | [`edge`] | the HTTP listener: reads and checks requests |
//! | [`call`] | carries one request from arrival to answer |
//! | [`decision`] | decides on every request, free of input and output |
//! | [`broker`] | the thread that owns the decisions, and its channel |
//! | [`dispatch`] | attempts at backend servers, with proof of what left |
//! | [`answer`], [`events`] | checks answers and streams |
//! | [`objectives`] | counts finished requests for the leader's burn rates |
//! | [`control`] | the control group as the router sees it |
//!
//! Sockets belong to a small `tokio` runtime; decisions to one thread that is fed by a bounded
//! channel. Both the listener and the connections to backend servers use `hyper`: `rouille` holds
//! streamed bodies back until they end; `tiny_http` sets no read deadlines; both hold a thread for
//! each connection and don't notice a caller that goes; and the I/O errors of `attohttpc` don't
//! tell whether a byte of the request left. With `hyper` over a counting stream that is known
//! exactly, which is what lets a refusal say `not_run`.
//!
//! Limits: an answer that isn't streamed is held whole before it is passed on, so that a cut one
//! can't be taken for a whole one; it may have 16 MiB.

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

pub use router::{Config, Handle, Router, Seam};
