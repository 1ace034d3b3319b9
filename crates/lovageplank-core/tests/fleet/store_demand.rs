//! Pattern: callers ask again and again for models that no engine has a copy of, and are refused at
//! once, because a load from the store takes longer than any of them waits. The store bears one load
//! at a time; more slow each other down.

mod fleet;

use crate::placement::{planner, report, requested, wait_for};
use crate::samples::{LIMITS, engine, engine_spec, route, services};
use fleet::Fleet;
use lovageplank_core::fleet::deployment::{Deployment, ModelSpec, Route};
use lovageplank_core::fleet::message::{Demand, RunningRequests};
use lovageplank_core::fleet::placement::{Answer, Op};
use lovageplank_core::fleet::registry::{Announcement, CachedWeights, Stage};
use lovageplank_core::fleet::store;
use lovageplank_core::prelude::*;

const ENGINES: usize = 12;
/// Models of the catalogue: the first two at each engine are loaded, the others have no copy.
const MODELS: usize = 60;
/// Models without a copy that callers ask for, the last of the catalogue by name.
const ASKED_FOR: usize = 4;
/// Milliseconds of a load from the store that is alone.
const STORE_MS: u64 = 13_000;
const STEP_MS: u64 = 50;
/// Milliseconds for which a new leader sends no command.
const START_DELAY_MS: u64 = 3_500;
/// When callers begin to ask: the planner has had the store to itself before.
const TRAFFIC_AT: Millis = 14_000;
/// Milliseconds between two requests for the same model.
const REQUEST_GAP_MS: u64 = 2_000;

fn model(index: usize) -> Name {
    format!("m{index:02}").into()
}

fn id(index: usize) -> Name {
    format!("{}", 10 + index).into()
}

fn asked_for() -> BTreeSet<Name> {
    (MODELS - ASKED_FOR..MODELS).map(model).collect()
}

fn deployment() -> Deployment {
    deployment_with_patience(2_000)
}

/// A deployment whose requests wait this long, in milliseconds.
fn deployment_with_patience(patience_ms: u64) -> Deployment {
    let names: Vec<Name> = (0..MODELS).map(model).collect();
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    let mut spec = engine_spec(&names);
    for model in spec.models.values_mut() {
        *model = ModelSpec {
            store_ms: STORE_MS,
            ..model.clone()
        };
    }
    let mut services = services(&names);
    for service in services.values_mut().filter(|s| s.engine.is_some()) {
        service.engine = Some(spec.clone());
    }
    let routes = vec![Route {
        timeout_ms: 60_000,
        patience_ms,
        ..route("notes", "a.example", "/notes/")
    }];
    Deployment::new(1, routes, services, LIMITS).expect("valid")
}

/// When the store has had time for this many loads since callers began to ask, one after the other.
fn end_of(loads: usize) -> Millis {
    TRAFFIC_AT + u64::try_from(loads).expect("few") * (STORE_MS + 1_000)
}

/// Guards against models that are asked for all day and never served: the store loaded models that
/// nobody had asked for, in the order of their names, while callers of others were refused.
#[test]
fn the_store_loads_models_that_callers_are_refused_for_before_others() {
    let mut fleet = Fleet::new();
    let asked_for = asked_for();
    // All of them, one after the other, behind what was begun before anyone asked.
    fleet.run(end_of(ASKED_FOR + 2), &asked_for);
    fleet.assert_copied(&asked_for);
}

/// Guards against a model that stays behind others for as long as callers ask for more of them.
#[test]
fn a_model_that_is_asked_for_seldom_is_loaded_once_others_have_copies() {
    let mut fleet = Fleet::new();
    let asked_for = asked_for();
    let rare: BTreeSet<Name> = asked_for.iter().take(1).cloned().collect();
    let others: BTreeSet<Name> = asked_for.iter().skip(1).cloned().collect();
    fleet.run_with(end_of(ASKED_FOR + 2), |fleet| {
        let is_rare_asked_for = fleet.now.is_multiple_of(10_000);
        let models = if is_rare_asked_for {
            &asked_for
        } else {
            &others
        };
        fleet.ask(models, u32::from(fleet.now.is_multiple_of(1_000)));
    });
    fleet.assert_copied(&rare);
}

