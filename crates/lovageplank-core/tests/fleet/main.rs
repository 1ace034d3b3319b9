//! Decisions for deployments whose servers announce themselves.

mod addresses;
mod bootstrap;
mod deployment;
mod directory;
mod dispatch;
mod document;
mod group;
mod held_sizes;
mod load_queue;
mod many_rare_models;
mod origin;
mod pause;
mod place;
mod placement;
mod placement_simulation;
mod quarantine;
mod reach;
mod registry;
mod retry_budget;
mod samples;
mod selection;
mod server_limit;
mod starvation;
mod store_demand;
mod store_limiter;
mod totals;
