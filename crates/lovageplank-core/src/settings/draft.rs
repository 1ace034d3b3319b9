//! Makes the edits of a change, all of them or none.

use super::edit::Place;
use super::{Edit, Error, Tree, check, diff};
use crate::prelude::*;
use serde_json::Value;

/// What a change did to the tree, place by place.
pub(super) struct Draft {
    pub edits: Vec<Edit>,
    pub inverse: Vec<Edit>,
}

/// Makes the edits; names every error at once and leaves the tree as it was then.
pub(super) fn apply(
    tree: &mut Arc<Tree>,
    edits: &[Edit],
    largest_mb: &BTreeMap<Name, u64>,
) -> Result<Draft, Vec<Error>> {
    let leaf = |edit: &Edit| Place::parse(&edit.path).is_ok_and(|place| place.is_leaf());
    if edits.iter().all(leaf) {
        leaves(Arc::make_mut(tree), edits, largest_mb)
    } else {
        parts(tree, edits, largest_mb)
    }
}

/// Most changes set single values, so these are made in place: in a tree of many adapters, a copy
/// and a comparison of the whole cost far more than the edits.
fn leaves(
    tree: &mut Tree,
    edits: &[Edit],
    largest_mb: &BTreeMap<Name, u64>,
) -> Result<Draft, Vec<Error>> {
    let memory_mb = check::memory_mb(tree);
    let mut errors = Vec::new();
    let mut before: BTreeMap<String, Option<Value>> = BTreeMap::new();
    for edit in edits {
        let path = Place::parse(&edit.path).map_or_else(|e| e.path, |place| place.path());
        let old = tree.get(&path).unwrap_or_default();
        match tree.set(edit) {
            Ok(()) => {
                before.entry(path).or_insert(old);
            }
            Err(found) => errors.extend(found),
        }
    }
    errors.extend(check::tree(tree));
    errors.extend(check::sizes(&memory_mb, tree, largest_mb));
    let inverse = before.into_iter().map(|(path, value)| Edit { path, value });
    let inverse: Vec<Edit> = inverse.collect();
    if errors.is_empty() {
        return Ok(changed(tree, inverse));
    }
    for edit in &inverse {
        tree.set(edit).expect("the value stood there before");
    }
    Err(errors)
}

/// Drops edits that changed nothing.
fn changed(tree: &Tree, mut inverse: Vec<Edit>) -> Draft {
    let now = |edit: &Edit| tree.get(&edit.path).unwrap_or_default();
    inverse.retain(|edit| now(edit) != edit.value);
    let edit = |edit: &Edit| Edit {
        path: edit.path.clone(),
        value: now(edit),
    };
    let edits = inverse.iter().map(edit).collect();
    Draft { edits, inverse }
}

fn parts(
    tree: &mut Arc<Tree>,
    edits: &[Edit],
    largest_mb: &BTreeMap<Name, u64>,
) -> Result<Draft, Vec<Error>> {
    let mut edited = Tree::clone(tree);
    let mut errors = Vec::new();
    for edit in edits {
        if let Err(found) = edited.set(edit) {
            errors.extend(found);
        }
    }
    errors.extend(check::tree(&edited));
    errors.extend(check::sizes(&check::memory_mb(tree), &edited, largest_mb));
    if !errors.is_empty() {
        return Err(errors);
    }
    let draft = Draft {
        edits: diff(tree, &edited),
        inverse: diff(&edited, tree),
    };
    *tree = Arc::new(edited);
    Ok(draft)
}
