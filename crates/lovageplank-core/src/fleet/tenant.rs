//! Tenants of the operator's document: who sends a request, by its API key, and how much a tenant may send.

use crate::prelude::*;

record! { copy =>
    /// What a [`Quota`] counts.
    pub enum Unit {
        /// Requests.
        Requests,
        /// Tokens of the prompt and of the answer.
        Tokens,
    }
}

record! { copy =>
    /// Limit on what a tenant sends, over all routers: a token bucket.
    pub struct Quota {
        /// Units a second; above 0.
        pub rate_per_s: u64,
        /// Units that may be used at once after a pause.
        pub burst: u64,
        /// What is counted.
        pub unit: Unit,
        /// Tokens of a request that doesn't state how many it needs.
        pub plain_tokens: u64,
    }
}

record! { key =>
    /// A tenant.
    pub struct Tenant {
        /// Its name in the document, which servers are told.
        pub name: Name,
        /// Its rank, which precedes the route's; 0 is the most urgent. `None` leaves the rank to the route.
        pub priority: Option<u32>,
        /// Its limit, if it has one.
        pub quota: Option<Quota>,
    }
}

impl Tenant {
    /// Returns its part of the rank of its requests.
    pub fn rank(&self) -> u32 {
        self.priority.unwrap_or_default()
    }
}

/// The API key that a request carries. It has no `Debug` output.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Credential<'a> {
    /// The request carries none.
    Missing,
    /// What it carries isn't a key.
    Unreadable,
    /// It carries this one.
    Key(&'a str),
}

/// Whom a request comes from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sender {
    /// Anyone: the document has no tenants.
    #[default]
    Unchecked,
    /// No tenant that is known, on a public route of a document with tenants.
    Anonymous,
    /// A tenant.
    Tenant(Arc<Tenant>),
}

impl Sender {
    /// Returns the tenant, if it is one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Sender::Tenant(tenant) => Some(tenant),
            Sender::Unchecked | Sender::Anonymous => None,
        }
    }
}

record! { copy =>
    /// Why a request isn't authorized.
    pub enum Unauthorized {
        /// It has no key.
        Missing,
        /// Its key can't be read.
        Unreadable,
        /// No tenant has its key.
        Unknown,
    }
}

impl Unauthorized {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Unauthorized::Missing => "missing",
            Unauthorized::Unreadable => "unreadable",
            Unauthorized::Unknown => "unknown",
        }
    }
}

/// Tenants of a document, by API key.
///
/// Invariant: each key belongs to one tenant. Its `Debug` output has no key.
#[derive(Clone, Default, PartialEq)]
pub struct Tenants {
    /// In the order of the document.
    list: Vec<Arc<Tenant>>,
    by_key: BTreeMap<Name, Arc<Tenant>>,
}

/// Two tenants share a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedKey(pub Name, pub Name);

impl std::fmt::Debug for Tenants {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Tenants").field(&self.list).finish()
    }
}

impl Tenants {
    /// Returns tenants with their keys. Fails if two tenants share a key.
    pub fn new(tenants: Vec<(Tenant, Vec<Name>)>) -> Result<Tenants, SharedKey> {
        let mut by_key: BTreeMap<Name, Arc<Tenant>> = BTreeMap::new();
        let mut list = Vec::new();
        for (tenant, keys) in tenants {
            let tenant = Arc::new(tenant);
            for key in keys {
                if let Some(other) = by_key.insert(key, tenant.clone())
                    && !Arc::ptr_eq(&other, &tenant)
                {
                    return Err(SharedKey(other.name.clone(), tenant.name.clone()));
                }
            }
            list.push(tenant);
        }
        Ok(Tenants { list, by_key })
    }

    /// Whether the document has no tenants, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the tenants in the order of the document.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.list.iter()
    }

    /// Returns the tenant that has this key.
    pub fn by_key(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Returns whom a request comes from, or why it isn't authorized. On a public route each request is.
    pub fn identify(
        &self,
        credential: Credential<'_>,
        is_public: bool,
    ) -> Result<Sender, Unauthorized> {
        if self.is_empty() {
            return Ok(Sender::Unchecked);
        }
        let found = match credential {
            Credential::Missing => Err(Unauthorized::Missing),
            Credential::Unreadable => Err(Unauthorized::Unreadable),
            Credential::Key(key) => self.by_key(key).ok_or(Unauthorized::Unknown),
        };
        match found {
            Ok(tenant) => Ok(Sender::Tenant(tenant.clone())),
            Err(_) if is_public => Ok(Sender::Anonymous),
            Err(reason) => Err(reason),
        }
    }
}

/// Tenants of one document that metrics name, at most.
pub const LABELS_MAX: usize = 64;
/// Names that metrics have had so far, at most, over all documents. Metrics of tenants that are gone stay until the
/// process ends, so that this bounds their memory.
const LABELS_EVER_MAX: usize = 256;
/// Label of all other tenants.
const OTHER: &str = "other";

/// Values of the label `tenant` of metrics: the first [`LABELS_MAX`] tenants of the document by name, and `other`.
#[derive(Clone, Debug, Default)]
pub struct Labels {
    current: BTreeSet<Name>,
    /// All names that were ever in `current`.
    ever: BTreeSet<Name>,
}

impl Labels {
    /// Takes the tenants of a new document.
    pub fn update(&mut self, tenants: &Tenants) {
        self.current.clear();
        for tenant in tenants.iter().take(LABELS_MAX) {
            let name = &tenant.name;
            if self.ever.contains(name) || self.ever.len() < LABELS_EVER_MAX {
                self.ever.insert(name.clone());
                self.current.insert(name.clone());
            }
        }
    }

    /// Returns the label for a tenant's name.
    pub fn of<'a>(&self, tenant: &'a str) -> &'a str {
        if self.current.contains(tenant) {
            tenant
        } else {
            OTHER
        }
    }
}
