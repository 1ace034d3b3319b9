//! The planner over time: loads ahead of demand, usage, and invariants under random demand.

use lovageplank_core::demand::{DemandReport, ModelDemand};
use lovageplank_core::placement::{Action, Config, Engine, Meter, Planner, Replica};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Tree;
use lovageplank_core::view::Phase;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MODEL_MB: u64 = 30_000;

fn tree(models: usize, settings: &str) -> Tree {
    let models: Vec<String> = (0..models)
        .map(|i| format!(r#""m{i}": {{"version": "1", "memory_mb": {MODEL_MB}}}"#))
        .collect();
    let text = format!(
        r#"{{"settings": {settings},
            "services": {{"s": {{"models": {{{}}}}}}}}}"#,
        models.join(",")
    );
    Tree::parse(&text).unwrap()
}

fn engine(id: usize) -> Engine {
    let domain = ["x", "y", "z"][id % 3];
    let mut engine = Engine::new(format!("e{id}"), domain, 80_000);
    engine.services.insert("s".into());
    engine
}

fn replica(model: &Name, phase: Phase) -> Replica {
    Replica {
        model: model.clone(),
        version: "1".into(),
        phase,
        memory_mb: MODEL_MB,
        running: 0,
        adapters: BTreeSet::new(),
        unresolved: false,
    }
}

fn load_count(actions: &[Action]) -> usize {
    let loads = actions.iter().filter(|a| matches!(a, Action::Load { .. }));
    loads.count()
}

