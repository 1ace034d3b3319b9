//! Router lookups (`GET /v1/entries`), cached per client for their time to live.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use lovageplank_core::prelude::*;
use serde::Deserialize;

use super::Config;
use crate::client;

/// Timeout in milliseconds for a lookup at one instance. Beyond it the next instance is tried.
const LOOKUP_TIMEOUT_MS: u64 = 1_000;

/// Cached lookups by client, service and model.
#[derive(Default)]
pub struct RouterCache(Mutex<BTreeMap<LookupKey, CachedLookup>>);

/// Key of a cached lookup.
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
    /// Returns the addresses to try, best first; empty if no instance answers or the answer is
    /// empty. Fixed addresses of the configuration take precedence over lookups.
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

    /// Drops a cached lookup, so that the next attempt makes a new one.
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

/// Tries the instances in order until one answers. The client number sets the first instance, so
/// that clients spread over the instances.
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