/// Guards against a busy model that takes loads from the store for further replicas while callers ask for models that no
/// engine has: every second load, and the first one of each new leader.
#[test]
fn replicas_of_a_busy_model_wait_for_models_that_no_engine_has_over_changes_of_the_leader() {
    let mut fleet = Fleet::new();
    let asked_for = asked_for();
    let busy = model(0);
    let report = |fleet: &mut Fleet| {
        let arrived = u32::from(fleet.now.is_multiple_of(REQUEST_GAP_MS));
        fleet.ask(&asked_for, arrived);
        // The requests of the busy model fill the only engine that has it, and need all others.
        let running = RunningRequests {
            server: id(0),
            model: Some(busy.clone()),
            adapter: None,
            requests: 200,
        };
        let (now, router) = (fleet.now, "busy".into());
        fleet
            .planner
            .update_load(now, &router, vec![running], Vec::new());
    };
    for loads in 1..=ASKED_FOR {
        fleet.run_with(end_of(loads), report);
        fleet.change_leader();
    }
    fleet.run_with(end_of(2 * ASKED_FOR + 2), report);
    fleet.assert_copied(&asked_for);
    let loads: Vec<&Name> = fleet.store_loads.iter().map(|(_, model)| model).collect();
    let first_replica = loads.iter().position(|model| **model == busy);
    let last_missing = loads.iter().rposition(|model| asked_for.contains(*model));
    assert!(first_replica > last_missing, "{:?}", fleet.store_loads);
    let replicas = loads.iter().filter(|model| ***model == busy);
    assert!(replicas.count() >= 2, "{:?}", fleet.store_loads);
}

/// Guards against loads that take two and three times as long, so that none ends in the day: each new leader began two of
/// its own beside those in progress.
#[test]
fn a_new_leader_begins_no_load_beside_one_in_progress() {
    let mut fleet = Fleet::new();
    let asked_for = asked_for();
    let report = |fleet: &mut Fleet| {
        fleet.ask(&asked_for, u32::from(fleet.now.is_multiple_of(1_000)));
    };
    for leader in 1..=3 {
        fleet.run_with(TRAFFIC_AT + leader * 6_000, report);
        fleet.change_leader();
        let begun = fleet.store_loads.len();
        while fleet.store_loads.len() == begun {
            fleet.run_with(fleet.now + STEP_MS, report);
        }
        let loading = fleet.engines.values().filter(|e| e.loads_from_store());
        assert_eq!(loading.count(), 1, "{:?}", fleet.store_loads);
    }
}

/// Guards against loads that are chosen and slowed down before it is known whether the store runs two at a time.
#[test]
fn while_a_trial_of_two_loads_runs_no_other_begins() {
    let mut fleet = Fleet::new();
    let asked_for = asked_for();
    let mut tried_at = None;
    while fleet.now < end_of(ASKED_FOR + 2) {
        fleet.run(fleet.now + STEP_MS, &asked_for);
        let loading = fleet.engines.values().filter(|e| e.loads_from_store());
        match loading.count() {
            0 | 1 => {}
            2 => tried_at = tried_at.or(Some(fleet.now)),
            more => panic!("{more} at once: {:?}", fleet.store_loads),
        }
    }
    let tried_at = tried_at.expect("a trial");
    let begun = fleet.store_loads.iter().map(|(at, _)| *at);
    let (before, after): (Vec<Millis>, Vec<Millis>) = begun.partition(|at| *at < tried_at);
    assert_eq!(before.len(), 2, "on time, one after the other: {before:?}");
    assert!(tried_at >= before[1] + STORE_MS, "{tried_at}: {before:?}");
    // Both loads of the trial take twice as long; the others run alone.
    assert!(after[2] >= tried_at + 2 * STORE_MS, "{after:?}");
    let gaps: Vec<u64> = after[2..]
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert!(gaps.iter().all(|gap| *gap >= STORE_MS), "{after:?}");
    fleet.run(end_of(ASKED_FOR + 2), &asked_for);
    fleet.assert_copied(&asked_for);
}

