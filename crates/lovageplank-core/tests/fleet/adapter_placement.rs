//! Where and in which order adapters are loaded that requests wait for.

use crate::placement::{planner, report, requested};
use crate::samples::{deployment, engine, loaded_model};
use lovageplank_core::fleet::message::{Demand, RunningRequests};
use lovageplank_core::fleet::placement::{Answer, Command, Op, Planner, Report};
use lovageplank_core::prelude::*;

/// Milliseconds without a sign of life after which an engine is taken for silent.
const SILENT_MS: Millis = 5_000;

/// Engines that have `a` loaded, each with its adapters. Two places for adapters each.
fn fleet(adapters: &[(&str, &[&str])]) -> Planner {
    let mut planner = planner();
    for (id, adapters) in adapters {
        planner.observe(0, &engine(id, &["a"]));
        let loaded = Report {
            loaded: vec![loaded_model("a", adapters)],
            ..report(0, &[])
        };
        planner.apply_report(0, id, &loaded);
    }
    planner
}

/// Requests wait for adapters of `a`, each with the milliseconds since its objective.
fn wait_for(planner: &mut Planner, now: Millis, adapters: &[(&str, u64)]) {
    let demand = adapters.iter().map(|(adapter, overdue_ms)| Demand {
        requested: requested("a", Some(adapter)),
        arrived: 1,
        waiting: 1,
        objective_in_ms: None,
        overdue_ms: Some(*overdue_ms),
    });
    planner.update_load(now, &"entry".into(), Vec::new(), demand.collect());
}

fn loads(commands: &[Command]) -> Vec<(&str, &str)> {
    let loads = commands.iter().filter_map(|command| match &command.op {
        Op::LoadAdapter(_, adapter) => Some((&*command.server, &**adapter)),
        _ => None,
    });
    loads.collect()
}

/// Guards against an adapter that is never served because an engine had it that has crashed: it counted as loaded for
/// as long as the engine was remembered (40 requests in a day, each waited for four seconds).
#[test]
fn an_adapter_at_an_engine_that_is_silent_is_loaded_elsewhere() {
    let mut planner = fleet(&[("1", &["x"]), ("2", &[])]);
    planner.observe(SILENT_MS, &engine("2", &["a"]));
    wait_for(&mut planner, SILENT_MS, &[("x", 100)]);
    let commands = planner.decide(SILENT_MS, &deployment(&["a"]));
    assert_eq!(loads(&commands), [("2", "x")]);
}

/// Guards against an adapter that stays with an engine that takes no commands, while another one with the model does.
#[test]
fn an_adapter_is_loaded_elsewhere_if_its_engine_refuses() {
    let mut planner = fleet(&[("1", &[]), ("2", &[])]);
    wait_for(&mut planner, 0, &[("x", 100)]);
    let commands = planner.decide(0, &deployment(&["a"]));
    let refused = commands[0].clone();
    planner.command_answered(10, &refused, Answer::Refused);
    let commands = planner.decide(20, &deployment(&["a"]));
    let [(other, "x")] = loads(&commands)[..] else {
        panic!("one load: {commands:?}");
    };
    assert_ne!(other, &*refused.server);
}

/// Guards against an adapter that waits for the cheapest engine, whose places are all in use, while another has one.
#[test]
fn an_adapter_goes_to_an_engine_that_has_a_place_for_it() {
    let mut planner = fleet(&[("1", &["u", "v"]), ("2", &["w"])]);
    // Engine 2 is the dearer one by its requests.
    let running = |server: &str, adapter: Option<&str>, requests| RunningRequests {
        server: server.into(),
        model: Some("a".into()),
        adapter: adapter.map(Name::from),
        requests,
    };
    let in_use = vec![
        running("1", Some("u"), 1),
        running("1", Some("v"), 1),
        running("2", Some("w"), 1),
        running("2", None, 9),
    ];
    planner.update_load(0, &"busy".into(), in_use, Vec::new());
    wait_for(&mut planner, 0, &[("x", 100)]);
    let commands = planner.decide(0, &deployment(&["a"]));
    assert_eq!(loads(&commands), [("2", "x")]);
}

/// Guards against adapters that are loaded in the order of their names, so that the last ones never are.
#[test]
fn the_adapter_whose_requests_have_waited_longest_is_loaded_first() {
    let mut planner = fleet(&[("1", &[])]);
    wait_for(&mut planner, 500, &[("x", 100), ("y", 300), ("z", 200)]);
    let commands = planner.decide(500, &deployment(&["a"]));
    assert_eq!(loads(&commands), [("1", "y")]);
}

/// An adapter that is being loaded is ordered once.
#[test]
fn an_adapter_is_not_ordered_at_a_second_engine_while_it_is_loaded_at_one() {
    let mut planner = fleet(&[("1", &[]), ("2", &[])]);
    wait_for(&mut planner, 0, &[("x", 100)]);
    let first = planner.decide(0, &deployment(&["a"]));
    assert_eq!(loads(&first).len(), 1);
    let second = planner.decide(10, &deployment(&["a"]));
    assert_eq!(loads(&second), []);
}