#[test]
fn cost_weights_decide_loads_ahead_of_demand() {
    // Settings, loads in five decisions without any request.
    let cases = [
        (r#"{"cold_start_weight": 0}"#, 0),
        (r#"{"cold_start_weight": 100, "idle_weight": 1000000}"#, 0),
        (r#"{"cold_start_weight": 100, "idle_weight": 0}"#, 2),
        (
            r#"{"cold_start_weight": 100, "idle_weight": 0, "max_replicas": 0}"#,
            0,
        ),
        (
            r#"{"cold_start_weight": 100, "idle_weight": 0, "load_ahead": false}"#,
            0,
        ),
    ];
    for (settings, loads) in cases {
        let tree = tree(10, settings);
        let engines: Vec<Engine> = (0..6).map(engine).collect();
        let mut planner = Planner::new(Config::new());
        let mut decided = 0;
        for step in 0..5 {
            decided += load_count(&planner.decide(step * 500, &tree, &engines));
        }
        assert_eq!(decided, loads, "{settings}");
    }
}

#[test]
fn a_new_planner_keeps_the_replicas_already_loaded() {
    let tree = tree(1, r#"{"cold_start_weight": 100}"#);
    let mut engines = [engine(0)];
    engines[0]
        .replicas
        .push(replica(&"m0".into(), Phase::Ready));
    engines[0].free_mb -= MODEL_MB;
    let mut planner = Planner::new(Config::new());
    for second in 0..30 {
        assert_eq!(planner.decide(second * 1_000, &tree, &engines), []);
    }
}

#[test]
fn an_unresolved_replica_counts_towards_the_replica_limit() {
    let tree = tree(1, r#"{"max_replicas": 1}"#);
    let mut engines = [engine(0), engine(1)];
    let unresolved = Replica {
        unresolved: true,
        ..replica(&"m0".into(), Phase::Ready)
    };
    engines[0].replicas.push(unresolved);
    engines[0].free_mb -= MODEL_MB;
    let mut planner = Planner::new(Config::new());
    let entry = ModelDemand {
        waiting: 3,
        deadline_in_ms: Some(30_000),
        ..ModelDemand::new("m0")
    };
    planner.observe_demand(
        0,
        "r",
        &DemandReport {
            models: vec![entry],
        },
    );
    assert_eq!(planner.decide(0, &tree, &engines), []);
}

#[test]
fn usage_counts_each_accelerator_once() {
    let model: Name = "m0".into();
    let busy = Replica {
        running: 1,
        ..replica(&model, Phase::Ready)
    };
    // Replicas; idle, busy and loading seconds out of ten.
    let cases = [
        (vec![], (0.0, 0.0, 0.0)),
        (vec![replica(&model, Phase::Ready)], (10.0, 0.0, 0.0)),
        (vec![replica(&model, Phase::Draining)], (10.0, 0.0, 0.0)),
        (vec![replica(&model, Phase::Loading)], (0.0, 0.0, 10.0)),
        (vec![busy.clone()], (0.0, 10.0, 0.0)),
        (vec![busy, replica(&model, Phase::Ready)], (0.0, 10.0, 0.0)),
        (
            vec![
                replica(&model, Phase::Ready),
                replica(&model, Phase::Loading),
            ],
            (10.0, 0.0, 0.0),
        ),
    ];
    for (replicas, expected) in cases {
        let mut engine = engine(0);
        engine.replicas = replicas;
        let mut meter = Meter::default();
        meter.observe(5_000, &[engine.clone()]);
        let usage = meter.total_at(15_000);
        let counted = (usage.idle_s, usage.busy_s, usage.loading_s);
        assert_eq!(counted, expected, "{:?}", engine.replicas);
    }
}

/// A small fleet that executes actions and checks the planner's invariants for each.
struct Fleet {
    engines: Vec<Engine>,
    limit: u32,
}

impl Fleet {
    fn apply(&mut self, action: &Action) {
        match action {
            Action::Load {
                model,
                engine,
                memory_mb,
                limit,
                ..
            } => {
                let placed = self.engines.iter().flat_map(|e| &e.replicas);
                let placed = placed.filter(|r| r.model == *model).count();
                assert!(
                    placed < self.limit as usize,
                    "the model already has `limit` replicas"
                );
                assert_eq!(*limit, self.limit);
                let engine = self.engines.iter_mut().find(|e| e.id == *engine).unwrap();
                assert!(engine.live, "the engine of a load must be live");
                assert!(
                    engine.free_mb >= *memory_mb,
                    "the engine of a load must have the memory free"
                );
                engine.free_mb -= memory_mb;
                engine.replicas.push(replica(model, Phase::Loading));
            }
            Action::Drain { replica } => {
                let engine = self.engines.iter_mut().find(|e| e.id == replica.engine);
                let mut replicas = engine.unwrap().replicas.iter_mut();
                let drained = replicas.find(|r| r.model == replica.model).unwrap();
                assert_eq!(drained.running, 0, "a drained replica must run no requests");
                assert_eq!(
                    drained.phase,
                    Phase::Ready,
                    "a replica must be drained only once"
                );
                drained.phase = Phase::Draining;
            }
            Action::LoadAdapter { .. } | Action::UnloadAdapter { .. } => {}
        }
    }

    /// Randomly ends loads and drains, changes running requests, and stops and restarts engines.
    fn advance(&mut self, rng: &mut SmallRng) {
        for engine in &mut self.engines {
            if rng.random_bool(0.01) {
                engine.live = !engine.live;
                engine.replicas.clear();
                engine.free_mb = engine.memory_mb;
            }
            for replica in &mut engine.replicas {
                match replica.phase {
                    Phase::Loading if rng.random_bool(0.2) => replica.phase = Phase::Ready,
                    Phase::Ready => replica.running = rng.random_range(0..3),
                    Phase::Loading | Phase::Draining => {}
                }
            }
            let unloaded = |r: &mut Replica| r.phase == Phase::Draining && rng.random_bool(0.3);
            let unloaded = engine.replicas.extract_if(.., unloaded).count();
            engine.free_mb += MODEL_MB * u64::try_from(unloaded).unwrap();
        }
    }
}

#[test]
fn invariants_hold_under_random_demand() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limit = rng.random_range(1..4);
        let settings = format!(
            r#"{{"max_replicas": {limit}, "batch_size": 4, "keep_alive_min_ms": {},
                "cold_start_weight": {}}}"#,
            [0, 500][rng.random_range(0..2)],
            [0, 1, 100][rng.random_range(0..3)]
        );
        let tree = tree(12, &settings);
        let mut fleet = Fleet {
            engines: (0..4).map(engine).collect(),
            limit,
        };
        let mut planner = Planner::new(Config::new().seed(seed));
        let mut loads = 0;
        for step in 0..600 {
            let now = step * 200;
            for router in 0..3 {
                let models = (0..rng.random_range(0..4)).map(|_| ModelDemand {
                    waiting: rng.random_range(0..9),
                    arrivals: rng.random_range(0..9),
                    deadline_in_ms: Some(rng.random_range(0..20_000)),
                    ..ModelDemand::new(format!("m{}", rng.random_range(0..12)))
                });
                let report = DemandReport {
                    models: models.collect(),
                };
                planner.observe_demand(now, &format!("r{router}"), &report);
            }
            let actions = planner.decide(now, &tree, &fleet.engines);
            loads += load_count(&actions);
            for action in &actions {
                fleet.apply(action);
            }
            fleet.advance(&mut rng);
        }
        assert!(
            loads > 10,
            "seed {seed}: expected more than 10 loads, got {loads}"
        );
    }
}

#[test]
fn the_same_input_gives_the_same_decisions() {
    let tree = tree(12, r#"{"max_replicas": 2}"#);
    let engines: Vec<Engine> = (0..4).map(engine).collect();
    let run = || {
        let mut planner = Planner::new(Config::new().seed(3));
        let entry = |m: u64| ModelDemand {
            waiting: 2,
            deadline_in_ms: Some(20_000),
            ..ModelDemand::new(format!("m{m}"))
        };
        let models = (0..12).map(entry).collect();
        planner.observe_demand(0, "r", &DemandReport { models });
        (0..50)
            .flat_map(|step| planner.decide(step * 100, &tree, &engines))
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
