//! Consensus tests: simulated groups of nodes under seeded schedules, and single nodes.

mod cluster;
mod election;
mod faults;
mod membership;
mod message;
mod snapshot;
