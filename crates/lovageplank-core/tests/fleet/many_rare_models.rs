//! Pattern: hundreds of rarely used models are asked for at once in a large deployment, each by one or two
//! of many routers, while most have a copy on the disk of a few engines and none is loaded.

use crate::placement::{planner, requested};
use crate::samples::{LIMITS, engine, engine_spec, loaded_model, route, services};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::message::{Demand, RunningRequests};
use lovageplank_core::fleet::placement::{POLLS_MAX, Planner, Report};
use lovageplank_core::fleet::registry::{Announcement, CachedWeights};
use lovageplank_core::prelude::*;

const ENGINES: usize = 240;
const MODELS: usize = 737;
const ROUTERS: usize = 300;
/// Models that are requested often; each engine has one of them and one of the others loaded.
const BUSY_MODELS: usize = 75;
/// Models that the disk of an engine has room for.
const CACHED_MODELS: usize = 11;
/// Looks at one engine that a decision may need for each engine and for each model.
const LOOKS_MAX: usize = 10;
/// Loads that may begin at once, and in a second: a leader's link carries 12.5 MB a second, and 300 routers are told of a load
/// in some 150 bytes each, twice.
const LOADS_AT_ONCE_MAX: usize = 28;
const LOADS_PER_S_MAX: usize = 140;

fn model(index: usize) -> String {
    format!("m{index:03}")
}

fn id(index: usize) -> String {
    format!("{}", 1_000 + index)
}

fn rare(index: usize) -> usize {
    BUSY_MODELS + index % (MODELS - BUSY_MODELS)
}

fn loaded(engine: usize) -> Vec<String> {
    vec![model(engine % BUSY_MODELS), model(rare(engine))]
}

fn deployment() -> Deployment {
    let names: Vec<String> = (0..MODELS).map(model).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut services = services(&names);
    for service in services.values_mut().filter(|s| s.engine.is_some()) {
        service.engine = Some(engine_spec(&names));
    }
    let routes = vec![route("notes", "a.example", "/notes/")];
    Deployment::new(1, routes, services, LIMITS).expect("valid")
}

/// All engines have reported; the busy models have running requests.
fn large_fleet(now: Millis) -> Planner {
    let mut planner = planner();
    for index in 0..ENGINES {
        let loaded = loaded(index);
        let names: Vec<&str> = loaded.iter().map(String::as_str).collect();
        let on_disk =
            (0..CACHED_MODELS).map(|n| Name::from(model(rare(index * CACHED_MODELS + n))));
        let on_disk = on_disk.chain(names.iter().map(|name| Name::from(*name)));
        let announcement = Announcement {
            cached_weights: CachedWeights {
                memory: BTreeSet::new(),
                disk: on_disk.collect(),
            },
            ..engine(&id(index), &names)
        };
        planner.observe(now, &announcement);
        let report = Report {
            incarnation: 1_000,
            accepted_commands: 0,
            busy: false,
            loaded: names.iter().map(|name| loaded_model(name, &[])).collect(),
            loading_adapters: Vec::new(),
            cached_weights: None,
        };
        planner.apply_report(now, &id(index), &report);
    }
    planner
}

/// Each router waits for a model of its own, and has a request at an engine.
fn ask(planner: &mut Planner, now: Millis) {
    for router in 0..ROUTERS {
        let (running, demand) = report_of(router);
        let name = format!("router-{router}");
        planner.update_load(now, &name.into(), vec![running], vec![demand]);
    }
}

fn report_of(router: usize) -> (RunningRequests, Demand) {
    let busy = router % ENGINES;
    let running = RunningRequests {
        server: id(busy).into(),
        model: Some(model(busy % BUSY_MODELS).into()),
        adapter: None,
        requests: 1,
    };
    let demand = Demand {
        requested: requested(&model(rare(ENGINES + router)), None),
        arrived: 1,
        waiting: 1,
        objective_in_ms: Some(2_500),
        overdue_ms: None,
    };
    (running, demand)
}

/// Engines that a load has begun at.
fn loading(planner: &Planner, now: Millis) -> BTreeSet<Name> {
    let engines = planner.loaded_models(now).into_iter();
    let loading = engines.filter(|engine| !engine.loading.is_empty());
    loading.map(|engine| engine.server).collect()
}

