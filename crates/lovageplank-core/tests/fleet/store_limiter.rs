//! Loads from the weight store: models that no request waits for, and the number of concurrent
//! loads.

use crate::placement::{MODELS, only, planner, report, requested, wait_for};
use crate::samples::{deployment, engine};
use lovageplank_core::fleet::placement::{Answer, Command, Op, Planner, Report};
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::prelude::*;

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
    planner.decide(end, &deployment(&MODELS))
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
    let first = planner.decide(0, &deployment(&MODELS));
    let loads: BTreeSet<&Name> = first.iter().map(|command| command.op.model()).collect();
    assert_eq!(first.len(), 2, "two loads until one has ended: {first:?}");
    assert_eq!(loads.len(), 2, "each load is of another model");
    assert!(!loads.contains(&Name::from("a")));
    let wait_ms = planner.store_wait_ms(10);
    assert!(
        (5_000..=6_000).contains(&wait_ms),
        "store_wait_ms is {wait_ms}, expected 5,000 to 6,000"
    );
    // Both were on time, so four may run; one of them is kept free for requests.
    let second = loads_end(&mut planner, &first, 6_300);
    assert_eq!(second.len(), 3, "{second:?}");
    assert_eq!(planner.store_wait_ms(6_300), 0, "one more load may begin");
}

#[test]
fn a_model_that_requests_wait_for_gets_the_reserved_load() {
    let models = ["a", "b", "c", "d", "e", "f", "g"];
    let mut planner = without_cached_weights(&["1", "2", "3", "4", "5", "6"]);
    let first = planner.decide(0, &deployment(&MODELS));
    loads_end(&mut planner, &first, 6_300);
    wait_for(&mut planner, 6_310, requested("g", None), Vec::new());
    let urgent = planner.decide(6_310, &deployment(&models));
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
    let first = planner.decide(0, &deployment(&MODELS));
    assert_eq!(first.len(), 2);
    // The first one began alone and is on time; another begins while the second is still in
    // progress.
    let second = loads_end(&mut planner, &first[..1], 6_300);
    assert_eq!(second.len(), 1, "{second:?}");
    let third = loads_end(&mut planner, &first[1..], 12_300);
    assert_eq!(third, Vec::new());
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
    assert_eq!(planner.decide(2_100, &deployment(&MODELS)), Vec::new());
    planner.apply_report(2_200, "1", &report(3, &["a", "b"]));
    assert_eq!(planner.decide(2_200, &deployment(&MODELS)).len(), 1);
}
