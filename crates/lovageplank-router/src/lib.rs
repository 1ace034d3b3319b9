//! Router daemon: callers, admission, pending queue, routing, relaying.
pub mod decision;
pub mod refusal;
