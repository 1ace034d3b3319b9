//! Processes of a deployment in which backend servers announce themselves, callers look up the
//! addresses of routers, and the operator writes one versioned document.
//!
//! | module | content |
//! | --- | --- |
//! | [`dialect`] | names and formats of a users' platform: the only interface to it |
//! | [`config`] | settings of a process |
//! | [`control`] | the control process: the document, the registry, commands to engines |
//! | [`router`] | the router process: callers' requests and their attempts at backend servers |
//! | [`links`] | links to all known control processes |
//!
//! All decisions are made in `lovageplank_core::fleet`; this crate has the sockets, clocks and
//! tasks. Each process runs on one Tokio thread, because an instance has only a part of one core.
//! Consensus alone has a thread of its own, because it blocks on the disk.

pub mod config;
pub mod control;
mod decode;
pub mod dialect;
pub mod links;
pub mod router;
mod setup;
