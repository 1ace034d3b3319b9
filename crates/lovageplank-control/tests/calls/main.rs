//! The control daemon's HTTP interface, asked over the loopback: docs/OPERATIONS.md for operators'
//! calls, docs/PROTOCOL.md for announcements and reports.

mod daemon;
mod operators;
mod servers;
