//! Applies the edits of a change atomically.

use super::edit::TreePath;
use super::{Edit, Error, Tree, check, diff};
use crate::prelude::*;
use serde_json::Value;

/// Canonical edits of an applied change, without those that change nothing.
pub(super) struct AppliedEdits {
    pub edits: Vec<Edit>,
    /// The edits that revert `edits`.
    pub inverse: Vec<Edit>,
}

/// Applies the edits in order. On failure, returns every error found and leaves the tree unchanged.
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

/// Applies edits of single values in place, and reverts them on failure.
///
/// Most changes set single values only. In a tree with many adapters, copying and comparing the
/// whole tree costs far more than applying such edits.
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
        tree.set(edit).expect("the previous value is valid");
    }
    Err(errors)
}

/// Removes edits whose value is the same before and after the change.
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

/// Applies edits to a copy of the tree, which replaces the tree if it is valid.
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
