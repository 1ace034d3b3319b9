//! Functions shared by all lovageplank processes: settings file, command line, logs, links and
//! HTTP.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`config`] | the process's settings file: JSON with comments; reports problems by line |
//! | [`cli`] | options that all binaries share, and exit codes |
//! | [`clock`] | milliseconds since the machine booted |
//! | [`log`] | one line of key=value pairs per event |
//! | [`signal`] | graceful stop on the first signal, immediate exit on the second |
//! | [`link`] | WebSocket links between processes, with mutual authentication |
//! | [`caller`] | a caller's connection whose end is noticed at once |
//! | [`body`] | reads bodies into one piece, within a budget |
//! | [`connections`] | bounds the connections of a listener |
//! | [`capacity`] | divides the memory and descriptors of a process |
//! | [`http`] | an HTTP/1.1 listener with timeouts and limits |
//! | [`operator`] | operators' requests over HTTP |
//! | [`prometheus`] | the process's metrics in Prometheus text format |

pub mod body;
pub mod caller;
pub mod capacity;
pub mod cli;
pub mod clock;
pub mod config;
pub mod connections;
pub mod http;
pub mod link;
pub mod log;
pub mod operator;
pub mod prometheus;
pub mod signal;
