//! Loads from the weight store: models that no request waits for, and the number of concurrent
//! loads.

use crate::placement::{MODELS, only, planner, report, requested, wait_for};
use crate::samples::{engine, patient_deployment};
use lovageplank_core::fleet::message::Demand;
use lovageplank_core::fleet::placement::{Answer, Command, Op, Planner, Report};
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::prelude::*;

/// More models than the store bears loads.
const MANY_MODELS: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

/// Engines, by number, that have loaded only `a` and have no other weights cached.
fn without_cached_weights(ids: &[&str]) -> Planner {
    let mut planner = planner();
    for id in ids {
        planner.observe(0, &engine(id, &["a"]));
        planner.apply_report(0, id, &report(0, &["a"]));
    }
    planner
}

/// Accepts loads and lets them end at `end`; returns the commands that follow.
fn loads_end(planner: &mut Planner, commands: &[Command], end: Millis) -> Vec<Command> {
    for command in commands {
        planner.command_answered(10, command, Answer::Accepted);
    }
    for command in commands {
        let report_after_load = report(command.expected + 1, &["a", command.op.model()]);
        planner.observe(end, &reannounced(&command.server, end));
        planner.apply_report(end, &command.server, &report_after_load);
    }
    for id in ["1", "2", "3", "4", "5", "6"] {
        planner.observe(end, &reannounced(id, end));
    }
    planner.decide(end, &patient_deployment(&MANY_MODELS))
}

/// Requests wait for each of the models.
fn wait_for_all(planner: &mut Planner, now: Millis, models: &[&str]) {
    let demand = models.iter().map(|model| Demand {
        requested: requested(model, None),
        arrived: 1,
        waiting: 1,
        objective_in_ms: Some(2_500),
        overdue_ms: None,
    });
    planner.update_load(now, &"entry".into(), Vec::new(), demand.collect());
}

fn reannounced(id: &str, number: u64) -> Announcement {
    Announcement {
        number,
        ..engine(id, &["a"])
    }
}

/// No request for a model has arrived yet, and no engine has its weights cached.
#[test]
fn models_without_cached_weights_are_loaded_while_the_store_is_free() {
    let mut planner = without_cached_weights(&["1", "2", "3", "4", "5", "6"]);
    let first = planner.decide(0, &patient_deployment(&MODELS));
    assert_eq!(first.len(), 1, "one, until requests come: {first:?}");
    assert_eq!(planner.store_wait_ms(10), 0, "one more load may begin");
    let second = loads_end(&mut planner, &first, 6_300);
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(planner.store_wait_ms(6_300), 0, "one more load may begin");
    let loads: BTreeSet<&Name> = [&first, &second].map(|c| c[0].op.model()).into();
    assert_eq!(loads.len(), 2, "each load is of another model");
    assert!(!loads.contains(&Name::from("a")));
}

/// Requests wait for more models than the store bears loads, and it runs four at full speed.
#[test]
fn loads_that_are_on_time_together_let_twice_as_many_begin() {
    let mut planner = without_cached_weights(&["1", "2", "3", "4", "5", "6"]);
    wait_for_all(&mut planner, 0, &MANY_MODELS[1..]);
    let first = planner.decide(0, &patient_deployment(&MANY_MODELS));
    assert_eq!(first.len(), 2, "two loads until they have ended: {first:?}");
    let wait_ms = planner.store_wait_ms(10);
    assert!(
        (5_000..=6_000).contains(&wait_ms),
        "store_wait_ms is {wait_ms}, expected 5,000 to 6,000"
    );
    wait_for_all(&mut planner, 6_300, &MANY_MODELS[1..]);
    let second = loads_end(&mut planner, &first, 6_300);
    assert_eq!(second.len(), 4, "{second:?}");
}

/// Guards against a store that is taken for all day by what was begun at once: of two loads that began
/// together the one was on time and the other behind it, four were begun then, and all of them were late.
#[test]
fn one_of_two_loads_that_is_on_time_lets_no_more_begin() {
    let mut planner = without_cached_weights(&["1", "2", "3", "4", "5", "6"]);
    let announce = |planner: &mut Planner, now: Millis| {
        for id in ["1", "2", "3", "4", "5", "6"] {
            planner.observe(now, &reannounced(id, now));
        }
    };
    wait_for_all(&mut planner, 0, &MANY_MODELS[1..]);
    let first = planner.decide(0, &patient_deployment(&MANY_MODELS));
    assert_eq!(first.len(), 2, "{first:?}");
    for on_time in [0, 1] {
        let mut planner = planner.clone();
        let late = &first[1 - on_time..2 - on_time];
        planner.command_answered(10, &late[0], Answer::Accepted);
        wait_for_all(&mut planner, 6_300, &MANY_MODELS[1..]);
        let second = loads_end(&mut planner, &first[on_time..=on_time], 6_300);
        assert_eq!(second.len(), 1, "two at a time at most: {second:?}");
        planner.command_answered(6_310, &second[0], Answer::Accepted);
        // The late one is overdue now, so the store sustains one; nothing begins until the last ends.
        for now in [9_000, 12_400, 15_000] {
            announce(&mut planner, now);
            wait_for_all(&mut planner, now, &MANY_MODELS[1..]);
            if now == 12_400 {
                let ended = report(1, &["a", late[0].op.model()]);
                planner.apply_report(now, &late[0].server, &ended);
            }
            let more = planner.decide(now, &patient_deployment(&MANY_MODELS));
            assert_eq!(more, Vec::new(), "at {now} ms");
        }
    }
}

