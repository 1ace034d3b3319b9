//! Choices: who is eligible, whom they prefer, and what late or missing reports do.

use lovageplank_core::backend::{CacheEvent, Kind, Report, State};
use lovageplank_core::prelude::*;
use lovageplank_core::route::{Choice, Ending, Table, Want, rank};
use lovageplank_core::view::{Backend, Instance, Load, Phase, Replica, ReplicaId, Update};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DOMAINS: [&str; 3] = ["salt", "amman-east", "amman-west"];

fn backend(index: usize, domain: &str) -> Backend {
    Backend {
        id: format!("e{index}").into(),
        incarnation: 1,
        address: format!("10.0.0.{index}:80").into(),
        kind: Kind::Engine,
        failure_domain: domain.into(),
        services: BTreeSet::from(["drafting".into()]),
        state: State::Ready,
    }
}

fn replica(index: usize, model: &str, adapters: &[&str]) -> Replica {
    Replica {
        id: ReplicaId {
            model: model.into(),
            version: "1".into(),
            engine: format!("e{index}").into(),
        },
        phase: Phase::Ready,
        adapters: adapters.iter().map(|a| Name::from(*a)).collect(),
        ready_in_ms: 0,
    }
}

/// A table whose router stands in the first domain, with one replica of `lime` on each engine.
struct Bench {
    table: Table,
    rng: SmallRng,
    sequence: u64,
    now: Millis,
}

impl Bench {
    fn new(domains: &[&str]) -> Bench {
        let mut bench = Bench {
            table: Table::new(DOMAINS[0]),
            rng: SmallRng::seed_from_u64(7),
            sequence: 0,
            // Replicas of the first update don't count as new any more.
            now: 2_000,
        };
        let update = Update {
            full: true,
            backends: domains
                .iter()
                .enumerate()
                .map(|(i, d)| backend(i, d))
                .collect(),
            replicas: (0..domains.len())
                .map(|i| replica(i, "lime", &[]))
                .collect(),
            ..Update::default()
        };
        assert!(bench.table.apply(0, &update));
        bench
    }

    fn update(&mut self, update: Update) {
        self.sequence += 1;
        let update = Update {
            sequence: self.sequence,
            ..update
        };
        assert!(self.table.apply(self.now, &update));
    }

    fn choose(&mut self, want: &Want) -> Option<Choice> {
        self.table.choose(self.now, want, &mut self.rng)
    }

    /// How often each engine is chosen in many choices that don't change the load.
    fn shares(&mut self, want: &Want) -> BTreeMap<Name, u32> {
        let mut shares = BTreeMap::new();
        for _ in 0..1_000 {
            if let Some(choice) = self.choose(want) {
                *shares.entry(choice.server).or_default() += 1;
            }
        }
        shares
    }

    fn report(&mut self, index: usize, sequence: u64, running: u32, cache: Vec<CacheEvent>) {
        let report = Report {
            id: format!("e{index}").into(),
            incarnation: 1,
            sequence,
            age_ms: 0,
            running,
            queued: 0,
            kv_used: 0.0,
            cache,
        };
        self.table.report(self.now, &report);
    }
}

fn names(shares: &BTreeMap<Name, u32>) -> Vec<&str> {
    shares.keys().map(|name| &**name).collect()
}

#[test]
fn only_those_that_take_work_are_chosen() {
    type Change = fn(&mut Bench);
    let cases: [(&str, Change); 7] = [
        ("draining", |b| {
            let phase = Phase::Draining;
            b.update(Update {
                replicas: vec![Replica {
                    phase,
                    ..replica(0, "lime", &[])
                }],
                ..Update::default()
            });
        }),
        ("loading", |b| {
            let phase = Phase::Loading;
            b.update(Update {
                replicas: vec![Replica {
                    phase,
                    ..replica(0, "lime", &[])
                }],
                ..Update::default()
            });
        }),
        ("replica gone", |b| {
            b.update(Update {
                replicas_gone: vec![replica(0, "lime", &[]).id],
                ..Update::default()
            });
        }),
        ("leaving", |b| {
            let state = State::Leaving;
            b.update(Update {
                backends: vec![Backend {
                    state,
                    ..backend(0, "salt")
                }],
                ..Update::default()
            });
        }),
        ("leaving, told here, then an old update", |b| {
            b.table.leaving("e0", 1);
            b.update(Update {
                backends: vec![backend(0, "salt")],
                ..Update::default()
            });
        }),
        ("engine gone", |b| {
            b.update(Update {
                backends_gone: vec!["e0".into()],
                ..Update::default()
            });
        }),
        ("suspected", |b| {
            b.table.started(b.now, "e0", 0);
            b.table.ended(b.now, "e0", "lime", Ending::Failed);
        }),
    ];
    for (name, change) in cases {
        let mut bench = Bench::new(&["salt", "salt"]);
        assert_eq!(
            names(&bench.shares(&Want::model("lime"))),
            ["e0", "e1"],
            "{name}"
        );
        change(&mut bench);
        assert_eq!(names(&bench.shares(&Want::model("lime"))), ["e1"], "{name}");
    }
}

