//! Which address a client uses: what it last heard, for as long as that is good.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use lovageplank_core::prelude::*;
use serde::Deserialize;

use super::Config;
use crate::client;

/// Milliseconds that one instance may take to name entries.
const LOOKUP_TIMEOUT_MS: u64 = 1_000;

/// Entries by client, service and model.
#[derive(Default)]
pub struct RouterCache(Mutex<BTreeMap<LookupKey, CachedLookup>>);

/// Who asked for what.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LookupKey {
    /// The client.
    pub client: u32,
    /// The service.
    pub service: String,
    /// The model; empty for plain calls.
    pub model: String,
}

struct CachedLookup {
    addresses: Vec<String>,
    expires_at: Instant,
}

#[derive(Deserialize)]
struct LookupAnswer {
    entries: Vec<RouterEntry>,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct RouterEntry {
    address: String,
}

impl RouterCache {
    /// Returns the addresses to try, best first; empty if no instance names any.
    pub fn get(&self, config: &Config, key: &LookupKey) -> Vec<String> {
        if !config.fixed.is_empty() {
            return config.fixed.clone();
        }
        if let Some(addresses) = self.cached(key) {
            return addresses;
        }
        let Some(answer) = look_up(config, key) else {
            return Vec::new();
        };
        let addresses: Vec<_> = answer.entries.into_iter().map(|e| e.address).collect();
        let cached = CachedLookup {
            addresses: addresses.clone(),
            expires_at: Instant::now() + Duration::from_millis(answer.ttl_ms),
        };
        self.lock().insert(key.clone(), cached);
        addresses
    }

    /// Forgets what a client heard, after none of its entries could be reached.
    pub fn invalidate(&self, key: &LookupKey) {
        self.lock().remove(key);
    }

    fn cached(&self, key: &LookupKey) -> Option<Vec<String>> {
        let lookups = self.lock();
        let cached = lookups.get(key)?;
        (Instant::now() < cached.expires_at).then(|| cached.addresses.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<LookupKey, CachedLookup>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks one instance after the other, each client beginning with another.
fn look_up(config: &Config, key: &LookupKey) -> Option<LookupAnswer> {
    let count = config.lookup_addresses.len();
    let path = if key.model.is_empty() {
        format!("/v1/entries?service={}", key.service)
    } else {
        format!("/v1/entries?service={}&model={}", key.service, key.model)
    };
    let timeout = Duration::from_millis(LOOKUP_TIMEOUT_MS);
    (0..count).find_map(|offset| {
        let instance = &config.lookup_addresses[(key.client as usize + offset) % count];
        client::get_json(instance, &path, timeout).ok()
    })
}
