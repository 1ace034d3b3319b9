//! The operator's configuration, decoded from the document: routes, services and limits.

use super::request::Rank;
use super::tenant::{SharedKey, Tenant, Tenants};
use super::urgency::Scale;
use crate::prelude::*;

record! { copy =>
    /// Whether a route's requests may run more than once, and how they are answered.
    pub enum RequestKind {
        /// Idempotent, so that it is safe to run it more than once.
        Safe,
        /// Not idempotent: runs at most once.
        Unsafe,
        /// Runs at most once, and is answered by a stream of events.
        Stream,
        /// Is answered by a stream of events that another server can continue.
        Resumable,
    }
}

record! { key =>
    /// A service that a route sends a share of its requests to.
    pub struct Share {
        /// The service that the requests are sent to.
        pub service: Name,
        /// Relative weight among the shares of the route. At least one share has a weight above 0.
        pub weight: u64,
    }
}

record! { key =>
    /// Routing of the requests for a host and a path prefix.
    pub struct Route {
        /// Its name in the document.
        pub name: Name,
        /// The host, in lowercase and without a port.
        pub host: Name,
        /// Prefix of the path; begins and ends with a slash.
        pub prefix: Name,
        /// Whether its requests may run more than once, and how they are answered.
        pub kind: RequestKind,
        /// Milliseconds from the arrival of a request until its response must have ended; not 0.
        pub timeout_ms: u64,
        /// Milliseconds within which an answer is on time.
        pub objective_ms: u64,
        /// Milliseconds for which a caller waits for the first part of a response, or for an
        /// interrupted stream to continue.
        pub patience_ms: u64,
        /// Rank; 0 is the most urgent.
        pub priority: u32,
        /// Whether its requests need no API key.
        pub is_public: bool,
        /// Largest number of servers that may run one request, one after another, if the request
        /// may run more than once. A server that certainly did not run the request doesn't count.
        pub attempts: u32,
        /// Services that the requests are divided among, at least one.
        pub shares: Vec<Share>,
    }
}

record! { data =>
    /// Sizes and load times of a model of a service.
    pub struct ModelSpec {
        /// Size of its weights in megabytes.
        pub weights_mb: f64,
        /// Milliseconds to load it from the weight store.
        pub store_ms: u64,
        /// Milliseconds to load it from the disk of an engine's host.
        pub disk_ms: u64,
        /// Milliseconds to load it from the memory of an engine's host.
        pub memory_ms: u64,
        /// Size of each adapter in megabytes.
        pub adapter_mb: f64,
    }
}

record! { data =>
    /// Capacity of the engines of a service, and the models that they may load.
    pub struct EngineSpec {
        /// Requests that each engine runs concurrently.
        pub slots: u32,
        /// Capacity of each engine's accelerator memory for weights and adapters, in megabytes.
        pub weights_mb: f64,
        /// Largest number of adapters that each engine can have loaded at a time.
        pub adapters: u32,
        /// Limit on the loads from the weight store that begin per second, over all engines.
        pub loads_per_s: f64,
        /// The models that may be loaded, by name.
        pub models: BTreeMap<Name, ModelSpec>,
    }
}

record! { data =>
    /// Settings of the backend servers of one service.
    pub struct Service {
        /// Limit on the connections that each server accepts, over all its clients.
        pub connections: u32,
        /// Set if its servers are engines.
        pub engine: Option<EngineSpec>,
    }
}

record! { copy =>
    /// Limits on what callers send.
    pub struct Limits {
        /// Largest head of a request in bytes.
        pub head_bytes: usize,
        /// Largest body of a request in bytes.
        pub body_bytes: usize,
        /// Milliseconds within which a head must arrive.
        pub head_ms: u64,
        /// Milliseconds for which a connection may be idle.
        pub idle_ms: u64,
    }
}

/// The validated configuration from one version of the operator's document.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version of the document.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: BTreeMap<Name, Vec<Arc<Route>>>,
    /// Longest time in milliseconds for which a request of any route waits, by service.
    patience_ms: BTreeMap<Name, u64>,
    /// Services by name; each share of a route names one of them.
    pub services: BTreeMap<Name, Service>,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Who may send requests; without tenants everyone may.
    pub tenants: Tenants,
    /// The levels of urgency of the requests, as engines are told them.
    urgency: Scale,
}

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// It can't be decoded; the text says why.
    Unreadable(String),
    /// A route names a service that doesn't exist.
    UnknownService(Name),
    /// Two routes have this host and prefix.
    DuplicateRoute(Name, Name),
    /// The sum of the weights of this route's shares is 0.
    NoWeight(Name),
    /// This route's timeout is 0.
    NoTimeout(Name),
    /// This route's prefix doesn't begin and end with a slash.
    BadPrefix(Name),
    /// These tenants share a key.
    SharedKey(Name, Name),
    /// Two tenants have this name.
    DuplicateTenant(Name),
    /// This name of a tenant can't be sent to servers.
    BadTenantName(Name),
}

impl From<SharedKey> for Invalid {
    fn from(SharedKey(first, second): SharedKey) -> Invalid {
        Invalid::SharedKey(first, second)
    }
}