/// Guards against a model that nobody can be served for while its only engine loads another one from the
/// store: the model was still loaded when the load was planned, so its absence seemed to cost nothing.
#[test]
fn the_only_engine_with_a_model_is_not_taken_for_a_load_from_the_store() {
    let models = ["a", "b", "c", "d", "e", "f"];
    let mut planner = planner();
    // Only engine 1 has `a`; engine 3 has `b` cached.
    let engines = [("1", "a"), ("2", "b"), ("3", "e")];
    for (id, model) in engines {
        let loaded = [model, "c", "d"];
        let cached: &[&str] = if id == "3" { &["b"] } else { &[] };
        let announcement = Announcement {
            cached_weights: CachedWeights {
                memory: BTreeSet::new(),
                disk: cached.iter().map(|model| Name::from(*model)).collect(),
            },
            ..engine(id, &loaded)
        };
        planner.observe(0, &announcement);
        planner.apply_report(0, id, &report(0, &loaded));
    }
    let arrived = |model: &str, arrived: u32| Demand {
        requested: requested(model, None),
        arrived,
        waiting: 0,
        objective_in_ms: None,
        overdue_ms: None,
    };
    let running = |server: &str, model: &str| RunningRequests {
        server: server.into(),
        model: Some(model.into()),
        adapter: None,
        requests: 1,
    };
    let in_use = ["1", "2", "3"]
        .iter()
        .flat_map(|id| [running(id, "c"), running(id, "d")]);
    let in_use: Vec<RunningRequests> = in_use.chain([running("3", "e")]).collect();
    let demand = vec![arrived("a", 9), arrived("b", 15)];
    planner.update_load(2_000, &"router".into(), in_use, demand);
    wait_for(&mut planner, 2_000, requested("f", None), Vec::new());
    assert_eq!(
        planner.decide(2_000, &crate::samples::deployment(&models)),
        []
    );
    let loading = planner.loaded_models(2_000).into_iter();
    let loading = loading.filter(|engine| !engine.loading.is_empty());
    let engines: Vec<Name> = loading.map(|engine| engine.server).collect();
    assert_eq!(engines, ["2".into()]);
}

/// Guards against callers who come back when the next load from the store ends, and are refused again: other
/// models are before theirs.
#[test]
fn callers_of_models_that_the_store_loads_later_are_told_when() {
    let mut fleet = Fleet::new();
    let asked_for = asked_for();
    fleet.run(TRAFFIC_AT + 4_000, &asked_for);
    let told_at = fleet.now;
    let waits: BTreeMap<Name, u64> = fleet.planner.expected_waits().into_iter().collect();
    let begun: BTreeSet<Name> = fleet.store_loads.iter().map(|(_, m)| m.clone()).collect();
    let later: BTreeSet<Name> = asked_for.difference(&begun).cloned().collect();
    assert!(later.len() >= 2, "{:?}", fleet.store_loads);
    let told: BTreeSet<Name> = waits.keys().cloned().collect();
    assert_eq!(told, later);
    for (model, wait_ms) in waits {
        let mut fleet_later = fleet.clone();
        while !fleet_later.is_copied(&model) && fleet_later.now < told_at + 2 * wait_ms {
            fleet_later.run(fleet_later.now + STEP_MS, &asked_for);
        }
        let took_ms = fleet_later.now - told_at;
        // Right to one load, with its evictions and the report of its end.
        let load_ms = STORE_MS + 1_000;
        let close = wait_ms.saturating_sub(load_ms)..=wait_ms + load_ms;
        assert!(
            close.contains(&took_ms),
            "{model}: told {wait_ms} ms, took {took_ms}"
        );
    }
}

/// Requests that can wait for a load from the store go before others, and aren't refused for those.
#[test]
fn nothing_is_told_of_later_loads_where_requests_can_wait_for_one() {
    let mut fleet = Fleet::new();
    fleet.deployment = deployment_with_patience(STORE_MS + 1_000);
    fleet.run(TRAFFIC_AT + 4_000, &asked_for());
    assert_eq!(fleet.planner.expected_waits(), Vec::new());
}

/// Guards against a new leader that begins a load beside one whose engine it can't ask: the engine has left, the store
/// goes on, and the new load takes twice as long.
#[test]
fn a_new_leader_knows_of_a_load_whose_engine_has_left() {
    let mut fleet = Fleet::new();
    let asked_for = asked_for();
    fleet.run(TRAFFIC_AT + 4_000, &asked_for);
    let (begun_at, loading) = fleet.store_loads.last().expect("a load").clone();
    let mut engines = fleet.engines.iter();
    let loads = engines.find(|(_, engine)| engine.loads_from_store());
    let id = loads.expect("an engine").0.clone();
    fleet.engines.remove(&id);
    fleet.planner.remove(&id);
    let loads = fleet.planner.store_loads(fleet.now);
    let told: Vec<(&Name, &Name)> = loads.iter().map(|l| (&l.server, &l.model)).collect();
    assert_eq!(told, [(&id, &loading)]);
    let mut record = store::Record::default();
    record.update(fleet.now, store::Loads { term: 1, loads });
    fleet.run(fleet.now + 2_000, &asked_for);
    fleet.change_leader();
    let in_progress = record.in_progress(fleet.now);
    fleet.planner.inherit_store_loads(fleet.now, in_progress);
    let begun = fleet.store_loads.len();
    while fleet.store_loads.len() == begun {
        fleet.run(fleet.now + STEP_MS, &asked_for);
    }
    let (next_at, _) = &fleet.store_loads[begun];
    assert!(*next_at >= begun_at + STORE_MS, "{:?}", fleet.store_loads);
}

