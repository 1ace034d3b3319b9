//! Settings of a process.

use lovageplank_core::fleet::retry_budget::Bound;
use lovageplank_core::prelude::*;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What both processes need.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the instance.
    pub instance: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where control processes accept links, as told at the start; changes are read later.
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds between two announcements of a backend server.
    pub heartbeat_ms: u64,
    /// The key that all processes of the deployment share.
    pub key: Arc<[u8]>,
    /// Milliseconds from a stop signal until the process is killed.
    pub grace_ms: u64,
    /// Where metrics are served, if they are.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct Control {
    /// What both processes need.
    pub common: Config,
    /// Where operators and backend servers call.
    pub listen: SocketAddr,
    /// Where links are accepted.
    pub link: SocketAddr,
    /// Where the state is kept; a process without a folder copies the state of others and never
    /// votes.
    pub data: Option<PathBuf>,
    /// Control addresses of the instances that found the group; empty unless the deployment
    /// starts for the first time.
    pub initial_voters: Vec<Name>,
    /// Instances that may be lost at once.
    pub tolerated_failures: usize,
    /// Milliseconds for which a leader's commands may still be on their way after it has lost its
    /// office.
    pub lease_ms: u64,
    /// Window of the store's ceiling, in milliseconds.
    pub store_rate_window_ms: u64,
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct Router {
    /// What both processes need.
    pub common: Config,
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// Milliseconds for which callers keep the addresses.
    pub address_ttl_ms: u64,
    /// Bound on repeats, over all entry instances.
    pub retry_bound: Bound,
}
