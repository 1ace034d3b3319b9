//! Server selection: which servers are eligible, which are preferred, and the effect of late or
//! missing reports.

use lovageplank_core::backend::{CacheEvent, Kind, ServerReport, State};
use lovageplank_core::prelude::*;
use lovageplank_core::route::{Requirements, Selection, ServerOutcome, Table, rank};
use lovageplank_core::view::{Backend, Instance, Phase, Replica, ReplicaId, ServerLoad, Update};
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

/// A table of a router in the first failure domain, with one replica of `lime` on each engine.
struct Fixture {
    table: Table,
    rng: SmallRng,
    sequence: u64,
    now: Millis,
}

impl Fixture {
    fn new(domains: &[&str]) -> Fixture {
        let mut fixture = Fixture {
            table: Table::new(DOMAINS[0]),
            rng: SmallRng::seed_from_u64(7),
            sequence: 0,
            // Late enough that replicas of the first update no longer count as new.
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
        assert!(fixture.table.apply(0, &update));
        fixture
    }

    fn update(&mut self, update: Update) {
        self.sequence += 1;
        let update = Update {
            sequence: self.sequence,
            ..update
        };
        assert!(self.table.apply(self.now, &update));
    }

    fn select(&mut self, requirements: &Requirements) -> Option<Selection> {
        self.table.select(self.now, requirements, &mut self.rng)
    }

    /// How often each engine is selected in 1,000 selections without a dispatch.
    fn shares(&mut self, requirements: &Requirements) -> BTreeMap<Name, u32> {
        let mut shares = BTreeMap::new();
        for _ in 0..1_000 {
            if let Some(selection) = self.select(requirements) {
                *shares.entry(selection.server).or_default() += 1;
            }
        }
        shares
    }

    fn report(&mut self, index: usize, sequence: u64, running: u32, cache: Vec<CacheEvent>) {
        let report = ServerReport {
            id: format!("e{index}").into(),
            incarnation: 1,
            sequence,
            age_ms: 0,
            running,
            queued: 0,
            kv_used: 0.0,
            cache,
        };
        self.table.apply_report(self.now, &report);
    }
}

fn names(shares: &BTreeMap<Name, u32>) -> Vec<&str> {
    shares.keys().map(|name| &**name).collect()
}

#[test]
fn only_ready_replicas_on_ready_servers_are_selected() {
    type Change = fn(&mut Fixture);
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
        ("replica removed", |b| {
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
        (
            "leaving, reported to the router, then an outdated update",
            |b| {
                b.table.mark_leaving("e0", 1);
                b.update(Update {
                    backends: vec![backend(0, "salt")],
                    ..Update::default()
                });
            },
        ),
        ("engine removed", |b| {
            b.update(Update {
                backends_gone: vec!["e0".into()],
                ..Update::default()
            });
        }),
        ("suspected", |b| {
            b.table.attempt_started(b.now, "e0", 0);
            b.table
                .attempt_ended(b.now, "e0", "lime", ServerOutcome::Failed);
        }),
    ];
    for (name, change) in cases {
        let mut fixture = Fixture::new(&["salt", "salt"]);
        assert_eq!(
            names(&fixture.shares(&Requirements::model("lime"))),
            ["e0", "e1"],
            "{name}"
        );
        change(&mut fixture);
        assert_eq!(
            names(&fixture.shares(&Requirements::model("lime"))),
            ["e1"],
            "{name}"
        );
    }
}

#[test]
fn a_suspected_server_recovers_gradually() {
    let mut fixture = Fixture::new(&["salt", "salt"]);
    fixture.table.attempt_started(fixture.now, "e0", 0);
    fixture
        .table
        .attempt_ended(fixture.now, "e0", "lime", ServerOutcome::Failed);
    let failed_at = fixture.now;
    let mut last = 0;
    for (after_ms, shares) in [(100, 0..=0), (300, 0..=100), (8_000, 400..=600)] {
        fixture.now = failed_at + after_ms;
        let share = fixture
            .shares(&Requirements::model("lime"))
            .get("e0")
            .copied()
            .unwrap_or(0);
        assert!(
            shares.contains(&share),
            "{after_ms} ms after the failure: share {share}, expected {shares:?}"
        );
        assert!(
            share >= last,
            "share {share} after {after_ms} ms is under the earlier {last}"
        );
        last = share;
    }
}

#[test]
fn a_new_incarnation_clears_suspicion() {
    let mut fixture = Fixture::new(&["salt"]);
    fixture.table.attempt_started(fixture.now, "e0", 0);
    fixture
        .table
        .attempt_ended(fixture.now, "e0", "lime", ServerOutcome::Failed);
    assert_eq!(fixture.select(&Requirements::model("lime")), None);
    let restarted = Backend {
        incarnation: 2,
        ..backend(0, "salt")
    };
    fixture.update(Update {
        backends: vec![restarted],
        ..Update::default()
    });
    assert_eq!(
        fixture
            .select(&Requirements::model("lime"))
            .unwrap()
            .incarnation,
        2
    );
}

#[test]
fn a_slow_server_is_selected_less_often() {
    let mut fixture = Fixture::new(&["salt", "salt", "salt"]);
    for _ in 0..50 {
        for (server, ms) in [("e0", 1_000), ("e1", 100), ("e2", 100)] {
            fixture.table.attempt_started(fixture.now, server, 0);
            fixture.table.attempt_ended(
                fixture.now,
                server,
                "lime",
                ServerOutcome::Answered { ms },
            );
        }
    }
    let shares = fixture.shares(&Requirements::model("lime"));
    let slow_share = shares.get("e0").copied().unwrap_or(0);
    assert!(slow_share < 200, "{shares:?}");
    // Without new samples the slowness decays, and the server is selected again.
    fixture.now += 120_000;
    assert!(fixture.shares(&Requirements::model("lime"))["e0"] > 200);
}

#[test]
fn replicas_with_the_adapter_are_preferred_over_the_base_model() {
    let mut fixture = Fixture::new(&["salt", "salt", "salt"]);
    let requirements = Requirements::model("lime").adapter(Some("arch".into()));
    let without_adapter = fixture.select(&requirements).unwrap();
    assert!(!without_adapter.adapter_loaded);
    fixture.update(Update {
        replicas: vec![replica(2, "lime", &["arch", "dome"])],
        ..Update::default()
    });
    assert_eq!(names(&fixture.shares(&requirements)), ["e2"]);
    assert!(fixture.select(&requirements).unwrap().adapter_loaded);
    fixture.update(Update {
        replicas: vec![replica(2, "lime", &["dome"])],
        ..Update::default()
    });
    assert!(!fixture.select(&requirements).unwrap().adapter_loaded);
    assert_eq!(fixture.select(&Requirements::model("marl")), None);
}

#[test]
fn a_requested_version_limits_the_selection() {
    let mut fixture = Fixture::new(&["salt", "salt"]);
    let mut newer = replica(1, "lime", &[]);
    newer.id.version = "2".into();
    fixture.update(Update {
        replicas: vec![newer],
        ..Update::default()
    });
    let shares = fixture.shares(&Requirements::model("lime").version(Some("2".into())));
    assert_eq!(names(&shares), ["e1"]);
    assert_eq!(
        fixture.select(&Requirements::model("lime").version(Some("3".into()))),
        None
    );
}

#[test]
fn own_failure_domain_is_preferred_until_it_is_much_busier() {
    let mut fixture = Fixture::new(&DOMAINS);
    assert_eq!(names(&fixture.shares(&Requirements::model("lime"))), ["e0"]);
    fixture.report(0, 1, 30, vec![]);
    let shares = fixture.shares(&Requirements::model("lime"));
    assert_eq!(names(&shares), ["e1", "e2"]);
}

#[test]
fn load_is_the_decayed_report_plus_own_dispatches() {
    let mut fixture = Fixture::new(&["salt", "salt"]);
    let requirements = Requirements::model("lime").load_limit(4).routers(4);
    for index in 0..2 {
        fixture.report(index, 2, 3, vec![]);
        // An older report changes nothing.
        fixture.report(index, 1, 100, vec![]);
    }
    for _ in 0..2 {
        let selection = fixture.select(&requirements).unwrap();
        fixture
            .table
            .attempt_started(fixture.now, &selection.server, 0);
    }
    assert_eq!(
        fixture.select(&requirements),
        None,
        "each server has a reported load of 3 and 1 own request, the limit of 4"
    );
    fixture.now += 10_000;
    assert!(
        fixture.select(&requirements).is_some(),
        "an old report counts for less"
    );
}

#[test]
fn update_loads_limit_a_router_to_its_share() {
    let mut fixture = Fixture::new(&["salt"]);
    let requirements = Requirements::model("lime").load_limit(16).routers(4);
    let loads = vec![(
        "e0".into(),
        ServerLoad {
            running: 16,
            queued: 30,
        },
    )];
    fixture.update(Update {
        loads,
        ..Update::default()
    });
    let mut started = 0;
    while fixture.select(&requirements).is_some() {
        fixture.table.attempt_started(fixture.now, "e0", 0);
        started += 1;
    }
    assert_eq!(
        started, 4,
        "the router gets its share though the load is over the limit"
    );
    // An unchanged load is not sent again, so it must not decay quickly.
    fixture.now += 5_000;
    assert_eq!(fixture.select(&requirements), None);
}

#[test]
fn a_new_replica_is_limited_to_the_router_share_until_reported() {
    let mut fixture = Fixture::new(&["salt"]);
    let requirements = Requirements::model("cold").load_limit(16).routers(3);
    let dispatch_until_refused = |fixture: &mut Fixture| {
        let mut started = 0;
        while let Some(selection) = fixture.select(&requirements) {
            fixture
                .table
                .attempt_started(fixture.now, &selection.server, 0);
            started += 1;
        }
        started
    };
    fixture.update(Update {
        replicas: vec![replica(0, "cold", &[])],
        ..Update::default()
    });
    assert_eq!(dispatch_until_refused(&mut fixture), 6);
    fixture.now += 10;
    fixture.report(0, 1, 6, vec![]);
    assert_eq!(dispatch_until_refused(&mut fixture), 10);
}

#[test]
fn a_cached_prefix_is_preferred_until_gaps_age_or_load_outweigh_it() {
    const PREFIX: u64 = 42;
    let event = |sequence, prefix, added| CacheEvent {
        sequence,
        prefix,
        model: "lime".into(),
        added,
    };
    let requirements = Requirements::model("lime").prefix(PREFIX);
    let with_events = |events: Vec<CacheEvent>| {
        let mut fixture = Fixture::new(&["salt", "salt", "salt"]);
        fixture.report(1, 1, 0, events);
        fixture
    };
    let mut known = with_events(vec![event(1, PREFIX, true)]);
    assert_eq!(names(&known.shares(&requirements)), ["e1"]);
    known.report(1, 2, 2, vec![]);
    assert_eq!(
        names(&known.shares(&requirements)),
        ["e1"],
        "a server that is a little busier is still preferred"
    );
    known.report(1, 3, 20, vec![]);
    assert!(
        !known.shares(&requirements).contains_key("e1"),
        "a server that is much busier is not preferred"
    );
    let mut evicted = with_events(vec![event(1, PREFIX, true), event(2, PREFIX, false)]);
    assert_eq!(evicted.shares(&requirements).len(), 3);
    let mut late = with_events(vec![event(5, PREFIX, false), event(4, PREFIX, true)]);
    assert_eq!(
        late.shares(&requirements).len(),
        3,
        "an event older than the last is ignored"
    );
    let mut gappy = with_events(
        [1, 3, 5, 7, 9]
            .map(|s| event(s, if s == 1 { PREFIX } else { s }, true))
            .to_vec(),
    );
    assert_eq!(
        gappy.shares(&requirements).len(),
        3,
        "after many gaps the hint is ignored"
    );
    let mut aged = with_events(vec![event(1, PREFIX, true)]);
    aged.now += 600_000;
    assert_eq!(
        aged.shares(&requirements).len(),
        3,
        "an old hint is ignored"
    );
}

#[test]
fn avoided_servers_are_selected_only_as_a_last_resort() {
    let mut fixture = Fixture::new(&["salt", "amman-east"]);
    let requirements = Requirements::model("lime").avoid(vec!["e0".into()]);
    assert_eq!(names(&fixture.shares(&requirements)), ["e1"]);
    fixture.table.mark_leaving("e1", 1);
    assert_eq!(names(&fixture.shares(&requirements)), ["e0"]);
}

#[test]
fn a_denied_replica_is_skipped_temporarily() {
    let mut fixture = Fixture::new(&["salt"]);
    fixture.table.attempt_started(fixture.now, "e0", 0);
    fixture
        .table
        .attempt_ended(fixture.now, "e0", "lime", ServerOutcome::Denied);
    assert_eq!(fixture.select(&Requirements::model("lime")), None);
    fixture.now += 1_000;
    assert!(fixture.select(&Requirements::model("lime")).is_some());
}

#[test]
fn plain_service_servers_are_selected() {
    let mut fixture = Fixture::new(&["salt"]);
    let service = Backend {
        kind: Kind::Service,
        ..backend(5, "salt")
    };
    fixture.update(Update {
        backends: vec![service],
        ..Update::default()
    });
    let requirements = Requirements::service("drafting");
    assert_eq!(&*fixture.select(&requirements).unwrap().server, "e5");
    assert!(
        fixture.table.has_ready_server("drafting") && !fixture.table.has_ready_server("orders")
    );
}

#[test]
fn an_update_after_a_gap_is_rejected() {
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

/// After any sequence of replica changes, selections by adapter match a plain list of the replicas.
#[test]
fn the_adapter_index_matches_the_replicas() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|operations| {
            let mut fixture = Fixture::new(&["salt"; 4]);
            let mut adapters_by_engine: BTreeMap<usize, BTreeSet<&str>> =
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
                    adapters_by_engine.remove(&engine);
                    fixture.update(Update {
                        replicas_gone: vec![replica.id],
                        ..Update::default()
                    });
                } else {
                    adapters_by_engine.insert(engine, adapters.into_iter().collect());
                    fixture.update(Update {
                        replicas: vec![replica],
                        ..Update::default()
                    });
                }
            }
            for adapter in ["a", "b", "c"] {
                let with_adapter: Vec<String> = adapters_by_engine
                    .iter()
                    .filter(|(_, adapters)| adapters.contains(adapter))
                    .map(|(engine, _)| format!("e{engine}"))
                    .collect();
                let requirements = Requirements::model("lime").adapter(Some(adapter.into()));
                let selection = fixture.select(&requirements);
                assert_eq!(selection.is_some(), !adapters_by_engine.is_empty());
                let adapter_loaded = selection.is_some_and(|c| c.adapter_loaded);
                assert_eq!(adapter_loaded, !with_adapter.is_empty());
                if adapter_loaded {
                    assert!(
                        names(&fixture.shares(&requirements))
                            .iter()
                            .all(|n| with_adapter.contains(&(*n).to_owned()))
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
fn a_model_ranks_the_same_instances_first() {
    let all = instances(10);
    let first = |model: &str, domain: &str, all: &[Instance]| {
        let ranked = rank(model, domain, all);
        ranked[..3]
            .iter()
            .map(|i| i.id.clone())
            .collect::<BTreeSet<Name>>()
    };
    let mut models_per_instance: BTreeMap<Name, u32> = BTreeMap::new();
    let mut moved = 0;
    for model in 0..300 {
        let model = format!("m{model}");
        let preferred = first(&model, "salt", &all);
        assert_eq!(
            preferred,
            first(&model, "amman-west", &all),
            "the domain changes only the order of the preferred instances"
        );
        moved += u32::from(preferred != first(&model, "salt", &all[..9]));
        for id in preferred {
            *models_per_instance.entry(id).or_default() += 1;
        }
        let ranked = rank(&model, "salt", &all);
        assert_eq!(ranked.len(), 10);
        let in_domain: Vec<bool> = ranked[..3]
            .iter()
            .map(|i| &*i.failure_domain == "salt")
            .collect();
        assert!(
            in_domain.is_sorted_by(|a, b| a >= b),
            "instances of the domain come first: {in_domain:?}"
        );
    }
    // 300 models prefer 3 of 10 instances: 90 models per instance on average, also for the tenth,
    // whose models change their preferred instances when it is removed.
    assert!(
        models_per_instance.values().all(|n| (50..=130).contains(n)),
        "models per instance, expected 50 to 130: {models_per_instance:?}"
    );
    assert!(
        (50..=130).contains(&moved),
        "{moved} models changed their preferred instances, expected 50 to 130"
    );
}

#[test]
fn leaving_instances_are_not_ranked() {
    let mut all = instances(3);
    all[1].state = State::Leaving;
    let ranked = rank("lime", "salt", &all);
    assert!(ranked.iter().all(|i| &*i.id != "r1"));
    assert_eq!(ranked.len(), 2);
}
