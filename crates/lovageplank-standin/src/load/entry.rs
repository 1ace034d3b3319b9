//! Which address a client uses: what it last heard, for as long as that is good.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use lovageplank_core::prelude::*;
use serde::Deserialize;

use super::Config;
use crate::client;

/// Milliseconds that one instance may take to name entries.
const ASK_TIMEOUT_MS: u64 = 1_000;

/// Entries by client, service and model.
#[derive(Default)]
pub struct Entries(Mutex<BTreeMap<Key, Kept>>);

/// Who asked for what.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The client.
    pub client: u32,
    /// The service.
    pub service: String,
    /// The model; empty for plain calls.
    pub model: String,
}

struct Kept {
    addresses: Vec<String>,
    until: Instant,
}

#[derive(Deserialize)]
struct Answer {
    entries: Vec<Entry>,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Entry {
    address: String,
}

impl Entries {
    /// Returns the addresses to try, best first; empty if no instance names any.
    pub fn get(&self, config: &Config, key: &Key) -> Vec<String> {
        if !config.fixed.is_empty() {
            return config.fixed.clone();
        }
        if let Some(addresses) = self.kept(key) {
            return addresses;
        }
        let Some(answer) = ask(config, key) else {
            return Vec::new();
        };
        let addresses: Vec<_> = answer.entries.into_iter().map(|e| e.address).collect();
        let kept = Kept {
            addresses: addresses.clone(),
            until: Instant::now() + Duration::from_millis(answer.ttl_ms),
        };
        self.lock().insert(key.clone(), kept);
        addresses
    }

    /// Forgets what a client heard, after none of its entries could be reached.
    pub fn forget(&self, key: &Key) {
        self.lock().remove(key);
    }

    fn kept(&self, key: &Key) -> Option<Vec<String>> {
        let entries = self.lock();
        let kept = entries.get(key)?;
        (Instant::now() < kept.until).then(|| kept.addresses.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Key, Kept>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks one instance after the other, each client beginning with another.
fn ask(config: &Config, key: &Key) -> Option<Answer> {
    let count = config.ask.len();
    let path = if key.model.is_empty() {
        format!("/v1/entries?service={}", key.service)
    } else {
        format!("/v1/entries?service={}&model={}", key.service, key.model)
    };
    let timeout = Duration::from_millis(ASK_TIMEOUT_MS);
    (0..count).find_map(|step| {
        let instance = &config.ask[(key.client as usize + step) % count];
        client::get_json(instance, &path, timeout).ok()
    })
}