#[test]
fn a_suspicion_ends_and_the_server_returns_by_and_by() {
    let mut bench = Bench::new(&["salt", "salt"]);
    bench.table.started(bench.now, "e0", 0);
    bench.table.ended(bench.now, "e0", "lime", Ending::Failed);
    let began = bench.now;
    let mut last = 0;
    for (after_ms, shares) in [(100, 0..=0), (300, 0..=100), (8_000, 400..=600)] {
        bench.now = began + after_ms;
        let share = bench
            .shares(&Want::model("lime"))
            .get("e0")
            .copied()
            .unwrap_or(0);
        assert!(shares.contains(&share), "after {after_ms} ms: {share}");
        assert!(share >= last);
        last = share;
    }
}

#[test]
fn a_new_incarnation_is_not_suspected() {
    let mut bench = Bench::new(&["salt"]);
    bench.table.started(bench.now, "e0", 0);
    bench.table.ended(bench.now, "e0", "lime", Ending::Failed);
    assert_eq!(bench.choose(&Want::model("lime")), None);
    let restarted = Backend {
        incarnation: 2,
        ..backend(0, "salt")
    };
    bench.update(Update {
        backends: vec![restarted],
        ..Update::default()
    });
    assert_eq!(bench.choose(&Want::model("lime")).unwrap().incarnation, 2);
}

#[test]
fn a_slow_server_is_eased_off() {
    let mut bench = Bench::new(&["salt", "salt", "salt"]);
    for _ in 0..50 {
        for (server, ms) in [("e0", 1_000), ("e1", 100), ("e2", 100)] {
            bench.table.started(bench.now, server, 0);
            bench
                .table
                .ended(bench.now, server, "lime", Ending::Answered { ms });
        }
    }
    let shares = bench.shares(&Want::model("lime"));
    let slow = shares.get("e0").copied().unwrap_or(0);
    assert!(slow < 200, "{shares:?}");
    // Without new samples it gets its chance again.
    bench.now += 120_000;
    assert!(bench.shares(&Want::model("lime"))["e0"] > 200);
}

#[test]
fn replicas_with_the_adapter_come_first_then_any_of_the_base() {
    let mut bench = Bench::new(&["salt", "salt", "salt"]);
    let want = Want::model("lime").adapter(Some("arch".into()));
    let base = bench.choose(&want).unwrap();
    assert!(!base.holds_adapter);
    bench.update(Update {
        replicas: vec![replica(2, "lime", &["arch", "dome"])],
        ..Update::default()
    });
    assert_eq!(names(&bench.shares(&want)), ["e2"]);
    assert!(bench.choose(&want).unwrap().holds_adapter);
    bench.update(Update {
        replicas: vec![replica(2, "lime", &["dome"])],
        ..Update::default()
    });
    assert!(!bench.choose(&want).unwrap().holds_adapter);
    assert_eq!(bench.choose(&Want::model("marl")), None);
}

#[test]
fn versions_are_kept_apart() {
    let mut bench = Bench::new(&["salt", "salt"]);
    let mut newer = replica(1, "lime", &[]);
    newer.id.version = "2".into();
    bench.update(Update {
        replicas: vec![newer],
        ..Update::default()
    });
    let shares = bench.shares(&Want::model("lime").version(Some("2".into())));
    assert_eq!(names(&shares), ["e1"]);
    assert_eq!(
        bench.choose(&Want::model("lime").version(Some("3".into()))),
        None
    );
}

#[test]
fn the_own_domain_is_preferred_within_a_slack() {
    let mut bench = Bench::new(&DOMAINS);
    assert_eq!(names(&bench.shares(&Want::model("lime"))), ["e0"]);
    bench.report(0, 1, 30, vec![]);
    let shares = bench.shares(&Want::model("lime"));
    assert_eq!(names(&shares), ["e1", "e2"]);
}

