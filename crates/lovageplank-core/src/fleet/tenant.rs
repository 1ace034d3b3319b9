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
}
