//! Control processes and routers, which together serve callers' requests for rarely used models.
//!
//! The fleet is all control processes, routers and backend servers. A caller is a client that sends
//! requests to routers. A backend server runs a service and announces itself to a control process:
//! it sends its name, address and state, and repeats this at a fixed interval. If a backend server
//! loads and runs models, it is an engine: the leader of the control processes commands which
//! models it loads.
//! Routers send each caller's request to a backend server. The configuration is one versioned
//! document with the routes, services and limits, which the operator writes. The document with the
//! highest version is in force: control processes and routers apply it. Callers look up the
//! addresses of routers.
//!
//! | module | content |
//! | --- | --- |
//! | [`dialect`] | the only interface to the platform: its message formats, headers and paths |
//! | [`config`] | settings of a process |
//! | [`control`] | the control process: document, registry of backend servers, engine commands |
//! | [`router`] | the router process: sends each caller's request to a backend server |
//! | [`links`] | links: the authenticated connections of a process to all known control processes |
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
