//! Decisions of the planner for small fleets.

use lovageplank_core::demand::{DemandReport, ModelDemand};
use lovageplank_core::load::Source;
use lovageplank_core::placement::{Action, Config, Engine, Planner, Replica};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Tree;
use lovageplank_core::view::Phase;

/// Models `m0` to `m9` of 30 000 MB each, with the given service settings.
fn tree(settings: &str) -> Tree {
    let models: Vec<String> = (0..10)
        .map(|i| {
            format!(r#""m{i}": {{"version": "1", "memory_mb": 30000, "adapters": {{"a": {{}}}}}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"services": {{"drafting": {{"kind": "engine", "settings": {settings},
            "models": {{{}}}}}}}}}"#,
        models.join(",")
    );
    Tree::parse(&text).unwrap()
}

/// An engine of 80 000 MB; two models fit.
fn engine(id: &str, domain: &str) -> Engine {
    let mut engine = Engine::new(id, domain, 80_000);
    engine.services.insert("drafting".into());
    engine
}

fn with(mut engine: Engine, model: &str, phase: Phase, running: u32) -> Engine {
    engine.free_mb -= 30_000;
    engine.replicas.push(Replica {
        model: model.into(),
        version: "1".into(),
        phase,
        memory_mb: 30_000,
        running,
        adapters: BTreeSet::new(),
        unresolved: false,
    });
    engine
}

fn waiting(model: &str, waiting: u32, deadline_in_ms: u64) -> ModelDemand {
    ModelDemand {
        waiting,
        arrivals: waiting,
        deadline_in_ms: Some(deadline_in_ms),
        ..ModelDemand::new(model)
    }
}

fn observe(planner: &mut Planner, now: Millis, router: &str, models: Vec<ModelDemand>) {
    planner.observe_demand(now, router, &DemandReport { models });
}

fn loads(actions: &[Action]) -> Vec<(String, String)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Load { model, engine, .. } => Some((model.to_string(), engine.to_string())),
            _ => None,
        })
        .collect()
}

fn drains(actions: &[Action]) -> Vec<String> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Drain { replica } => Some(replica.model.to_string()),
            _ => None,
        })
        .collect()
}

fn planner() -> Planner {
    Planner::new(Config::new().seed(1).load_ahead(false))
}

