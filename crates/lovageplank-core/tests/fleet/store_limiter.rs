//! Loads from the weight store: seeds, and how many at once.

use crate::placement::{MODELS, only, planner, report, requested, wait_for};
use crate::samples::{deployment, engine};
use lovageplank_core::fleet::placement::{Answer, Command, Op, Planner, Report};
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::prelude::*;

/// Engines that hold nothing but `a` and have no other copies, as numbered.
fn without_copies(ids: &[&str]) -> Planner {
    let mut planner = planner();
    for id in ids {
        planner.observe(0, &engine(id, &["a"]));
        planner.report(0, id, &report(0, &["a"]));
    }
    planner
}

/// Accepts loads and lets them end at `end`; gives what is commanded then.
fn loads_end(planner: &mut Planner, commands: &[Command], end: Millis) -> Vec<Command> {
    for command in commands {
        planner.command_answered(10, command, Answer::Accepted);
    }
    for command in commands {
        let held = report(command.expected + 1, &["a", command.op.model()]);
        planner.observe(end, &reannounced(&command.server, end));
        planner.report(end, &command.server, &held);
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

/// Pattern: nobody has asked for a model yet, and no engine has a copy of it.
#[test]
fn models_without_a_copy_are_seeded_while_the_store_is_free() {
    let mut planner = without_copies(&["1", "2", "3", "4", "5", "6"]);
    let first = planner.decide(0, &deployment(&MODELS));
    let loads: BTreeSet<&Name> = first.iter().map(|o| o.op.model()).collect();
    assert_eq!(
        first.len(),
        2,
        "as long as the store isn't known: {first:?}"
    );
    assert_eq!(loads.len(), 2, "each another model");
    assert!(!loads.contains(&Name::from("a")));
    let wait_ms = planner.store_wait_ms(10);
    assert!((5_000..=6_000).contains(&wait_ms), "{wait_ms}");
    // Both were on time, so four may run; one of them is left for requests.
    let second = loads_end(&mut planner, &first, 6_300);
    assert_eq!(second.len(), 3, "{second:?}");
    assert_eq!(planner.store_wait_ms(6_300), 0, "one more may begin");
}

#[test]
fn a_model_that_requests_wait_for_gets_the_load_that_is_left() {
    let models = ["a", "b", "c", "d", "e", "f", "g"];
    let mut planner = without_copies(&["1", "2", "3", "4", "5", "6"]);
    let first = planner.decide(0, &deployment(&MODELS));
    loads_end(&mut planner, &first, 6_300);
    wait_for(&mut planner, 6_310, requested("g", None), Vec::new());
    let urgent = planner.decide(6_310, &deployment(&models));
    assert_eq!(only(&urgent).op, Op::Load("g".into()));
    let wait_ms = planner.store_wait_ms(6_310);
    assert!((5_000..=6_000).contains(&wait_ms), "{wait_ms}");
}

/// Pattern: a store that serves one load at full speed. Four at once would all come when the last
/// of four in a row does.
#[test]
fn loads_that_slow_each_other_down_go_one_after_the_other() {
    let mut planner = without_copies(&["1", "2", "3", "4", "5", "6"]);
    let first = planner.decide(0, &deployment(&MODELS));
    assert_eq!(first.len(), 2);
    // The first one began alone and is on time; another begins with the second still on its way.
    let second = loads_end(&mut planner, &first[..1], 6_300);
    assert_eq!(second.len(), 1, "{second:?}");
    let third = loads_end(&mut planner, &first[1..], 12_300);
    assert_eq!(third, Vec::new());
    let fourth = loads_end(&mut planner, &second, 18_300);
    assert_eq!(fourth.len(), 1, "{fourth:?}");
    assert!(planner.store_wait_ms(18_300) > 5_000);
}

/// Pattern: a leader is lost in the middle of loads from the store.
#[test]
fn a_new_leader_counts_what_the_old_one_loads() {
    let mut planner = planner();
    let busy = Report {
        busy: true,
        ..report(3, &["a"])
    };
    for id in ["1", "2", "3"] {
        planner.observe(0, &engine(id, &["a"]));
    }
    for now in [0, 1_000, 2_100] {
        planner.report(now, "1", &busy);
        planner.report(now, "2", &busy);
    }
    planner.report(2_100, "3", &report(0, &["a"]));
    assert_eq!(planner.decide(2_100, &deployment(&MODELS)), Vec::new());
    planner.report(2_200, "1", &report(3, &["a", "b"]));
    assert_eq!(planner.decide(2_200, &deployment(&MODELS)).len(), 1);
}
