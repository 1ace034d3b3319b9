//! Folding updates into a view: what is applied, and what asks for everything anew.

use lovageplank_core::settings::{Edit, Version};
use lovageplank_core::view::{TreeEdits, Update, View};
use std::sync::Arc;

fn edits(from: u64, to: u64) -> Update {
    let edit = Edit {
        path: "deadline_ms".into(),
        value: Some(700.into()),
    };
    let edits = TreeEdits {
        from: Version(from),
        to: Version(to),
        edits: vec![edit],
    };
    Update {
        tree_edits: Some(edits),
        ..Update::default()
    }
}

fn full_tree(version: u64) -> Update {
    Update {
        full: true,
        tree: Some((Version(version), Arc::default())),
        ..Update::default()
    }
}

/// Updates with their sequence and whether each is folded in; version and deadline at the end.
type Case = (&'static str, Vec<(u64, Update, bool)>, u64, Option<u64>);

fn cases() -> Vec<Case> {
    vec![
        (
            "edits follow the whole tree",
            vec![(1, full_tree(3), true), (2, edits(3, 4), true)],
            4,
            Some(700),
        ),
        (
            "a missing update is noticed",
            vec![(1, full_tree(3), true), (3, edits(3, 4), false)],
            3,
            None,
        ),
        (
            "edits on another base are not made",
            vec![(1, full_tree(3), true), (2, edits(4, 5), false)],
            3,
            None,
        ),
        (
            "an older whole tree does not bring old settings back",
            vec![
                (1, full_tree(3), true),
                (2, edits(3, 4), true),
                (1, full_tree(3), true),
            ],
            4,
            Some(700),
        ),
        (
            "edits that are known already change nothing",
            vec![(1, full_tree(5), true), (2, edits(3, 4), true)],
            5,
            None,
        ),
    ]
}

#[test]
fn updates_apply_in_sequence() {
    for (name, updates, version, deadline_ms) in cases() {
        let mut view = View::default();
        for (sequence, update, applied) in updates {
            let update = Update { sequence, ..update };
            assert_eq!(view.apply(update), applied, "{name}");
        }
        assert_eq!(view.tree.0, Version(version), "{name}");
        assert_eq!(view.tree.1.settings.deadline_ms, deadline_ms, "{name}");
    }
}