#[test]
fn load_is_the_last_report_aged_and_own_dispatches_since() {
    let mut bench = Bench::new(&["salt", "salt"]);
    let want = Want::model("lime").load_limit(4).sharers(4);
    for index in 0..2 {
        bench.report(index, 2, 3, vec![]);
        // Older and foreign reports change nothing.
        bench.report(index, 1, 100, vec![]);
    }
    for _ in 0..2 {
        let choice = bench.choose(&want).unwrap();
        bench.table.started(bench.now, &choice.server, 0);
    }
    assert_eq!(
        bench.choose(&want),
        None,
        "both have 3 reported and 1 of our own"
    );
    bench.now += 10_000;
    assert!(
        bench.choose(&want).is_some(),
        "old reports lose their meaning"
    );
}

#[test]
fn loads_in_updates_count_and_leave_each_router_its_share() {
    let mut bench = Bench::new(&["salt"]);
    let want = Want::model("lime").load_limit(16).sharers(4);
    let loads = vec![(
        "e0".into(),
        Load {
            running: 16,
            queued: 30,
        },
    )];
    bench.update(Update {
        loads,
        ..Update::default()
    });
    let mut started = 0;
    while bench.choose(&want).is_some() {
        bench.table.started(bench.now, "e0", 0);
        started += 1;
    }
    assert_eq!(started, 4, "its share, though the load is over the limit");
    // It is not sent again while it doesn't change, and so must not be forgotten soon.
    bench.now += 5_000;
    assert_eq!(bench.choose(&want), None);
}

#[test]
fn a_new_replica_is_shared_until_its_load_is_known() {
    let mut bench = Bench::new(&["salt"]);
    let want = Want::model("cold").load_limit(16).sharers(3);
    let fill = |bench: &mut Bench| {
        let mut started = 0;
        while let Some(choice) = bench.choose(&want) {
            bench.table.started(bench.now, &choice.server, 0);
            started += 1;
        }
        started
    };
    bench.update(Update {
        replicas: vec![replica(0, "cold", &[])],
        ..Update::default()
    });
    assert_eq!(fill(&mut bench), 6);
    bench.now += 10;
    bench.report(0, 1, 6, vec![]);
    assert_eq!(fill(&mut bench), 10);
}

#[test]
fn cached_prefixes_attract_until_gaps_and_load_outweigh_them() {
    const PREFIX: u64 = 42;
    let event = |sequence, prefix, added| CacheEvent {
        sequence,
        prefix,
        model: "lime".into(),
        added,
    };
    let want = Want::model("lime").prefix(PREFIX);
    let filled = |events: Vec<CacheEvent>| {
        let mut bench = Bench::new(&["salt", "salt", "salt"]);
        bench.report(1, 1, 0, events);
        bench
    };
    let mut known = filled(vec![event(1, PREFIX, true)]);
    assert_eq!(names(&known.shares(&want)), ["e1"]);
    known.report(1, 2, 2, vec![]);
    assert_eq!(names(&known.shares(&want)), ["e1"], "a little busier");
    known.report(1, 3, 20, vec![]);
    assert!(!known.shares(&want).contains_key("e1"), "much busier");
    let mut evicted = filled(vec![event(1, PREFIX, true), event(2, PREFIX, false)]);
    assert_eq!(evicted.shares(&want).len(), 3);
    let mut late = filled(vec![event(5, PREFIX, false), event(4, PREFIX, true)]);
    assert_eq!(
        late.shares(&want).len(),
        3,
        "an event that comes late is no news"
    );
    let mut gappy = filled(
        [1, 3, 5, 7, 9]
            .map(|s| event(s, if s == 1 { PREFIX } else { s }, true))
            .to_vec(),
    );
    assert_eq!(
        gappy.shares(&want).len(),
        3,
        "after many gaps the hint is worth nothing"
    );
    let mut aged = filled(vec![event(1, PREFIX, true)]);
    aged.now += 600_000;
    assert_eq!(aged.shares(&want).len(), 3, "an old hint is worth nothing");
}

#[test]
fn tried_servers_are_passed_over_while_there_are_others() {
    let mut bench = Bench::new(&["salt", "amman-east"]);
    let want = Want::model("lime").avoid(vec!["e0".into()]);
    assert_eq!(names(&bench.shares(&want)), ["e1"]);
    bench.table.leaving("e1", 1);
    assert_eq!(names(&bench.shares(&want)), ["e0"]);
}

#[test]
fn a_denied_replica_is_passed_over_for_a_while() {
    let mut bench = Bench::new(&["salt"]);
    bench.table.started(bench.now, "e0", 0);
    bench.table.ended(bench.now, "e0", "lime", Ending::Denied);
    assert_eq!(bench.choose(&Want::model("lime")), None);
    bench.now += 1_000;
    assert!(bench.choose(&Want::model("lime")).is_some());
}

