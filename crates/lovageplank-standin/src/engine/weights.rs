//! Loads of weights and adapters, from the engine's caches or from the weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lovageplank_core::prelude::*;
use tokio_util::sync::CancellationToken;

use super::shared::Core;
use super::text;
use crate::client;
use crate::record::ReplicaChange;

/// Timeout in milliseconds of a request to the weight store; beyond it, the load fails.
const STORE_TIMEOUT_MS: u64 = 120_000;

/// Where weights are fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WeightSource {
    Local { ms: u64 },
    Store { address: SocketAddr },
}

/// Fetches the weights of a replica and marks it as loaded, or removes it if that fails.
pub async fn load(core: Arc<Core>, replica: (Name, Name), load: CancellationToken) {
    let weight_source = weight_source(&core, &replica.0);
    if core.faults.take_die_mid_load() {
        crash_mid_load(&core, weight_source).await;
        return;
    }
    let fetched = tokio::select! {
        fetched = fetch(weight_source, format!("/weights/{}", replica.0)) => fetched,
        () = load.cancelled() => return,
    };
    if fetched {
        finish(&core, &replica, &load);
    } else if core.state().fail_load(&replica, &load) {
        core.records
            .record_replica_change(&replica, ReplicaChange::LoadFailed);
    }
    core.announce();
}

/// Fetches an adapter and marks it as loaded on its replica; does nothing more if that fails.
pub async fn load_adapter(
    core: Arc<Core>,
    replica: (Name, Name),
    adapter: Name,
    load: CancellationToken,
) {
    let weight_source = match core.config.store {
        Some(address) => WeightSource::Store { address },
        None => WeightSource::Local {
            ms: adapter_ms(&core, &adapter),
        },
    };
    if fetch(weight_source, format!("/adapters/{adapter}")).await {
        core.state().finish_adapter(&replica, adapter, &load);
        core.announce();
    }
}

fn finish(core: &Core, replica: &(Name, Name), load: &CancellationToken) {
    let mut state = core.state();
    if state.finish_load(replica, load) {
        state.cache_weights(&replica.0, core.config.memory_slots, core.config.disk_slots);
        core.records
            .record_replica_change(replica, ReplicaChange::Loaded);
    }
}

fn weight_source(core: &Core, model: &Name) -> WeightSource {
    let state = core.state();
    if state.memory_cache.contains(model) {
        return WeightSource::Local {
            ms: core.config.memory_load_ms,
        };
    }
    if state.disk_cache.contains(model) {
        return WeightSource::Local {
            ms: core.config.disk_load_ms,
        };
    }
    match core.config.store {
        Some(address) => WeightSource::Store { address },
        None => WeightSource::Local {
            ms: core.config.store_load_ms,
        },
    }
}

async fn crash_mid_load(core: &Core, weight_source: WeightSource) {
    let whole_ms = match weight_source {
        WeightSource::Local { ms } => ms,
        WeightSource::Store { .. } => core.config.store_load_ms,
    };
    tokio::time::sleep(Duration::from_millis(whole_ms / 2)).await;
    core.crash();
}

/// Fetches weights or an adapter; returns whether that succeeded.
async fn fetch(weight_source: WeightSource, path: String) -> bool {
    match weight_source {
        WeightSource::Local { ms } => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            true
        }
        WeightSource::Store { address } => {
            let request = tokio::task::spawn_blocking(move || get(address, &path));
            request.await.unwrap_or(false)
        }
    }
}

fn get(store: SocketAddr, path: &str) -> bool {
    let timeout = Duration::from_millis(STORE_TIMEOUT_MS);
    client::get_json::<serde_json::Value>(&store.to_string(), path, timeout).is_ok()
}

/// Returns an adapter's load time in milliseconds: within the configured range, and always the same
/// for the same name.
fn adapter_ms(core: &Core, adapter: &str) -> u64 {
    let (shortest, longest) = core.config.adapter_ms;
    shortest + text::hash(adapter, None, "") % (longest - shortest + 1)
}