#[test]
fn a_burst_at_100_routers_causes_one_load() {
    let tree = tree(r#"{"max_replicas": 5, "batch_size": 400}"#);
    let engines = [engine("e1", "x"), engine("e2", "y")];
    let mut planner = planner();
    let mut decided = Vec::new();
    for step in 0..100 {
        let now = step * 10;
        observe(
            &mut planner,
            now,
            &format!("r{step}"),
            vec![waiting("m0", 3, 30_000)],
        );
        decided.extend(loads(&planner.decide(now, &tree, &engines)));
    }
    assert_eq!(decided.len(), 1);
}

#[test]
fn demand_beyond_one_batch_adds_replicas_in_distinct_domains_up_to_the_limit() {
    let cases = [(16, 1), (17, 2), (40, 3), (400, 3)];
    for (requests, replicas) in cases {
        let tree = tree(r#"{"max_replicas": 3, "batch_size": 16}"#);
        let engines = [
            engine("e1", "x"),
            engine("e2", "x"),
            engine("e3", "y"),
            engine("e4", "z"),
        ];
        let mut planner = planner();
        observe(&mut planner, 0, "r", vec![waiting("m0", requests, 60_000)]);
        let mut domains = BTreeSet::new();
        let mut decided = 0;
        for step in 0..20 {
            for (_, id) in loads(&planner.decide(step * 100, &tree, &engines)) {
                let engine = engines.iter().find(|e| *e.id == *id).unwrap();
                domains.insert(engine.failure_domain.clone());
                decided += 1;
            }
        }
        assert_eq!(decided, replicas, "{requests} requests");
        assert_eq!(domains.len(), replicas, "{requests} requests");
    }
}

#[test]
fn store_loads_start_by_deadline_within_the_store_limits() {
    let tree = tree(r#"{"load_ms": 4000}"#);
    let engines: Vec<Engine> = (0..6).map(|i| engine(&format!("e{i}"), "x")).collect();
    let mut planner = planner();
    let entries = (0..6)
        .map(|i| waiting(&format!("m{i}"), 1, 30_000 - 1_000 * i))
        .collect();
    observe(&mut planner, 0, "r", entries);
    let mut decided = Vec::new();
    for step in 0..20 {
        decided.extend(loads(&planner.decide(step * 100, &tree, &engines)));
    }
    let models: Vec<&str> = decided.iter().map(|(m, _)| m.as_str()).collect();
    assert_eq!(models, ["m5", "m4", "m3", "m2"]);
}

#[test]
fn a_load_whose_requests_are_gone_is_not_started() {
    let tree = tree(r#"{"store_concurrency": 1, "idle_weight": 1000}"#);
    let engines = [engine("e1", "x")];
    let mut planner = planner();
    observe(
        &mut planner,
        0,
        "r",
        vec![waiting("m0", 1, 9_000), waiting("m1", 1, 19_000)],
    );
    assert_eq!(loads(&planner.decide(0, &tree, &engines)).len(), 1);
    observe(&mut planner, 500, "r", vec![waiting("m0", 1, 8_500)]);
    let engines = [with(engine("e1", "x"), "m0", Phase::Ready, 1)];
    assert_eq!(loads(&planner.decide(500, &tree, &engines)), []);
}

#[test]
fn a_slow_store_increases_the_expected_ready_time() {
    let tree = tree(r#"{"load_ms": 4000}"#);
    let engines = [engine("e1", "x"), engine("e2", "x")];
    let mut planner = planner();
    let m9 = |planner: &Planner, now| {
        let expected = planner.expected(now, &tree, &engines);
        expected
            .iter()
            .find(|e| &*e.model == "m9")
            .unwrap()
            .ready_in_ms
    };
    planner.decide(0, &tree, &engines);
    assert_eq!(m9(&planner, 0), Some(4_000));
    for _ in 0..4 {
        planner.observe_load(0, &"m0".into(), &"e1".into(), Source::Store, 16_000, true);
    }
    assert!(m9(&planner, 0).unwrap() > 10_000);
    assert!(m9(&planner, 3_600_000).unwrap() < 5_500);
}

#[test]
fn a_model_that_no_engine_can_host_has_no_expected_ready_time() {
    let cases = [
        (r#"{"max_replicas": 0}"#, engine("e1", "x")),
        ("{}", Engine::new("e1", "x", 80_000)),
        (
            "{}",
            Engine {
                memory_mb: 20_000,
                ..engine("e1", "x")
            },
        ),
        (
            "{}",
            Engine {
                live: false,
                ..engine("e1", "x")
            },
        ),
    ];
    for (settings, engine) in cases {
        let tree = tree(settings);
        let mut planner = planner();
        observe(&mut planner, 0, "r", vec![waiting("m0", 1, 30_000)]);
        let engines = [engine];
        assert_eq!(planner.decide(0, &tree, &engines), []);
        let expected = planner.expected(0, &tree, &engines);
        assert!(expected.iter().all(|e| e.ready_in_ms.is_none()));
    }
}

#[test]
fn an_engine_with_cached_weights_is_preferred() {
    let cases = [("memory", "e2"), ("disk", "e2")];
    for (cache, chosen) in cases {
        let tree = tree("{}");
        let mut cached = engine("e2", "x");
        match cache {
            "memory" => cached.cached.memory.insert("m0".into()),
            _ => cached.cached.disk.insert("m0".into()),
        };
        let engines = [engine("e1", "x"), cached, engine("e3", "x")];
        let mut planner = planner();
        observe(&mut planner, 0, "r", vec![waiting("m0", 1, 30_000)]);
        let decided = loads(&planner.decide(0, &tree, &engines));
        assert_eq!(decided, [("m0".to_owned(), chosen.to_owned())]);
    }
}

#[test]
fn only_idle_replicas_are_evicted() {
    let full = |m0, m1| {
        let engine = with(engine("e1", "x"), "m0", Phase::Ready, m0);
        with(engine, "m1", Phase::Ready, m1)
    };
    let cases = [((0, 0), 1), ((1, 0), 1), ((0, 1), 1), ((1, 1), 0)];
    for ((m0, m1), drained) in cases {
        let tree = tree(r#"{"keep_alive_min_ms": 0, "idle_weight": 0}"#);
        let engines = [full(m0, m1)];
        let mut planner = planner();
        planner.decide(0, &tree, &engines);
        observe(&mut planner, 5_000, "r", vec![waiting("m2", 1, 30_000)]);
        let actions = planner.decide(5_000, &tree, &engines);
        assert_eq!(loads(&actions), []);
        let drained_models = drains(&actions);
        assert_eq!(
            drained_models.len(),
            drained,
            "running requests: m0 {m0}, m1 {m1}"
        );
        assert!(!drained_models.contains(&"m0".to_owned()) || m0 == 0);
        assert!(!drained_models.contains(&"m1".to_owned()) || m1 == 0);
    }
}

#[test]
fn the_replica_least_likely_to_be_used_is_evicted() {
    let tree =
        tree(r#"{"keep_alive_min_ms": 1000, "keep_alive_max_ms": 36000000, "idle_weight": 0}"#);
    let full = with(engine("e1", "x"), "m0", Phase::Ready, 0);
    let engines = [with(full, "m1", Phase::Ready, 0)];
    let mut planner = planner();
    for minute in 0..30 {
        observe(
            &mut planner,
            minute * 60_000,
            "r",
            vec![waiting("m1", 1, 100)],
        );
        planner.decide(minute * 60_000, &tree, &engines);
    }
    let now = 30 * 60_000;
    observe(&mut planner, now, "r", vec![waiting("m2", 1, 30_000)]);
    assert_eq!(drains(&planner.decide(now, &tree, &engines)), ["m0"]);
}

#[test]
fn keep_alive_limits_and_min_replicas_decide_drains() {
    // Settings, idle milliseconds, whether the replica is drained.
    let cases = [
        (
            r#"{"idle_weight": 1000, "keep_alive_min_ms": 20000}"#,
            19_000,
            false,
        ),
        (
            r#"{"idle_weight": 1000, "keep_alive_min_ms": 20000}"#,
            21_000,
            true,
        ),
        (
            r#"{"idle_weight": 0, "cold_start_weight": 9, "keep_alive_max_ms": 60000}"#,
            59_000,
            false,
        ),
        (
            r#"{"idle_weight": 0, "cold_start_weight": 9, "keep_alive_max_ms": 60000}"#,
            61_000,
            true,
        ),
        (
            r#"{"idle_weight": 1000, "min_replicas": 1, "keep_alive_max_ms": 60000}"#,
            61_000,
            false,
        ),
    ];
    for (settings, idle_ms, drained) in cases {
        let tree = tree(settings);
        let mut planner = planner();
        observe(&mut planner, 0, "r", vec![waiting("m0", 1, 100)]);
        let busy = [with(engine("e1", "x"), "m0", Phase::Ready, 1)];
        planner.decide(0, &tree, &busy);
        observe(&mut planner, 1, "r", vec![]);
        let idle = [with(engine("e1", "x"), "m0", Phase::Ready, 0)];
        let drained_models = drains(&planner.decide(idle_ms, &tree, &idle));
        assert_eq!(
            !drained_models.is_empty(),
            drained,
            "{settings} after {idle_ms} ms"
        );
    }
}

#[test]
fn adapter_loads_share_a_fixed_number_of_slots() {
    let models: Vec<String> = (0..8).map(|a| format!(r#""a{a}": {{}}"#)).collect();
    let text = format!(
        r#"{{"services": {{"s": {{"models": {{{}}}}}}}}}"#,
        (0..8)
            .map(|m| format!(
                r#""m{m}": {{"version": "1", "memory_mb": 10000, "adapters": {{{}}}}}"#,
                models.join(",")
            ))
            .collect::<Vec<_>>()
            .join(",")
    );
    let tree = Tree::parse(&text).unwrap();
    let mut engine = Engine::new("e1", "x", 240_000);
    engine.services.insert("s".into());
    for m in 0..8 {
        engine = with(engine, &format!("m{m}"), Phase::Ready, 0);
    }
    let mut planner = planner();
    let entry = |m| ModelDemand {
        running: 1,
        adapters: (0..8).map(|a| (format!("a{a}").into(), 1)).collect(),
        ..ModelDemand::new(format!("m{m}"))
    };
    observe(&mut planner, 0, "r", (0..8).map(entry).collect());
    let engines = [engine];
    let count = |actions: &[Action]| {
        let loads = |a: &&Action| matches!(a, Action::LoadAdapter { .. });
        actions.iter().filter(loads).count()
    };
    let first = planner.decide(0, &tree, &engines);
    assert_eq!(count(&first), 32);
    assert_eq!(count(&planner.decide(5, &tree, &engines)), 0);
    for action in first.iter().take(3) {
        if let Action::LoadAdapter { replica, adapter } = action {
            planner.observe_adapter(replica, adapter);
        }
    }
    assert_eq!(count(&planner.decide(10, &tree, &engines)), 3);
}

#[test]
fn a_failed_load_is_retried_on_another_engine() {
    let tree = tree("{}");
    let engines = [engine("e1", "x"), engine("e2", "y")];
    let mut planner = planner();
    observe(&mut planner, 0, "r", vec![waiting("m0", 1, 30_000)]);
    let first = loads(&planner.decide(0, &tree, &engines));
    let failed: Name = first[0].1.as_str().into();
    planner.observe_load(300, &"m0".into(), &failed, Source::Store, 300, false);
    let second = loads(&planner.decide(300, &tree, &engines));
    assert_eq!(second.len(), 1);
    assert_ne!(*second[0].1, *failed);
}

#[test]
fn a_new_version_loads_beside_the_old_one_only_below_the_replica_limit() {
    let cases = [(2, 1, 0), (1, 0, 1)];
    for (limit, loaded, drained) in cases {
        let mut tree = tree(&format!(r#"{{"max_replicas": {limit}}}"#));
        let model = tree.services.get_mut("drafting").unwrap();
        model.models.get_mut("m0").unwrap().version = "2".into();
        let engines = [
            with(engine("e1", "x"), "m0", Phase::Ready, 0),
            engine("e2", "x"),
        ];
        let mut planner = planner();
        observe(&mut planner, 0, "r", vec![waiting("m0", 1, 30_000)]);
        let actions = planner.decide(0, &tree, &engines);
        assert_eq!(loads(&actions).len(), loaded, "limit {limit}");
        assert_eq!(drains(&actions).len(), drained, "limit {limit}");
    }
}
