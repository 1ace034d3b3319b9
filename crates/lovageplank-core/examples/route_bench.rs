//! Measures the time of a server selection and the memory of the routing table at design size.
//!
//! ```text
//! cargo run --release -p lovageplank-core --example route_bench
//! ```
//!
//! Targets: at most 2 µs per selection and 16 MB for the table, with 1,000 engines, 2,000 replicas
//! of 180 models and 20,000 adapters, each on two replicas.

use lovageplank_core::backend::{Kind, State};
use lovageplank_core::prelude::*;
use lovageplank_core::route::{Requirements, ServerOutcome, Table};
use lovageplank_core::view::{Backend, Phase, Replica, ReplicaId, Update};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Instant;

const ENGINES: usize = 1_000;
const MODELS: usize = 180;
const ADAPTERS: usize = 20_000;
const REPLICAS_PER_ENGINE: usize = 2;
const REPLICAS_PER_ADAPTER: usize = 2;
const DOMAINS: usize = 6;
const PREFIXES: u64 = 10_000;
const CHOICES: u32 = 1_000_000;
const PAGE_BYTES: usize = 4_096;

/// The name of a kind of request, and the function that makes one.
type RequestKind = (&'static str, fn(&Requirements) -> Requirements);

fn main() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (update, wants) = fixture(&mut rng);
    let before = resident_bytes();
    let mut table = Table::new("d0");
    assert!(table.apply(0, &update));
    let replicas = update.replicas.len();
    let table_bytes = resident_bytes() - before;
    record_prefixes(&mut table, &mut rng);
    let with_prefixes_bytes = resident_bytes() - before;
    println!("engines={ENGINES} replicas={replicas} models={MODELS} adapters={ADAPTERS}");
    println!("table_bytes={table_bytes} with_prefixes_bytes={with_prefixes_bytes}");
    let now = 10_000;
    let kinds: [RequestKind; 3] = [
        ("base", |want| want.clone().adapter(None)),
        ("adapter", Requirements::clone),
        ("adapter_prefix", |want| {
            want.clone().prefix(1 + want.name.len() as u64)
        }),
    ];
    for (name, make) in kinds {
        let wants: Vec<Requirements> = wants.iter().map(make).collect();
        let ns = time_choices(&table, now, &wants, &mut rng);
        println!("choose_{name}_ns={ns:.0}");
    }
    let (update_us, dispatch_ns) = time_updates_and_choices(&mut table, now, &wants, &mut rng);
    println!("apply_one_replica_us={update_us:.2} choose_start_end_ns={dispatch_ns:.0}");
}

/// A full update with all engines and replicas, and one request per adapter.
fn fixture(rng: &mut SmallRng) -> (Update, Vec<Requirements>) {
    let mut replicas: Vec<Replica> = (0..ENGINES * REPLICAS_PER_ENGINE)
        .map(|index| replica(index, index % MODELS))
        .collect();
    let mut wants = Vec::with_capacity(ADAPTERS);
    for adapter in 0..ADAPTERS {
        let model = adapter % MODELS;
        let name: Name = format!("adapter-{adapter:05}").into();
        for _ in 0..REPLICAS_PER_ADAPTER {
            let per_model = replicas.len() / MODELS;
            let index = model + MODELS * rng.random_range(0..per_model);
            replicas[index].adapters.insert(name.clone());
        }
        wants.push(
            Requirements::model(format!("model-{model:03}"))
                .adapter(Some(name))
                .load_limit(16),
        );
    }
    let update = Update {
        full: true,
        backends: (0..ENGINES).map(backend).collect(),
        replicas,
        ..Update::default()
    };
    (update, wants)
}

fn backend(index: usize) -> Backend {
    Backend {
        id: format!("engine-{index:04}").into(),
        incarnation: 1,
        address: format!("10.0.{}.{}:9000", index / 250, index % 250).into(),
        kind: Kind::Engine,
        failure_domain: format!("d{}", index % DOMAINS).into(),
        services: BTreeSet::from(["drafting".into()]),
        state: State::Ready,
    }
}

fn replica(index: usize, model: usize) -> Replica {
    Replica {
        id: ReplicaId {
            model: format!("model-{model:03}").into(),
            version: "1".into(),
            engine: format!("engine-{:04}", index % ENGINES).into(),
        },
        phase: Phase::Ready,
        adapters: BTreeSet::new(),
        ready_in_ms: 0,
    }
}

fn record_prefixes(table: &mut Table, rng: &mut SmallRng) {
    for prefix in 1..=PREFIXES {
        let engine = format!("engine-{:04}", rng.random_range(0..ENGINES));
        table.attempt_started(0, &engine, prefix);
        table.attempt_ended(0, &engine, "model-000", ServerOutcome::Abandoned);
    }
}

fn time_choices(table: &Table, now: Millis, wants: &[Requirements], rng: &mut SmallRng) -> f64 {
    let began = Instant::now();
    let mut found = 0_u32;
    for turn in 0..CHOICES as usize {
        let want = &wants[(turn * 7_919) % wants.len()];
        found += u32::from(table.select(now, want, rng).is_some());
    }
    let ns = began.elapsed().as_secs_f64() * 1e9 / f64::from(CHOICES);
    assert_eq!(found, CHOICES, "every request must get a server");
    ns
}

/// Mean microseconds to apply an update of one replica, and mean nanoseconds to select a server and
/// record the start and end of the request.
fn time_updates_and_choices(
    table: &mut Table,
    now: Millis,
    wants: &[Requirements],
    rng: &mut SmallRng,
) -> (f64, f64) {
    const UPDATES: u32 = 10_000;
    let updates: Vec<Update> = (0..UPDATES)
        .map(|turn| {
            let index = turn as usize % (ENGINES * REPLICAS_PER_ENGINE);
            let mut changed = replica(index, index % MODELS);
            changed.adapters = (0..20).map(|a| format!("adapter-{a:05}").into()).collect();
            Update {
                sequence: u64::from(turn) + 1,
                replicas: vec![changed],
                ..Update::default()
            }
        })
        .collect();
    let began = Instant::now();
    for update in &updates {
        assert!(table.apply(now, update));
    }
    let update_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(UPDATES);
    let began = Instant::now();
    for turn in 0..CHOICES as usize {
        let want = &wants[(turn * 7_919) % wants.len()];
        let choice = table
            .select(now, want, rng)
            .expect("a server has free capacity");
        table.attempt_started(now, &choice.server, 0);
        table.attempt_ended(
            now,
            &choice.server,
            &want.name,
            ServerOutcome::Answered { ms: 100 },
        );
    }
    (
        update_us,
        began.elapsed().as_secs_f64() * 1e9 / f64::from(CHOICES),
    )
}

/// Resident memory of the process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm")
        .expect("/proc/self/statm must be readable (Linux only)");
    let pages = text
        .split(' ')
        .nth(1)
        .expect("/proc/self/statm must have a second field, the resident pages");
    pages
        .parse::<usize>()
        .expect("the second field of /proc/self/statm must be an integer")
        * PAGE_BYTES
}
