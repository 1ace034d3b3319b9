//! Tests of the shipped binaries as processes on loopback, which are killed and stopped.
//!
//! The tests run the binaries of their own target folder. `cargo test --workspace`
//! builds them before any test runs; `cargo test -p lovageplank` alone needs
//! `cargo build --workspace` first.

mod examples;
mod faults;
mod operations;
mod router_stop;
mod small_deployment;
