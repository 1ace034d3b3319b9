//! Decisions for deployments whose servers announce themselves.

mod allowance;
mod choice;
mod deployment;
mod dispatch;
mod document;
mod founding;
mod group;
mod registry;
mod residence;
mod residence_world;
mod roster;
mod samples;
mod store;
