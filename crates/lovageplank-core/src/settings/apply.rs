//! Makes the edits of a change, all of them or none.

use super::edit::TreePath;
use super::{Edit, Error, Tree, check, diff};
use crate::prelude::*;
use serde_json::Value;

/// What a change did to the tree, place by place.
pub(super) struct AppliedEdits {
    pub edits: Vec<Edit>,
    pub inverse: Vec<Edit>,
}

/// Makes the edits; names every error at once and leaves the tree as it was then.
pub(super) fn apply_edits(
    tree: &mut Arc<Tree>,
    edits: &[Edit],
    largest_engine_mb: &BTreeMap<Name, u64>,
) -> Result<AppliedEdits, Vec<Error>> {
    let is_leaf_edit =
        |edit: &Edit| TreePath::parse(&edit.path).is_ok_and(|tree_path| tree_path.is_leaf());
    if edits.iter().all(is_leaf_edit) {
        apply_in_place(Arc::make_mut(tree), edits, largest_engine_mb)
    } else {
        apply_to_copy(tree, edits, largest_engine_mb)
    }
}

/// Most changes set single values, so these are made in place: in a tree of many adapters, a copy
/// and a comparison of the whole cost far more than the edits.
fn apply_in_place(
    tree: &mut Tree,
    edits: &[Edit],
    largest_engine_mb: &BTreeMap<Name, u64>,
) -> Result<AppliedEdits, Vec<Error>> {
    let memory_mb = check::memory_mb(tree);
    let mut errors = Vec::new();
    let mut previous: BTreeMap<String, Option<Value>> = BTreeMap::new();
    for edit in edits {
        let path =
            TreePath::parse(&edit.path).map_or_else(|e| e.path, |tree_path| tree_path.canonical());
        let old = tree.get(&path).unwrap_or_default();
        match tree.set(edit) {
            Ok(()) => {
                previous.entry(path).or_insert(old);
            }
            Err(edit_errors) => errors.extend(edit_errors),
        }
    }
    errors.extend(check::tree(tree));
    errors.extend(check::model_sizes(&memory_mb, tree, largest_engine_mb));
    let inverse = previous
        .into_iter()
        .map(|(path, value)| Edit { path, value });
    let inverse: Vec<Edit> = inverse.collect();
    if errors.is_empty() {
        return Ok(drop_unchanged(tree, inverse));
    }
    for edit in &inverse {
        tree.set(edit).expect("the value stood there before");
    }
    Err(errors)
}

/// Drops edits that changed nothing.
fn drop_unchanged(tree: &Tree, mut inverse: Vec<Edit>) -> AppliedEdits {
    let current = |edit: &Edit| tree.get(&edit.path).unwrap_or_default();
    inverse.retain(|edit| current(edit) != edit.value);
    let edit = |edit: &Edit| Edit {
        path: edit.path.clone(),
        value: current(edit),
    };
    let edits = inverse.iter().map(edit).collect();
    AppliedEdits { edits, inverse }
}

fn apply_to_copy(
    tree: &mut Arc<Tree>,
    edits: &[Edit],
    largest_engine_mb: &BTreeMap<Name, u64>,
) -> Result<AppliedEdits, Vec<Error>> {
    let mut edited = Tree::clone(tree);
    let mut errors = Vec::new();
    for edit in edits {
        if let Err(edit_errors) = edited.set(edit) {
            errors.extend(edit_errors);
        }
    }
    errors.extend(check::tree(&edited));
    errors.extend(check::model_sizes(
        &check::memory_mb(tree),
        &edited,
        largest_engine_mb,
    ));
    if !errors.is_empty() {
        return Err(errors);
    }
    let applied = AppliedEdits {
        edits: diff(tree, &edited),
        inverse: diff(&edited, tree),
    };
    *tree = Arc::new(edited);
    Ok(applied)
}
