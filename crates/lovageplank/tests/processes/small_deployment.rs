//! A small deployment at loopback addresses that no other running test uses.

use lovageplank_standin::load::{self, Share};
use lovageplank_standin::local::{Config, Deployment};
use serde_json::json;
use std::net::TcpListener;
use tempfile::TempDir;

/// Port that a test binds at the first address of a block of addresses to reserve the block: a
/// second test fails to bind it and tries the next block.
const BLOCK_LOCK_PORT: u16 = 7_999;

/// Milliseconds that a load from the stand-in store takes.
pub const LOAD_MS: u64 = 1_500;

/// A running small deployment: 3 control processes, 3 routers, 3 engines, 1 plain service.
pub struct SmallDeployment {
    /// The processes. Fields are dropped in order, so the processes stop before their files are
    /// deleted.
    pub deployment: Deployment,
    _block_lock: TcpListener,
    _files: TempDir,
}

/// Starts a small deployment.
pub fn start() -> SmallDeployment {
    let (block_lock, block) = lock_address_block();
    let files = tempfile::tempdir().unwrap();
    write(&files, &block);
    let deployment = Config::new(files.path()).start().unwrap();
    deployment.wait_for_engines().unwrap();
    SmallDeployment {
        deployment,
        _block_lock: block_lock,
        _files: files,
    }
}

/// Streamed calls for a model, checked against the records of all backend servers.
pub fn streamed_load(deployment: &Deployment, run: &str, model: &str) -> load::Config {
    let mut config = load::Config::new(run)
        .share(Share::model("drafting", model).streamed_percent(100))
        .deadline_ms(30_000);
    for address in deployment.backend_addresses() {
        config = config.records(address);
    }
    config
}

/// Reserves a block of addresses `127.a.b.*`; panics if 1,000 blocks are in use.
fn lock_address_block() -> (TcpListener, String) {
    let first = std::process::id() % (100 * 250);
    for n in (first..).take(1_000) {
        let block = format!("127.{}.{}", 100 + n / 250 % 100, 1 + n % 250);
        if let Ok(listener) = TcpListener::bind(format!("{block}.1:{BLOCK_LOCK_PORT}")) {
            return (listener, block);
        }
    }
    panic!("no block of loopback addresses is free");
}

fn write(files: &TempDir, block: &str) {
    let keys = json!({ "link": "link-secret-of-a-test", "operator": "operator-token-of-a-test" });
    let peers: Vec<String> = (1..=3).map(|n| format!("{block}.{n}:8300")).collect();
    let save = |name: &str, value: serde_json::Value| {
        std::fs::write(files.path().join(name), value.to_string()).unwrap();
    };
    for n in 1..=3 {
        let domain = format!("domain-{n}");
        let control = json!({
            "instance": format!("control-{n}"), "failure_domain": domain,
            "listen": format!("{block}.{n}:8200"), "link": format!("{block}.{n}:8300"),
            "peers": peers, "voters": ["control-1", "control-2", "control-3"],
            "data_dir": format!("data/control-{n}"), "keys": keys,
        });
        save(&format!("control-{n}.jsonc"), control);
        let router = json!({
            "instance": format!("router-{n}"), "failure_domain": domain,
            "listen": format!("{block}.{n}:8100"), "peers": peers, "keys": keys,
        });
        save(&format!("router-{n}.jsonc"), router);
    }
    let engine = |n: u32| {
        json!({
            "id": format!("engine-{n}"), "failure_domain": format!("domain-{n}"),
            "service": "drafting", "memory_mb": 40_000, "fencing": n != 3,
        })
    };
    let service = json!({
        "id": "orders-1", "failure_domain": "domain-1", "service": "orders", "latency_ms": 1,
    });
    let store = json!({ "loads_per_second": 4.0, "full_speed": 4, "load_ms": LOAD_MS });
    save(
        "backends.jsonc",
        json!({
            "store": store, "services": [service], "engines": [engine(1), engine(2), engine(3)],
        }),
    );
    let model = json!({ "version": "1", "memory_mb": 16_000 });
    let tree = json!({
        "settings": { "load_ms": LOAD_MS, "deadline_ms": 30_000 },
        "services": {
            "drafting": {
                "kind": "engine",
                "models": { "lime-notes": model, "arch-summary": model },
            },
            "orders": { "kind": "plain", "settings": { "idempotent": false } },
        },
    });
    save("tree.jsonc", tree);
}
