//! Which servers are eligible, and which are preferred.

use crate::fixture::{DOMAINS, Fixture, backend, names, replica};
use lovageplank_core::backend::{Kind, State};
use lovageplank_core::route::{Requirements, ServerOutcome};
use lovageplank_core::view::{Backend, Phase, Replica, Update};

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