/// Guards against a planner that needs seconds for a decision: for each model it looked at all engines,
/// and for each of these again at all engines (171 commands in a day at 240 engines).
#[test]
fn the_work_of_a_decision_does_not_grow_with_the_product_of_engines_and_models() {
    let mut planner = large_fleet(0);
    ask(&mut planner, 10_000);
    // Engines announce themselves again, so that they aren't taken for silent.
    for index in 0..ENGINES {
        let loaded = loaded(index);
        let names: Vec<&str> = loaded.iter().map(String::as_str).collect();
        planner.observe(10_000, &engine(&id(index), &names));
    }
    let commands = planner.decide(10_000, &deployment());
    let looks = planner.looks();
    assert!(
        looks <= LOOKS_MAX * (ENGINES + MODELS),
        "{looks} looks for {ENGINES} engines and {MODELS} models"
    );
    let begun: BTreeSet<&Name> = commands.iter().map(|c| c.op.model()).collect();
    let is_decided =
        |model: &Name| begun.contains(model) || planner.deferrals().contains_key(model);
    let asked = (0..ROUTERS).map(|router| Name::from(model(rare(ENGINES + router))));
    let undecided: Vec<Name> = asked.filter(|model| !is_decided(model)).collect();
    assert_eq!(undecided, Vec::<Name>::new(), "neither begun nor deferred");
}

/// A new leader, or one whose engines have all announced themselves at once, knows none of them.
fn unknown_fleet() -> Planner {
    let mut planner = planner();
    for index in 0..ENGINES {
        let loaded = loaded(index);
        let names: Vec<&str> = loaded.iter().map(String::as_str).collect();
        planner.observe(0, &engine(&id(index), &names));
    }
    planner
}

/// Guards against a leader that asks all engines at once, and asks them again before the connections of the first
/// time are open, so that no question is answered in time (30,000 unanswered ones in 24 s at 240 engines).
#[test]
fn a_leader_that_knows_no_engine_asks_few_at_a_time_and_each_once() {
    let mut planner = unknown_fleet();
    let deployment = deployment();
    let mut asked: BTreeSet<Name> = BTreeSet::new();
    let mut now = 1_000;
    while asked.len() < ENGINES {
        let polls = planner.due_polls(now, &deployment);
        assert!(polls.len() <= POLLS_MAX, "{} at once", polls.len());
        assert!(!polls.is_empty(), "{} were asked", asked.len());
        let again = planner.due_polls(now + 500, &deployment);
        assert_eq!(again, Vec::new(), "while the others are awaited");
        for (id, _) in polls {
            planner.poll_ended(&id);
            assert!(asked.insert(id.clone()), "{id} was asked before others");
        }
        now += 1;
    }
}

/// Guards against a question whose outcome never comes and that blocks the others.
#[test]
fn a_question_without_an_outcome_does_not_count_for_ever() {
    let mut planner = unknown_fleet();
    let first = planner.due_polls(500, &deployment());
    let later = planner.due_polls(3_000, &deployment());
    assert_eq!((first.len(), later.len()), (POLLS_MAX, POLLS_MAX));
    assert!(later.iter().all(|poll| !first.contains(poll)));
}

/// Guards against a new leader that loses its office by its first decision: it began a load at each of a hundred
/// engines at once, and telling 300 routers of them filled its link.
#[test]
fn a_new_leader_of_many_routers_begins_its_loads_over_some_seconds() {
    let deployment = deployment();
    // The same demand, of a single router: all loads begin at once.
    let mut of_one_router = large_fleet(0);
    let (running, demand) = (0..ROUTERS).map(report_of).unzip();
    of_one_router.update_load(3_000, &"router".into(), running, demand);
    of_one_router.decide(3_000, &deployment);
    let all = loading(&of_one_router, 3_000).len();
    assert!(all > 2 * LOADS_AT_ONCE_MAX, "{all} loads are due");

    let mut planner = large_fleet(0);
    let mut begun = 0;
    for step in 0..16 {
        let now = 3_000 + step * 60;
        ask(&mut planner, now);
        planner.decide(now, &deployment);
        let before = std::mem::replace(&mut begun, loading(&planner, now).len());
        let looks = planner.looks();
        assert!(looks <= LOOKS_MAX * (ENGINES + MODELS), "{looks} looks");
        let at_once = begun - before;
        assert!(at_once <= LOADS_AT_ONCE_MAX, "{at_once} at once");
    }
    assert!(begun <= LOADS_PER_S_MAX, "{begun} in a second");
    assert!(10 * begun >= 9 * all, "{begun} of {all} in a second");
}
