//! Settings of control processes and routers.

use lovageplank_core::fleet::retry_budget::RetryLimit;
use lovageplank_core::prelude::*;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings that control processes and routers share.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the instance.
    pub instance: Name,
    /// Failure domain of the instance.
    pub domain: Name,
    /// Link addresses of control processes at startup; later changes arrive on the `seeds` channel
    /// of `run`.
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds between two announcements of a backend server.
    pub heartbeat_ms: u64,
    /// The link key that all processes of the deployment share.
    pub key: Arc<[u8]>,
    /// Milliseconds between a stop signal and the kill of the process.
    pub grace_ms: u64,
    /// Address at which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct Control {
    /// Settings shared with routers.
    pub common: Config,
    /// Address for calls of operators and backend servers.
    pub listen: SocketAddr,
    /// Address at which links are accepted.
    pub link: SocketAddr,
    /// Folder of the durable state. A process without one replicates the state of others and never
    /// votes.
    pub data: Option<PathBuf>,
    /// Control addresses of the instances that bootstrap the control group; empty unless the
    /// deployment starts for the first time.
    pub initial_voters: Vec<Name>,
    /// Number of instances that may fail at the same time.
    pub tolerated_failures: usize,
    /// Milliseconds for which commands of a leader may still arrive after it has lost leadership.
    pub lease_ms: u64,
    /// Window of the weight store's rate limit, in milliseconds.
    pub store_rate_window_ms: u64,
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct Router {
    /// Settings shared with control processes.
    pub common: Config,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for callers' address lookups, if any.
    pub directory: Option<SocketAddr>,
    /// Milliseconds for which callers may cache looked-up addresses.
    pub address_ttl_ms: u64,
    /// Bound on retries, over all routers.
    pub retry_bound: RetryLimit,
}
