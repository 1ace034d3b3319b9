//! The control daemon's HTTP interface over the loopback interface: operators' calls
//! (docs/OPERATIONS.md), and announcements and load reports (docs/PROTOCOL.md).

mod daemon;
mod operators;
mod servers;
