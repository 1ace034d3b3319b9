//! Differences between two trees.

use super::read::join;
use super::{Adapter, Edit, Model, RANGES, Service, Tree, Values};
use crate::prelude::*;
use serde::Serialize;

/// The edits that turn `a` into `b`.
///
/// Each differing setting, kind, version and memory size is one edit. A service, model or adapter
/// that exists in one tree only is a single edit that adds or removes it.
/// Edits are in the order of the tree; among siblings, removals come first.
pub fn diff(a: &Tree, b: &Tree) -> Vec<Edit> {
    let mut edits = Vec::new();
    values("", &a.settings, &b.settings, &mut edits);
    diff_children("services", &a.services, &b.services, &mut edits, service);
    edits
}

fn service(path: &str, a: &Service, b: &Service, edits: &mut Vec<Edit>) {
    diff_leaf(path, "kind", &a.kind, &b.kind, edits);
    values(path, &a.settings, &b.settings, edits);
    diff_children(&join(path, "models"), &a.models, &b.models, edits, model);
}

fn model(path: &str, a: &Model, b: &Model, edits: &mut Vec<Edit>) {
    diff_leaf(path, "version", &a.version, &b.version, edits);
    diff_leaf(path, "memory_mb", &a.memory_mb, &b.memory_mb, edits);
    values(path, &a.settings, &b.settings, edits);
    let path = join(path, "adapters");
    diff_children(&path, &a.adapters, &b.adapters, edits, adapter);
}

fn adapter(path: &str, a: &Adapter, b: &Adapter, edits: &mut Vec<Edit>) {
    values(path, &a.settings, &b.settings, edits);
}

fn values(path: &str, a: &Values, b: &Values, edits: &mut Vec<Edit>) {
    if a == b {
        return;
    }
    for (key, ..) in RANGES {
        let value = b.get(key);
        if a.get(key) != value {
            let path = join(path, key);
            edits.push(Edit { path, value });
        }
    }
}

fn diff_leaf<T: Serialize + PartialEq>(path: &str, key: &str, a: &T, b: &T, edits: &mut Vec<Edit>) {
    if a != b {
        edits.push(set_edit(join(path, key), b));
    }
}

fn diff_children<T: Serialize + PartialEq>(
    path: &str,
    a: &BTreeMap<Name, T>,
    b: &BTreeMap<Name, T>,
    edits: &mut Vec<Edit>,
    diff_child: impl Fn(&str, &T, &T, &mut Vec<Edit>),
) {
    for name in a.keys().filter(|name| !b.contains_key(*name)) {
        let path = join(path, name);
        edits.push(Edit { path, value: None });
    }
    for (name, new) in b {
        match a.get(name) {
            Some(old) if old == new => {}
            Some(old) => diff_child(&join(path, name), old, new, edits),
            None => edits.push(set_edit(join(path, name), new)),
        }
    }
}

fn set_edit(path: String, value: &impl Serialize) -> Edit {
    let value = serde_json::to_value(value).ok();
    Edit { path, value }
}
