//! Prints the snapshot size of the replicated state and the time to apply log entries, by
//! deployment size.
//!
//! `cargo run --release -p lovageplank-core --example state_size`

use lovageplank_core::idempotency::{Answer, Claim, Key, Outcome};
use lovageplank_core::ledger::{self, Action, Engine, Load, Observation};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{
    Adapter, Change, ChangeId, Edit, Model, Service, Tree, Values, Version,
};
use lovageplank_core::state::{Command, Machine, Reply};
use lovageplank_core::view::ReplicaId;
use serde_json::json;
use std::time::Instant;

struct Size {
    models: usize,
    adapters: usize,
    engines: usize,
    changes: usize,
    claims: usize,
}

const SIZES: &[Size] = &[
    Size {
        models: 50,
        adapters: 60,
        engines: 15,
        changes: 1_000,
        claims: 0,
    },
    Size {
        models: 50,
        adapters: 60,
        engines: 15,
        changes: 3_400,
        claims: 0,
    },
    Size {
        models: 50,
        adapters: 60,
        engines: 15,
        changes: 3_400,
        claims: 10_000,
    },
    Size {
        models: 180,
        adapters: 20_000,
        engines: 1_000,
        changes: 1_000,
        claims: 0,
    },
    Size {
        models: 180,
        adapters: 20_000,
        engines: 1_000,
        changes: 3_400,
        claims: 0,
    },
    Size {
        models: 180,
        adapters: 20_000,
        engines: 1_000,
        changes: 10_000,
        claims: 0,
    },
    Size {
        models: 180,
        adapters: 20_000,
        engines: 1_000,
        changes: 3_400,
        claims: 10_000,
    },
];

const MEMORY_MB: u64 = 80_000;
/// Number of loads per engine.
const LOADS: usize = 2;

/// A state machine with the time to apply its log entries.
struct Bench {
    machine: Machine,
    index: u64,
    /// Number of log entries and total microseconds, by kind of command.
    times: BTreeMap<&'static str, (usize, f64)>,
}

impl Bench {
    fn apply(&mut self, kind: &'static str, command: &Command) -> Reply {
        self.index += 1;
        let start = Instant::now();
        let reply = self.machine.apply(self.index, command);
        let time = self.times.entry(kind).or_default();
        time.0 += 1;
        time.1 += start.elapsed().as_secs_f64() * 1e6;
        reply
    }

    fn mean(&self, kind: &str) -> f64 {
        let (count, us) = self.times.get(kind).copied().unwrap_or((0, 0.0));
        us / f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX))
    }
}

fn main() {
    println!(
        "models adapters engines changes claims | snapshot_bytes encode_ms decode_ms | whole_us change_us load_us resolve_us observe_us drain_us unload_us claim_us complete_us"
    );
    for size in SIZES {
        row(size);
    }
}

fn row(size: &Size) {
    let mut bench = Bench {
        machine: Machine::default(),
        index: 0,
        times: BTreeMap::new(),
    };
    change_all(&mut bench, size);
    command_all(&mut bench, size);
    claim_all(&mut bench, size);
    let start = Instant::now();
    let bytes = bench.machine.encode();
    let encode_ms = start.elapsed().as_secs_f64() * 1e3;
    let start = Instant::now();
    let restored = Machine::decode(&bytes).expect("the encoded snapshot must decode");
    let decode_ms = start.elapsed().as_secs_f64() * 1e3;
    assert!(restored == bench.machine);
    print!(
        "{} {} {} {} {} | ",
        size.models, size.adapters, size.engines, size.changes, size.claims
    );
    print!("{} {encode_ms:.1} {decode_ms:.1} |", bytes.len());
    let kinds = [
        "whole", "change", "load", "resolve", "observe", "drain", "unload", "claim", "complete",
    ];
    for kind in kinds {
        print!(" {:.1}", bench.mean(kind));
    }
    println!();
}