#[test]
fn plain_services_are_chosen_too() {
    let mut bench = Bench::new(&["salt"]);
    let service = Backend {
        kind: Kind::Service,
        ..backend(5, "salt")
    };
    bench.update(Update {
        backends: vec![service],
        ..Update::default()
    });
    let want = Want::service("drafting");
    assert_eq!(&*bench.choose(&want).unwrap().server, "e5");
    assert!(bench.table.serves("drafting") && !bench.table.serves("orders"));
}

#[test]
fn a_gap_in_the_updates_shows() {
    let mut table = Table::new("salt");
    let update = |sequence, full| Update {
        sequence,
        full,
        ..Update::default()
    };
    assert!(table.apply(0, &update(4, true)));
    assert!(!table.apply(0, &update(6, false)));
    assert!(table.apply(0, &update(5, false)));
}

/// Any order of replica changes: choices agree with a plain list of what was told.
#[test]
fn the_adapter_index_agrees_with_the_replicas() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|operations| {
            let mut bench = Bench::new(&["salt"; 4]);
            let mut held: BTreeMap<usize, BTreeSet<&str>> =
                (0..4).map(|i| (i, BTreeSet::new())).collect();
            for (engine, adapters, remove) in operations {
                let engine = usize::from(engine % 4);
                let adapters: Vec<&str> = ["a", "b", "c"]
                    .into_iter()
                    .enumerate()
                    .filter(|(bit, _)| adapters & (1 << bit) != 0)
                    .map(|(_, adapter)| adapter)
                    .collect();
                let replica = replica(engine, "lime", &adapters);
                if *remove {
                    held.remove(&engine);
                    bench.update(Update {
                        replicas_gone: vec![replica.id],
                        ..Update::default()
                    });
                } else {
                    held.insert(engine, adapters.into_iter().collect());
                    bench.update(Update {
                        replicas: vec![replica],
                        ..Update::default()
                    });
                }
            }
            for adapter in ["a", "b", "c"] {
                let holders: Vec<String> = held
                    .iter()
                    .filter(|(_, adapters)| adapters.contains(adapter))
                    .map(|(engine, _)| format!("e{engine}"))
                    .collect();
                let want = Want::model("lime").adapter(Some(adapter.into()));
                let choice = bench.choose(&want);
                assert_eq!(choice.is_some(), !held.is_empty());
                let holds = choice.is_some_and(|c| c.holds_adapter);
                assert_eq!(holds, !holders.is_empty());
                if holds {
                    assert!(
                        names(&bench.shares(&want))
                            .iter()
                            .all(|n| holders.contains(&(*n).to_owned()))
                    );
                }
            }
        });
}

fn instances(count: usize) -> Vec<Instance> {
    (0..count)
        .map(|i| Instance {
            id: format!("r{i}").into(),
            address: format!("10.0.1.{i}:80").into(),
            failure_domain: DOMAINS[i % 3].into(),
            state: State::Ready,
        })
        .collect()
}

#[test]
fn a_model_is_steered_to_the_same_few_instances() {
    let all = instances(10);
    let first = |model: &str, domain: &str, all: &[Instance]| {
        let ranked = rank(model, domain, all);
        ranked[..3]
            .iter()
            .map(|i| i.id.clone())
            .collect::<BTreeSet<Name>>()
    };
    let mut homes: BTreeMap<Name, u32> = BTreeMap::new();
    let mut moved = 0;
    for model in 0..300 {
        let model = format!("m{model}");
        let home = first(&model, "salt", &all);
        assert_eq!(
            home,
            first(&model, "amman-west", &all),
            "the domain only orders"
        );
        moved += u32::from(home != first(&model, "salt", &all[..9]));
        for id in home {
            *homes.entry(id).or_default() += 1;
        }
        let ranked = rank(&model, "salt", &all);
        assert_eq!(ranked.len(), 10);
        let near: Vec<bool> = ranked[..3]
            .iter()
            .map(|i| &*i.failure_domain == "salt")
            .collect();
        assert!(
            near.is_sorted_by(|a, b| a >= b),
            "near ones first: {near:?}"
        );
    }
    // 90 each on average; 3 in 10 have the tenth among their few.
    assert!(homes.values().all(|n| (50..=130).contains(n)), "{homes:?}");
    assert!((50..=130).contains(&moved), "{moved}");
}

#[test]
fn a_leaving_instance_is_in_no_answer() {
    let mut all = instances(3);
    all[1].state = State::Leaving;
    let ranked = rank("lime", "salt", &all);
    assert!(ranked.iter().all(|i| &*i.id != "r1"));
    assert_eq!(ranked.len(), 2);
}
