//! The effect of load, caches, and late or missing reports.

use crate::fixture::{Fixture, names, replica};
use lovageplank_core::backend::CacheEvent;
use lovageplank_core::route::{Requirements, ServerOutcome};
use lovageplank_core::view::{ServerLoad, Update};

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