/// What is told of loads is out of date once they should have ended, and once a later leader has told more.
#[test]
fn a_record_of_loads_follows_the_latest_leader_until_they_end() {
    let load = |model: &str, remaining_ms| store::Load {
        server: "1".into(),
        incarnation: 1_000,
        model: model.into(),
        remaining_ms,
    };
    let loads = |term, loads| store::Loads { term, loads };
    let mut record = store::Record::default();
    record.update(1_000, loads(2, vec![load("a", 5_000), load("b", 500)]));
    assert_eq!(record.in_progress(2_000), [load("a", 4_000)]);
    record.update(2_000, loads(1, Vec::new()));
    assert_eq!(
        record.in_progress(2_000),
        [load("a", 4_000)],
        "an earlier term"
    );
    assert_eq!(record.in_progress(6_000), []);
    record.update(3_000, loads(3, Vec::new()));
    assert_eq!(record.in_progress(3_000), []);
}

/// Guards against the store going to a model that is asked for less, because the engine that would be cheapest for the
/// first one is busy for a moment.
#[test]
fn the_model_that_is_asked_for_most_gets_the_store_whichever_engine_is_busy() {
    let models = ["a", "b", "c", "d", "e", "f"];
    let mut planner = planner();
    let deployment = crate::samples::deployment(&models);
    for id in ["1", "2"] {
        let announcement = Announcement {
            cached_weights: CachedWeights {
                memory: BTreeSet::new(),
                disk: ["a", "b", "c", "d"].map(Name::from).into(),
            },
            ..engine(id, &["a"])
        };
        planner.observe(0, &announcement);
        planner.apply_report(0, id, &report(0, &["a"]));
    }
    let asked = |models: &[(&str, u32)], waiting| {
        let demand = models.iter().map(|(model, arrived)| Demand {
            requested: requested(model, None),
            arrived: *arrived,
            waiting,
            objective_in_ms: None,
            overdue_ms: (waiting > 0).then_some(100),
        });
        demand.collect::<Vec<Demand>>()
    };
    // Engine 1 loads from its disk; engine 2 has all its slots taken.
    let running = RunningRequests {
        server: "2".into(),
        model: Some("a".into()),
        adapter: None,
        requests: 10,
    };
    planner.update_load(0, &"busy".into(), vec![running], Vec::new());
    planner.update_load(0, &"router".into(), Vec::new(), asked(&[("b", 1)], 1));
    let first = planner.decide(0, &deployment);
    assert_eq!(first.len(), 1, "{first:?}");
    planner.command_answered(10, &first[0], Answer::Accepted);
    let demand = asked(&[("f", 60), ("e", 20)], 0);
    planner.update_load(500, &"router".into(), Vec::new(), demand);
    let second = planner.decide(500, &deployment);
    let loads: Vec<&Op> = second.iter().map(|command| &command.op).collect();
    assert_eq!(loads, [&Op::Load("f".into())]);
}

/// Guards against the store going to a model that is still served by an engine that leaves, while the callers of another
/// one have been refused for many seconds.
#[test]
fn the_store_goes_to_the_model_whose_callers_have_gone_without_for_longest() {
    let mut fleet = Fleet::new();
    let (refused, served) = (model(MODELS - 1), model(MODELS - 2));
    let models: BTreeSet<Name> = [refused.clone(), served.clone()].into();
    let leaving: Name = "leaving".into();
    let announcement = Announcement {
        stage: Stage::Draining,
        ..engine(&leaving, &[&served])
    };
    fleet.planner.observe(0, &announcement);
    // The second one runs at an engine that has said that it leaves, and is refused only lately.
    fleet.run_with(TRAFFIC_AT + 4_000, |fleet| {
        fleet.ask(&[refused.clone()].into(), 10);
    });
    let report = |fleet: &mut Fleet| {
        fleet.ask(&models, 12);
        let running = RunningRequests {
            server: leaving.clone(),
            model: Some(served.clone()),
            adapter: None,
            requests: 60,
        };
        let (now, router) = (fleet.now, "busy".into());
        fleet
            .planner
            .update_load(now, &router, vec![running], Vec::new());
    };
    let begun = fleet.store_loads.len();
    while fleet.store_loads.len() == begun {
        fleet.run_with(fleet.now + STEP_MS, report);
    }
    assert_eq!(fleet.store_loads[begun].1, refused);
}
