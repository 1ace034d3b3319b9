//! Processes of a deployment whose backend servers announce themselves, whose callers connect to
//! addresses that they were told, and whose operator writes one versioned document.
//!
//! | module | job |
//! | --- | --- |
//! | [`dialect`] | what a users' platform calls things: the one seam to it |
//! | [`config`] | settings of a process |
//! | [`control`] | the control process: the document, the registry, commands to engines |
//! | [`entry`] | the entry process: callers, and requests to servers |
//! | [`links`] | keeps links to all known control processes |
//!
//! All decisions are made in `lovageplank_core::fleet`; here are sockets, clocks and tasks. Both
//! processes run on one tokio thread, because the instances have a part of one core; only
//! consensus has a thread of its own, since it waits for the disk.

pub mod config;
pub mod control;
mod decode;
pub mod dialect;
pub mod links;
pub mod router;
mod setup;
