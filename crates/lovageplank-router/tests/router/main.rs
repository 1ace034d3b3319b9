//! Tests of a router with scripted backend servers and an in-memory control group.

mod backend;
mod client;
mod control;
mod faults;
mod input;
mod link;
mod reuse;
mod serve;
