//! Real processes on loopback: the shipped binaries, killed and stopped.
//!
//! The binaries are taken from the target folder of the running test. `cargo test --workspace`
//! builds them before any test runs; `cargo test -p lovageplank` alone needs
//! `cargo build --workspace` first.

mod examples;
mod faults;
mod operations;
mod router_stop;
mod small_deployment;
