//! Applying updates to a view: which are applied, and which are rejected so that the router needs a
//! full update.

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

/// Name of the case; updates with their sequence and whether each is applied; version of the tree and
/// its `deadline_ms` after them.
type Case = (&'static str, Vec<(u64, Update, bool)>, u64, Option<u64>);

fn cases() -> Vec<Case> {
    vec![
        (
            "edits apply to the preceding full tree",
            vec![(1, full_tree(3), true), (2, edits(3, 4), true)],
            4,
            Some(700),
        ),
        (
            "an update after a gap is rejected",
            vec![(1, full_tree(3), true), (3, edits(3, 4), false)],
            3,
            None,
        ),
        (
            "edits of another version are rejected",
            vec![(1, full_tree(3), true), (2, edits(4, 5), false)],
            3,
            None,
        ),
        (
            "an older full tree does not replace a newer one",
            vec![
                (1, full_tree(3), true),
                (2, edits(3, 4), true),
                (1, full_tree(3), true),
            ],
            4,
            Some(700),
        ),
        (
            "edits to an older version are ignored",
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
            assert_eq!(
                view.apply(update),
                applied,
                "{name}: update {sequence} applied"
            );
        }
        assert_eq!(view.tree.0, Version(version), "{name}: tree version");
        assert_eq!(
            view.tree.1.settings.deadline_ms, deadline_ms,
            "{name}: deadline_ms"
        );
    }
}
