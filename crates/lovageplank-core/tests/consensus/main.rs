//! The protocol in a group of nodes with a virtual clock and network, under seeded schedules.

mod cluster;
mod election;
mod faults;
mod membership;
mod message;
mod snapshot;
