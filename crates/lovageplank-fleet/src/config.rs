//! Settings of control processes and routers.

use lovageplank_core::fleet::quota::Policy;
use lovageplank_core::fleet::retry_budget::RetryLimit;
use lovageplank_core::prelude::*;
pub use lovageplank_process::capacity::Capacity;
pub use lovageplank_router::dispatch::{Dial, Tcp};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings that control processes and routers share.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the instance that this process belongs to, as routers and control processes list it.
    /// An instance is one running copy of the system on a machine.
    pub instance: Name,
    /// Failure domain of the instance.
    pub domain: Name,
    /// Link addresses of the control processes that are known when this process starts. Later
    /// changes arrive on the `seeds` channel of `run`.
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds between two announcements of a backend server.
    pub announcement_interval_ms: u64,
    /// Secret shared by all processes, by which both ends of a link authenticate each other.
    pub link_key: Arc<[u8]>,
    /// Milliseconds between a stop signal and the kill of the process.
    pub grace_ms: u64,
    /// Address at which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
    /// Memory and descriptors of the process.
    pub capacity: Capacity,
}

/// Settings of a control process ([`crate::control::run`]).
#[derive(Clone, Debug)]
pub struct Control {
    /// Settings shared with routers.
    pub common: Config,
    /// Address at which operators and backend servers call this process: its control address.
    pub listen: SocketAddr,
    /// Address at which links are accepted.
    pub link: SocketAddr,
    /// Folder of the durable state. A process without one replicates the state of others and never
    /// votes.
    pub data: Option<PathBuf>,
    /// Control addresses (the `listen` address of each) of the processes that bootstrap the control
    /// group, which replicates the document by consensus. Empty unless the whole system starts for
    /// the first time.
    pub initial_voters: Vec<Name>,
    /// Number of instances that may fail at the same time.
    pub tolerated_failures: usize,
    /// Time in milliseconds, from a leader's loss of leadership, in which its commands may still
    /// reach engines. A new leader waits longer than this before it sends commands.
    pub stale_command_ms: u64,
    /// Limit on the retries to one service, summed over all routers.
    pub retry_limit: RetryLimit,
    /// How the quotas of tenants are limited; `None` if they aren't.
    pub quota: Option<Policy>,
    /// Window of the rate limit on loads of model weights from the weight store, in milliseconds.
    pub store_rate_window_ms: u64,
    /// Bytes a second that the link of the instance carries.
    pub link_bytes_per_s: f64,
}

/// Settings of a router ([`crate::router::run`]).
#[derive(Clone, Debug)]
pub struct Router {
    /// Settings shared with control processes.
    pub common: Config,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address at which callers look up the addresses of routers, if this router serves lookups.
    pub lookups: Option<SocketAddr>,
    /// Address for requests of other routers that reach no server, if this router takes them.
    pub relay: Option<SocketAddr>,
    /// Milliseconds for which callers may cache looked-up addresses.
    pub address_ttl_ms: u64,
    /// Limit on the retries to one service, summed over all routers.
    pub retry_limit: RetryLimit,
    /// Milliseconds without a message of a leader after which requests with keys are refused, since a key may have
    /// been revoked meanwhile; `None` if the document that is known goes on to be used.
    pub revocation_ms: Option<u64>,
    /// How the quotas of tenants are limited; `None` if they aren't.
    pub quota: Option<Policy>,
    /// Whether requests to all services are admitted by rank, objective and work while capacity is short.
    pub pressure: bool,
    /// Opens the connections to servers.
    pub dial: Arc<dyn Dial>,
}