/// Guards against a store that is taken by models that nobody asks for when the next caller comes. Nothing
/// shows yet that it bears two loads at a time.
#[test]
fn nothing_is_loaded_ahead_of_requests_while_callers_ask_unless_the_store_has_shown_room() {
    let mut planner = without_cached_weights(&["1", "2", "3", "4", "5", "6"]);
    let first = planner.decide(0, &patient_deployment(&MANY_MODELS));
    assert_eq!(first.len(), 1, "{first:?}");
    wait_for(&mut planner, 6_300, requested("a", None), Vec::new());
    let second = loads_end(&mut planner, &first, 6_300);
    assert_eq!(second, Vec::new());
    // Two loads that are on time together show that one may run ahead beside another.
    wait_for_all(&mut planner, 6_310, &["h", "i"]);
    let third = planner.decide(6_310, &patient_deployment(&MANY_MODELS));
    assert_eq!(third.len(), 2, "{third:?}");
    let fourth = loads_end(&mut planner, &third, 12_600);
    assert_eq!(fourth.len(), 1, "{fourth:?}");
}

#[test]
fn a_model_that_requests_wait_for_gets_the_reserved_load() {
    let models = ["a", "b", "c", "d", "e", "f", "g"];
    let mut planner = without_cached_weights(&["1", "2", "3", "4", "5", "6"]);
    let first = planner.decide(0, &patient_deployment(&MODELS));
    loads_end(&mut planner, &first, 6_300);
    wait_for(&mut planner, 6_310, requested("g", None), Vec::new());
    let urgent = planner.decide(6_310, &patient_deployment(&models));
    assert_eq!(only(&urgent).op, Op::Load("g".into()));
    let wait_ms = planner.store_wait_ms(6_310);
    assert!(
        (5_000..=6_000).contains(&wait_ms),
        "store_wait_ms is {wait_ms}, expected 5,000 to 6,000"
    );
}

/// A store serves one load at full speed. Four concurrent loads would all end only when the last of
/// four in a row does.
#[test]
fn loads_that_slow_each_other_down_run_one_after_the_other() {
    let mut planner = without_cached_weights(&["1", "2", "3", "4", "5", "6"]);
    wait_for_all(&mut planner, 0, &MANY_MODELS[1..]);
    let first = planner.decide(0, &patient_deployment(&MANY_MODELS));
    assert_eq!(first.len(), 2);
    // The first one began alone and is on time; another begins while the second is still in
    // progress.
    wait_for_all(&mut planner, 6_300, &MANY_MODELS[1..]);
    let second = loads_end(&mut planner, &first[..1], 6_300);
    assert_eq!(second.len(), 1, "{second:?}");
    wait_for_all(&mut planner, 12_300, &MANY_MODELS[1..]);
    let third = loads_end(&mut planner, &first[1..], 12_300);
    assert_eq!(third, Vec::new());
    wait_for_all(&mut planner, 18_300, &MANY_MODELS[1..]);
    let fourth = loads_end(&mut planner, &second, 18_300);
    assert_eq!(fourth.len(), 1, "{fourth:?}");
    assert!(planner.store_wait_ms(18_300) > 5_000);
}

/// A leader is lost in the middle of loads from the store.
#[test]
fn a_new_leader_counts_loads_of_the_old_one() {
    let mut planner = planner();
    let busy = Report {
        busy: true,
        ..report(3, &["a"])
    };
    for id in ["1", "2", "3"] {
        planner.observe(0, &engine(id, &["a"]));
    }
    for now in [0, 1_000, 2_100] {
        planner.apply_report(now, "1", &busy);
        planner.apply_report(now, "2", &busy);
    }
    planner.apply_report(2_100, "3", &report(0, &["a"]));
    wait_for(&mut planner, 2_100, requested("c", None), Vec::new());
    assert_eq!(
        planner.decide(2_100, &patient_deployment(&MODELS)),
        Vec::new()
    );
    planner.apply_report(2_200, "1", &report(3, &["a", "b"]));
    assert_eq!(planner.decide(2_200, &patient_deployment(&MODELS)).len(), 1);
}
