//! The router against scripted backend servers and a control group in the test.

mod backend;
mod client;
mod control;
mod faults;
mod input;
mod link;
mod serve;
