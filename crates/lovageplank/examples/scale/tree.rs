//! A settings tree of a given size.

use serde_json::{Map, Value, json};

/// A tree of one service with this many models, over which the adapters are distributed evenly.
pub fn tree(models: usize, adapters: usize) -> Value {
    let mut nodes = Map::new();
    for m in 0..models {
        let own_adapters = (m..adapters).step_by(models.max(1));
        let adapters: Map<String, Value> = own_adapters
            .map(|a| (format!("adapter-{a}"), json!({})))
            .collect();
        let node = json!({ "version": "1", "memory_mb": 16_000, "adapters": adapters });
        nodes.insert(format!("model-{m}"), node);
    }
    json!({ "services": { "drafting": { "kind": "engine", "models": nodes } } })
}
