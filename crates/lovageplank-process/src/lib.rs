//! What every lovageplank process shares: settings file, command line, logs, links and HTTP.
//!
//! | module | job |
//! | --- | --- |
//! | [`config`] | the process's settings file: JSON with comments, every error with its line |
//! | [`cli`] | options that all binaries share, and exit codes |
//! | [`log`] | one line of key=value pairs per event |
//! | [`signal`] | graceful stop on the first signal, immediate on the second |
//! | [`link`] | WebSocket links between processes, mutually authenticated |
//! | [`http`] | an HTTP/1.1 listener with deadlines and bounds |
//! | [`operator`] | operators' calls over HTTP |
//! | [`prometheus`] | Prometheus text of the process's metrics |

pub mod cli;
pub mod clock;
pub mod config;
pub mod http;
pub mod link;
pub mod log;
pub mod operator;
pub mod prometheus;
pub mod signal;
