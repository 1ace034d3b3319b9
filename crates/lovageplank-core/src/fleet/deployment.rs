//! What the operator's document says, decoded: routes, services, limits.

use crate::prelude::*;

record! { copy =>
    /// What may be repeated of a route's requests.
    pub enum Kind {
        /// May run more than once.
        Safe,
        /// Runs at most once.
        Unsafe,
        /// A stream of events that runs at most once.
        Stream,
        /// A stream of events that another server can go on with.
        Resumable,
    }
}

record! { key =>
    /// A share of a route's requests.
    pub struct Share {
        /// The service that gets them.
        pub service: Name,
        /// Its part of the sum of all weights; not all are 0.
        pub weight: u64,
    }
}

record! { key =>
    /// Where requests of a host and path go.
    pub struct Route {
        /// Its name in the document.
        pub name: Name,
        /// The host, in lowercase and without a port.
        pub host: Name,
        /// Begins and ends with a slash.
        pub prefix: Name,
        /// What may be repeated.
        pub kind: Kind,
        /// Milliseconds that a request may be kept waiting; not 0.
        pub timeout_ms: u64,
        /// Milliseconds within which an answer is on time.
        pub objective_ms: u64,
        /// Milliseconds for which callers wait for the beginning of an answer.
        pub patience_ms: u64,
        /// Rank; 0 is the most urgent.
        pub priority: u32,
        /// Servers that may run one request.
        pub attempts: u32,
        /// Services that get the requests, at least one.
        pub shares: Vec<Share>,
    }
}

record! { data =>
    /// A model of a service.
    pub struct Model {
        /// Megabytes of its weights.
        pub weights_mb: f64,
        /// Milliseconds to load it from the store.
        pub store_ms: u64,
        /// Milliseconds to load it from an engine's disk.
        pub disk_ms: u64,
        /// Milliseconds to load it from an engine's memory.
        pub memory_ms: u64,
        /// Megabytes of each adapter.
        pub adapter_mb: f64,
    }
}

record! { data =>
    /// What the engines of a service can hold.
    pub struct Engine {
        /// Requests that run at once.
        pub slots: u32,
        /// Megabytes for weights and adapters.
        pub weights_mb: f64,
        /// Adapters at once.
        pub adapters: u32,
        /// Loads from the store a second, over all engines.
        pub loads_per_s: f64,
        /// Models that may be loaded.
        pub models: BTreeMap<Name, Model>,
    }
}

record! { data =>
    /// A service.
    pub struct Service {
        /// Connections that a server accepts from all callers.
        pub connections: u32,
        /// Set where its servers are model engines.
        pub engine: Option<Engine>,
    }
}

record! { copy =>
    /// Bounds on what callers send.
    pub struct Limits {
        /// Bytes of a head.
        pub head_bytes: usize,
        /// Bytes of a body.
        pub body_bytes: usize,
        /// Milliseconds within which a head must come.
        pub head_ms: u64,
        /// Milliseconds for which a connection may idle.
        pub idle_ms: u64,
    }
}

/// A valid document.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version of the document.
    pub version: u64,
    /// By host, longest prefix first.
    routes: BTreeMap<Name, Vec<Arc<Route>>>,
    /// Services by name; each share of a route names one of them.
    pub services: BTreeMap<Name, Service>,
    /// Bounds on callers.
    pub limits: Limits,
}

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// It can't be read.
    Unreadable(String),
    /// A route names a service that doesn't exist.
    UnknownService(Name),
    /// Two routes have this host and prefix.
    SamePlace(Name, Name),
    /// The weights of this route add up to nothing.
    NoWeight(Name),
    /// This route's timeout is 0.
    NoTimeout(Name),
    /// This route's prefix doesn't begin and end with a slash.
    BadPrefix(Name),
}

impl std::fmt::Display for Invalid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Invalid::Unreadable(why) => write!(f, "the document can't be read: {why}"),
            Invalid::UnknownService(name) => write!(f, "a route names the unknown service {name}"),
            Invalid::SamePlace(host, prefix) => {
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
        }
    }
}

impl std::error::Error for Invalid {}

impl Deployment {
    /// Checks routes against services and orders them.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Name, Service>,
        limits: Limits,
    ) -> Result<Deployment, Invalid> {
        let mut ordered: BTreeMap<Name, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            check(&route, &services)?;
            let list = ordered.entry(route.host.clone()).or_default();
            if list.iter().any(|r| r.prefix == route.prefix) {
                return Err(Invalid::SamePlace(route.host, route.prefix));
            }
            list.push(Arc::new(route));
        }
        for list in ordered.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Deployment {
            version,
            routes: ordered,
            services,
            limits,
        })
    }

    /// The route of a request: of its host, the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let host = host.rsplit_once(':').map_or(&*host, |(name, _)| name);
        let list = self.routes.get(host)?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Number of routes.
    pub fn routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Kind {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream => "stream",
            Kind::Resumable => "resumable",
        }
    }
}

impl Route {
    /// The service for a request; `draw` is a random number.
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

    /// Whether a request may run again after it may have run.
    pub fn repeatable(&self) -> bool {
        matches!(self.kind, Kind::Safe | Kind::Resumable)
    }

    /// Whether answers are streams of events.
    pub fn streams(&self) -> bool {
        matches!(self.kind, Kind::Stream | Kind::Resumable)
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
