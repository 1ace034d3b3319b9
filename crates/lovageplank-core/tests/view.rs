//! Folding updates into a view: what is applied, and what asks for everything anew.

use lovageplank_core::settings::{Edit, Tree, Version};
use lovageplank_core::view::{TreeEdits, Update, View};
use std::sync::Arc;

fn edits(from: u64, to: u64, deadline_ms: u64) -> Option<TreeEdits> {
    let edit = Edit {
        path: "deadline_ms".into(),
        value: Some(deadline_ms.into()),
    };
    Some(TreeEdits {
        from: Version(from),
        to: Version(to),
        edits: vec![edit],
    })
}

fn whole(version: u64) -> Option<(Version, Arc<Tree>)> {
    Some((Version(version), Arc::default()))
}

/// Updates in their order, each with whether it is folded in, and the version at the end.
struct Case {
    name: &'static str,
    updates: Vec<(Update, bool)>,
    version: u64,
    deadline_ms: Option<u64>,
}

fn update(sequence: u64, full: bool) -> Update {
    Update {
        sequence,
        full,
        ..Update::default()
    }
}

#[test]
fn updates_fold_in_order() {
    let cases = [
        Case {
            name: "edits follow the whole tree",
            updates: vec![
                (
                    Update {
                        tree: whole(3),
                        ..update(1, true)
                    },
                    true,
                ),
                (
                    Update {
                        tree_edits: edits(3, 4, 700),
                        ..update(2, false)
                    },
                    true,
                ),
            ],
            version: 4,
            deadline_ms: Some(700),
        },
        Case {
            name: "a missing update is noticed",
            updates: vec![
                (
                    Update {
                        tree: whole(3),
                        ..update(1, true)
                    },
                    true,
                ),
                (
                    Update {
                        tree_edits: edits(3, 4, 700),
                        ..update(3, false)
                    },
                    false,
                ),
            ],
            version: 3,
            deadline_ms: None,
        },
        Case {
            name: "edits on another base are not made",
            updates: vec![
                (
                    Update {
                        tree: whole(3),
                        ..update(1, true)
                    },
                    true,
                ),
                (
                    Update {
                        tree_edits: edits(4, 5, 700),
                        ..update(2, false)
                    },
                    false,
                ),
            ],
            version: 3,
            deadline_ms: None,
        },
        Case {
            name: "an older whole tree does not bring old settings back",
            updates: vec![
                (
                    Update {
                        tree: whole(3),
                        ..update(1, true)
                    },
                    true,
                ),
                (
                    Update {
                        tree_edits: edits(3, 4, 700),
                        ..update(2, false)
                    },
                    true,
                ),
                (
                    Update {
                        tree: whole(3),
                        ..update(1, true)
                    },
                    true,
                ),
            ],
            version: 4,
            deadline_ms: Some(700),
        },
        Case {
            name: "edits that are known already change nothing",
            updates: vec![
                (
                    Update {
                        tree: whole(5),
                        ..update(1, true)
                    },
                    true,
                ),
                (
                    Update {
                        tree_edits: edits(3, 4, 700),
                        ..update(2, false)
                    },
                    true,
                ),
            ],
            version: 5,
            deadline_ms: None,
        },
    ];
    for case in cases {
        let mut view = View::default();
        for (update, folded) in case.updates {
            assert_eq!(view.apply(update), folded, "{}", case.name);
        }
        assert_eq!(view.tree.0, Version(case.version), "{}", case.name);
        assert_eq!(
            view.tree.1.settings.deadline_ms, case.deadline_ms,
            "{}",
            case.name
        );
    }
}
