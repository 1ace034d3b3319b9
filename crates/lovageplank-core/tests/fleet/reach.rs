//! When a router counts as cut off from all servers.

use lovageplank_core::fleet::reach::{Change, Reach};
use lovageplank_core::prelude::*;

/// Failed attempts at these servers, one each 100 ms; returns the changes.
fn fail(reach: &mut Reach, from: Millis, servers: &[&str], known: usize) -> Vec<Change> {
    let at = (from..).step_by(100).zip(servers);
    at.filter_map(|(now, server)| reach.failed(now, &Name::from(*server), known))
        .collect()
}

#[test]
fn a_router_is_cut_off_when_several_servers_fail_and_none_is_reached() {
    // (servers that fail in turn, known servers, whether the router counts as cut off)
    let cases: [(&[&str], usize, bool); 6] = [
        (&["a", "b", "c"], 12, true),
        (&["a", "a", "a", "a"], 12, false),
        (&["a", "b", "a", "b"], 12, false),
        (&["a", "b"], 2, true),
        (&["a"], 1, false),
        (&["a"], 0, false),
    ];
    for (servers, known, expected) in cases {
        let mut reach = Reach::default();
        let changes = fail(&mut reach, 0, servers, known);
        let expected_changes = if expected {
            vec![Change::CutOff]
        } else {
            Vec::new()
        };
        assert_eq!(changes, expected_changes, "{servers:?}");
        assert_eq!(reach.is_cut_off(), expected, "{servers:?}");
    }
}

#[test]
fn one_connection_ends_it_and_old_failures_do_not_count() {
    let mut reach = Reach::default();
    assert_eq!(fail(&mut reach, 0, &["a", "b"], 12), []);
    assert_eq!(reach.opened(), None);
    assert_eq!(fail(&mut reach, 300, &["c", "d"], 12), []);
    assert_eq!(
        fail(&mut reach, 5_000, &["e", "f"], 12),
        [],
        "c and d are too old"
    );
    assert_eq!(fail(&mut reach, 5_200, &["a"], 12), [Change::CutOff]);
    assert_eq!(fail(&mut reach, 9_000, &["a"], 12), [], "it stays cut off");
    assert!(reach.is_cut_off());
    assert_eq!(reach.opened(), Some(Change::Restored));
    assert!(!reach.is_cut_off());
}