impl std::fmt::Display for Invalid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Invalid::Unreadable(why) => write!(f, "the document can't be read: {why}"),
            Invalid::UnknownService(name) => write!(f, "a route names the unknown service {name}"),
            Invalid::DuplicateRoute(host, prefix) => {
                write!(f, "two routes share host {host} and prefix {prefix}")
            }
            Invalid::NoWeight(name) => write!(f, "the weights of route {name} add up to 0"),
            Invalid::NoTimeout(name) => write!(f, "the timeout of route {name} is 0"),
            Invalid::BadPrefix(name) => {
                write!(
                    f,
                    "the prefix of route {name} must begin and end with a slash"
                )
            }
            Invalid::SharedKey(first, second) => {
                write!(f, "tenants {first} and {second} share a key")
            }
            Invalid::DuplicateTenant(name) => write!(f, "two tenants are named {name}"),
            Invalid::BadTenantName(name) => {
                write!(f, "the name of tenant {name:?} is no valid header value")
            }
        }
    }
}

impl std::error::Error for Invalid {}

impl Deployment {
    /// Checks the routes against the services, and sorts them by the length of the prefix. Fails on
    /// the first invalid route.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Name, Service>,
        limits: Limits,
    ) -> Result<Deployment, Invalid> {
        let mut ordered: BTreeMap<Name, Vec<Arc<Route>>> = BTreeMap::new();
        let mut patience_ms: BTreeMap<Name, u64> = BTreeMap::new();
        for route in routes {
            check(&route, &services)?;
            for share in &route.shares {
                let longest = patience_ms.entry(share.service.clone()).or_default();
                *longest = (*longest).max(route.patience_ms.min(route.timeout_ms));
            }
            let list = ordered.entry(route.host.clone()).or_default();
            if list.iter().any(|r| r.prefix == route.prefix) {
                return Err(Invalid::DuplicateRoute(route.host, route.prefix));
            }
            list.push(Arc::new(route));
        }
        for list in ordered.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Deployment {
            version,
            routes: ordered,
            patience_ms,
            services,
            limits,
            tenants: Tenants::default(),
            urgency: Scale::default(),
        })
    }

    /// Sets the tenants.
    #[must_use]
    pub fn with_tenants(self, tenants: Tenants) -> Deployment {
        let of_tenants = tenants.iter().map(|tenant| tenant.rank());
        let of_routes = self.routes.values().flatten().map(|route| route.priority);
        let urgency = Scale::new(of_tenants, of_routes);
        Deployment {
            tenants,
            urgency,
            ..self
        }
    }

    /// Returns the level of urgency that engines are told for a request of this rank.
    pub fn urgency(&self, rank: Rank) -> u32 {
        self.urgency.level(rank)
    }

    /// Returns the route of a request: of the routes of its host whose prefix matches the path, the
    /// one with the longest prefix. `host` may be in any case and include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let host = host.rsplit_once(':').map_or(&*host, |(name, _)| name);
        let list = self.routes.get(host)?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the longest time in milliseconds for which a request to the service waits for a server, of any
    /// route; 0 if no route leads there.
    pub fn patience_ms(&self, service: &str) -> u64 {
        self.patience_ms.get(service).copied().unwrap_or_default()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl RequestKind {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RequestKind::Safe => "safe",
            RequestKind::Unsafe => "unsafe",
            RequestKind::Stream => "stream",
            RequestKind::Resumable => "resumable",
        }
    }
}

impl Route {
    /// Returns the service for a request, selected by weight; `draw` is a random number.
    pub fn service(&self, draw: u64) -> &Name {
        let sum: u64 = self.shares.iter().map(|s| s.weight).sum();
        let mut left = draw % sum.max(1);
        for share in &self.shares {
            if left < share.weight {
                return &share.service;
            }
            left -= share.weight;
        }
        &self.shares[0].service
    }

    /// Returns the rank of a request to it.
    pub fn rank(&self, tenant: Option<&Tenant>) -> Rank {
        Rank {
            tenant: tenant.map_or(0, Tenant::rank),
            route: self.priority,
        }
    }

    /// Whether a request that may have run already may run again.
    pub fn repeatable(&self) -> bool {
        matches!(self.kind, RequestKind::Safe | RequestKind::Resumable)
    }

    /// Whether answers are streams of events.
    pub fn streams(&self) -> bool {
        matches!(self.kind, RequestKind::Stream | RequestKind::Resumable)
    }
}

fn check(route: &Route, services: &BTreeMap<Name, Service>) -> Result<(), Invalid> {
    if let Some(share) = route
        .shares
        .iter()
        .find(|s| !services.contains_key(&s.service))
    {
        return Err(Invalid::UnknownService(share.service.clone()));
    }
    if route.shares.iter().map(|s| s.weight).sum::<u64>() == 0 {
        return Err(Invalid::NoWeight(route.name.clone()));
    }
    if route.timeout_ms == 0 {
        return Err(Invalid::NoTimeout(route.name.clone()));
    }
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(Invalid::BadPrefix(route.name.clone()));
    }
    Ok(())
}