fn change_all(bench: &mut Bench, size: &Size) {
    let whole = Edit {
        path: String::new(),
        value: serde_json::to_value(tree(size)).ok(),
    };
    change(bench, "whole", 0, whole);
    for version in 1..=size.changes {
        let model = version % size.models;
        let edit = Edit {
            path: format!("services/pool/models/model-{model}/deadline_ms"),
            value: Some(json!(1_000 + version)),
        };
        change(bench, "change", version as u64, edit);
    }
}

fn change(bench: &mut Bench, kind: &'static str, base: u64, edit: Edit) {
    let change = Change {
        id: ChangeId(format!("change-{base}").into()),
        base: Version(base),
        author: "office".into(),
        at_ms: base,
        edits: vec![edit],
    };
    let reply = bench.apply(kind, &Command::Change(change));
    assert!(matches!(reply, Reply::Changed(_)), "{reply:?}");
}

fn tree(size: &Size) -> Tree {
    let mut service = Service::default();
    for model in 0..size.models {
        let mut entry = Model {
            version: "1".into(),
            memory_mb: 16_000,
            ..Model::default()
        };
        entry.settings.max_replicas = Some(1_000);
        for adapter in (model..size.adapters).step_by(size.models) {
            let settings = Values {
                priority: Some(3),
                ..Values::default()
            };
            let name = format!("adapter-{adapter}");
            entry.adapters.insert(
                name.into(),
                Adapter {
                    settings: settings.into(),
                },
            );
        }
        service
            .models
            .insert(format!("model-{model}").into(), entry);
    }
    Tree {
        services: BTreeMap::from([("pool".into(), service)]),
        ..Tree::default()
    }
}

fn command_all(bench: &mut Bench, size: &Size) {
    for engine in 0..size.engines {
        let engine = Engine::new(format!("engine-{engine}"), 1, MEMORY_MB).services(["pool"]);
        bench.apply("register", &Command::Register(engine));
    }
    for load in 0..size.engines * LOADS {
        let replica = ReplicaId {
            model: format!("model-{}", load % size.models).into(),
            version: "1".into(),
            engine: format!("engine-{}", (load / LOADS) % size.engines).into(),
        };
        command(bench, replica, load % 4 == 0);
    }
}

fn command(bench: &mut Bench, replica: ReplicaId, unload: bool) {
    let load = Load {
        replica: replica.clone(),
        memory_mb: 16_000,
        limit: 1_000,
        surge: 0,
        replace_lost: false,
    };
    let reply = bench.apply("load", &Command::Ledger(Action::Load(load)));
    resolve(bench, &reply);
    let observation = Observation {
        engine: replica.engine.clone(),
        incarnation: 1,
        loaded: Vec::new(),
        basis: 0,
    };
    bench.apply("observe", &Command::Ledger(Action::Observe(observation)));
    if unload {
        bench.apply("drain", &Command::Ledger(Action::Drain(replica.clone())));
        let reply = bench.apply("unload", &Command::Ledger(Action::Unload(replica)));
        resolve(bench, &reply);
    }
}

fn resolve(bench: &mut Bench, reply: &Reply) {
    let Reply::Intent(record) = reply else {
        panic!("{reply:?}");
    };
    let action = Action::Resolve {
        token: record.token,
        send: 1,
        outcome: ledger::Outcome::Done,
    };
    let reply = bench.apply("resolve", &Command::Ledger(action));
    assert!(matches!(reply, Reply::Noted), "{reply:?}");
}

fn claim_all(bench: &mut Bench, size: &Size) {
    for key in 0..size.claims {
        let claim = Claim {
            key: Key {
                service: "orders".into(),
                caller: "office".into(),
                key: format!("request-{key}").into(),
            },
            fingerprint: 7,
            router: "router".into(),
            router_incarnation: 1,
            attempt: key as u64,
            at_ms: 0,
            ttl_ms: 1_000,
        };
        bench.apply("claim", &Command::Claim(claim));
        let answer = Answer::Whole {
            status: 200,
            content_type: "application/json".into(),
            body: vec![b'x'; 200],
        };
        let outcome = Outcome {
            claim: bench.index,
            answer,
            at_ms: 0,
        };
        bench.apply("complete", &Command::Complete(outcome));
    }
}
