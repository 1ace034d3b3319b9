//! Settings: paths, validation, versions and history.

use lovageplank_core::prelude::*;
use lovageplank_core::settings::{
    Accepted, Change, ChangeId, Edit, Level, MAX_HISTORY_CHANGES, RANGES, Refusal, Store, Tree,
    Version, diff,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const TREE: &str = r#"{
    "settings": {"deadline_ms": 30000, "max_replicas": 2},
    "services": {
        "drafting": {"settings": {"priority": 3}, "models": {
            "lime": {"version": "1", "memory_mb": 16000, "settings": {"deadline_ms": 5000},
                "adapters": {"salt": {"settings": {"priority": 7}}}},
            "sand": {"version": "1", "memory_mb": 8000}}},
        "orders": {"kind": "plain", "settings": {"idempotent": false}}}
}"#;

fn edit(path: &str, value: Value) -> Edit {
    let value = Some(value).filter(|v| !v.is_null());
    Edit {
        path: path.into(),
        value,
    }
}

fn change(id: &str, base: u64, edits: Vec<Edit>) -> Change {
    Change {
        id: ChangeId(id.into()),
        base: Version(base),
        author: "office".into(),
        at_ms: 0,
        edits,
    }
}

fn store() -> Store {
    let mut store = Store::default();
    let tree = serde_json::from_str(TREE).expect("JSON");
    let whole = change("first", 0, vec![edit("", tree)]);
    store.apply(&whole, &BTreeMap::new()).expect("valid");
    store
}

fn restored(store: &Store) -> Store {
    let mut bytes = Vec::new();
    ciborium::into_writer(store, &mut bytes).expect("the store is serializable");
    ciborium::from_reader(bytes.as_slice()).expect("the store is deserializable")
}

/// Path and value of an edit. If an error is expected: its path and a part of its reason.
type Row = (
    &'static str,
    &'static str,
    Option<(&'static str, &'static str)>,
);

const EDITS: &[Row] = &[
    ("deadline_ms", "5000", None),
    ("services/drafting/deadline_ms", "5000", None),
    ("services/drafting/models/lime/deadline_ms", "null", None),
    (
        "services/drafting/models/lime/settings/deadline_ms",
        "1",
        None,
    ),
    (
        "services/drafting/models/lime/adapters/salt/priority",
        "9",
        None,
    ),
    ("services/drafting/models/lime/adapters/moss", "{}", None),
    ("services/drafting/models/lime/adapters/salt", "null", None),
    ("services/drafting/models/lime/version", "\"2\"", None),
    ("services/drafting/models/lime", "null", None),
    ("services/drafting", "null", None),
    ("services/orders/kind", "\"engine\"", None),
    ("services/orders/callers", "[\"office\"]", None),
    ("caller_rate", "5", None),
    (
        "deadlin_ms",
        "5",
        Some(("deadlin_ms", "did you mean \"deadline_ms\"")),
    ),
    ("colour", "5", Some(("colour", "unknown name"))),
    (
        "deadline_ms",
        "\"5\"",
        Some(("deadline_ms", "whole number from 1 to 86400000")),
    ),
    (
        "deadline_ms",
        "0",
        Some(("deadline_ms", "whole number from 1 to 86400000")),
    ),
    ("deadline_ms", "1.5", Some(("deadline_ms", "whole number"))),
    (
        "retry_ratio",
        "11",
        Some(("retry_ratio", "number from 0 to 10")),
    ),
    ("idempotent", "1", Some(("idempotent", "true or false"))),
    ("callers", "\"office\"", Some(("callers", "list of names"))),
    (
        "services/draft/priority",
        "1",
        Some(("services/draft/priority", "no such service")),
    ),
    (
        "services/drafting/models/lme/priority",
        "1",
        Some((
            "services/drafting/models/lme/priority",
            "did you mean \"lime\"",
        )),
    ),
    (
        "services/drafting/models/gone",
        "null",
        Some(("services/drafting/models/gone", "unknown")),
    ),
    (
        "services/drafting/models/lime/version",
        "\"\"",
        Some(("services/drafting/models/lime/version", "expects a version")),
    ),
    (
        "services/drafting/models/lime/version",
        "null",
        Some(("services/drafting/models/lime/version", "expects a version")),
    ),
    (
        "services/drafting/models/lime/memory_mb",
        "0",
        Some(("services/drafting/models/lime/memory_mb", "from 1 to")),
    ),
    (
        "services/drafting/models/lime/memory_mb",
        "16001",
        Some((
            "services/drafting/models/lime/memory_mb",
            "the largest has 16000 MB",
        )),
    ),
    (
        "services/other",
        "{\"models\": {\"lime\": {\"version\": \"1\", \"memory_mb\": 1}}}",
        Some(("services/other/models/lime", "\"drafting\"")),
    ),
    (
        "services/orders/models/clay",
        "{\"version\": \"1\", \"memory_mb\": 1}",
        Some(("services/orders/models", "plain service has no models")),
    ),
    ("services/a:b", "{}", Some(("services/a:b", "no spaces"))),
    (
        "services/new",
        "{\"deadline_ms\": 5}",
        Some(("services/new/deadline_ms", "put it under \"settings\"")),
    ),
    (
        "services/new",
        "{\"kin\": 5}",
        Some(("services/new/kin", "did you mean \"kind\"")),
    ),
    (
        "services/drafting/kind",
        "\"engin\"",
        Some(("services/drafting/kind", "\"plain\"")),
    ),
    (
        "services/drafting/models",
        "{}",
        Some(("services/drafting/models", "unknown name")),
    ),
    (
        "no/such/place",
        "1",
        Some(("no/such/place", "no such place")),
    ),
    (
        "min_replicas",
        "3",
        Some(("min_replicas", "above max_replicas")),
    ),
    (
        "keep_alive_max_ms",
        "1",
        Some(("keep_alive_min_ms", "above keep_alive_max_ms")),
    ),
    ("", "null", Some(("", "can't be removed"))),
    ("", "[]", Some(("", "expects an object"))),
];

#[test]
fn edits_are_accepted_or_rejected_by_path_and_value() {
    let largest_mb = BTreeMap::from([(Name::from("drafting"), 16_000)]);
    for (path, value, expected) in EDITS {
        let mut store = store();
        let before = store.clone();
        let value: Value = serde_json::from_str(value).expect("JSON");
        let candidate = change("c", 1, vec![edit(path, value.clone())]);
        let result = store.apply(&candidate, &largest_mb);
        let Some((at, reason)) = expected else {
            let version = Version(2);
            assert_eq!(result, Ok(Accepted { version }), "{path} = {value}");
            let now = store.tree().get(path).expect("valid path");
            assert_eq!(now.is_none(), value.is_null(), "{path} = {value}");
            continue;
        };
        let Err(Refusal::Invalid(errors)) = result else {
            panic!("{path} = {value}: {result:?}");
        };
        assert_eq!(errors.len(), 1, "{path} = {value}: {errors:?}");
        assert_eq!(errors[0].path, *at, "{path} = {value}");
        assert!(
            errors[0].reason.contains(reason),
            "{path} = {value}: {}",
            errors[0]
        );
        assert_eq!(store, before, "{path} = {value}");
    }
}

#[test]
fn parse_reports_every_error_in_a_document() {
    let text = r#"{"settings": {"deadline_ms": 0, "colour": 1}, "extra": {},
        "services": {"drafting": {"models": {"lime": {"memory_mb": 5, "adapters": []}}}}}"#;
    let errors = Tree::parse(text).expect_err("the document is invalid");
    let paths: BTreeSet<&str> = errors.iter().map(|e| e.path.as_str()).collect();
    let lime = "services/drafting/models/lime";
    let expected = [
        "colour",
        "deadline_ms",
        "extra",
        &format!("{lime}/adapters"),
        &format!("{lime}/version"),
    ];
    assert_eq!(paths, BTreeSet::from(expected));
}

#[test]
fn effective_settings_name_their_origin_level() {
    let store = store();
    let salt = "services/drafting/models/lime/adapters/salt";
    let rows = [
        ("", "priority", json!(5), Level::Default),
        ("", "deadline_ms", json!(30_000), Level::Deployment),
        ("services/drafting", "priority", json!(3), Level::Service),
        (
            "services/drafting/models/lime",
            "deadline_ms",
            json!(5_000),
            Level::Model,
        ),
        (
            "services/drafting/models/lime",
            "priority",
            json!(3),
            Level::Service,
        ),
        (salt, "priority", json!(7), Level::Adapter),
        (salt, "max_replicas", json!(2), Level::Deployment),
    ];
    for (path, key, value, level) in rows {
        let resolved = store
            .tree()
            .effective_with_origin(path)
            .expect("existing part of the tree");
        assert_eq!(resolved.len(), RANGES.len());
        assert_eq!(
            (&resolved[key].value, resolved[key].level),
            (&value, level),
            "{path} {key}"
        );
    }
    let one = store
        .tree()
        .effective_with_origin(&format!("{salt}/priority"));
    assert_eq!(one.expect("existing setting").len(), 1);
    assert!(store.tree().effective_with_origin("services/gone").is_err());
}

#[test]
fn engine_size_limits_only_changes_that_enlarge_a_model() {
    let mut store = store();
    let largest_mb = BTreeMap::from([(Name::from("drafting"), 1_000)]);
    let other = change("a", 1, vec![edit("priority", json!(1))]);
    assert!(store.apply(&other, &largest_mb).is_ok());
    let smaller = edit("services/drafting/models/lime/memory_mb", json!(2_000));
    assert!(
        store
            .apply(&change("b", 2, vec![smaller]), &largest_mb)
            .is_ok()
    );
    let larger = edit("services/drafting/models/lime/memory_mb", json!(2_001));
    assert!(
        store
            .apply(&change("c", 3, vec![larger]), &largest_mb)
            .is_err()
    );
}

/// Reference model: the tree of each version, and each accepted change with its version.
struct ReferenceModel {
    trees: Vec<Tree>,
    accepted: Vec<(Change, Version)>,
}

fn random_edit(rng: &mut StdRng) -> Edit {
    let models = ["lime", "sand", "clay"];
    let model = format!(
        "services/drafting/models/{}",
        models.choose(rng).expect("some")
    );
    let number = rng.random_range(0..40_u64);
    let value = |some: Value, rng: &mut StdRng| {
        if rng.random_bool(0.3) {
            Value::Null
        } else {
            some
        }
    };
    match rng.random_range(0..8) {
        0 => edit("deadline_ms", value(json!(number), rng)),
        1 => edit("services/drafting/caller_rate", value(json!(number), rng)),
        2 => edit(&format!("{model}/deadline_ms"), value(json!(number), rng)),
        3 => edit(&format!("{model}/version"), json!(number.to_string())),
        4 => edit(
            &model,
            value(json!({"version": "1", "memory_mb": number}), rng),
        ),
        5 => edit(&format!("{model}/adapters/moss"), value(json!({}), rng)),
        6 => edit(&format!("{model}/adapters/moss/priority"), json!(number)),
        _ => edit("callers", value(json!(["office", number.to_string()]), rng)),
    }
}

#[test]
fn random_changes_match_a_reference_model() {
    let (mut accepted, mut refused, mut conflicts) = (0, 0, 0);
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = store();
        let first = Tree::parse(TREE).expect("valid");
        let mut reference = ReferenceModel {
            trees: vec![Tree::default(), first],
            accepted: Vec::new(),
        };
        for step in 0..200 {
            let behind = u64::from(rng.random_bool(0.2));
            let base = store.version().0 - behind;
            let count = rng.random_range(1..3);
            let edits = (0..count).map(|_| random_edit(&mut rng)).collect();
            let candidate = change(&format!("c{step}"), base, edits);
            let before = store.version();
            match store.apply(&candidate, &BTreeMap::new()) {
                Ok(Accepted { version }) => {
                    assert_eq!(version, Version(before.0 + 1));
                    let mut tree = reference.trees.last().expect("some").clone();
                    candidate
                        .edits
                        .iter()
                        .for_each(|e| tree.set(e).expect("valid"));
                    reference.trees.push(tree);
                    reference.accepted.push((candidate, version));
                    accepted += 1;
                }
                Err(Refusal::Conflict { current, paths, .. }) => {
                    assert_eq!((behind, current), (1, before));
                    let last = reference.trees.len() - 1;
                    let edits = diff(&reference.trees[last - 1], &reference.trees[last]);
                    let changed: BTreeSet<String> = edits.into_iter().map(|e| e.path).collect();
                    assert_eq!(paths, changed.into_iter().collect::<Vec<_>>());
                    conflicts += 1;
                }
                Err(_) => refused += 1,
            }
            if rng.random_bool(0.1) {
                store = restored(&store);
            }
            if let Some((resent, version)) = reference.accepted.choose(&mut rng) {
                let version = *version;
                assert_eq!(
                    store.apply(resent, &BTreeMap::new()),
                    Ok(Accepted { version })
                );
            }
            assert_eq!(Some(&**store.tree()), reference.trees.last());
        }
        for (version, tree) in reference.trees.iter().enumerate() {
            let version = Version(version as u64);
            assert_eq!(store.tree_at(version).as_ref(), Some(tree), "{version:?}");
        }
        let mut follower = reference.trees[3].clone();
        for edit in store.edits_since(Version(3)).expect("kept") {
            follower.set(&edit).expect("valid");
        }
        assert_eq!(follower, **store.tree());
        let (a, b) = (&reference.trees[3], reference.trees.last().expect("some"));
        let mut between = a.clone();
        for edit in diff(a, b) {
            between.set(&edit).expect("valid");
        }
        assert_eq!(between, *b);
    }
    assert!(accepted > 1_000 && refused > 500 && conflicts > 500);
}

#[test]
fn history_is_bounded_and_discarded_versions_are_not_restored() {
    let mut store = store();
    let versions = MAX_HISTORY_CHANGES as u64 + 10;
    for version in 1..versions {
        let value = json!(version);
        let candidate = change(
            &format!("c{version}"),
            version,
            vec![edit("queue_limit", value)],
        );
        store.apply(&candidate, &BTreeMap::new()).expect("valid");
    }
    assert_eq!(store.history().len(), MAX_HISTORY_CHANGES);
    assert_eq!(store.oldest_version(), Version(10));
    let rollback = |to| store.rollback(Version(to), ChangeId("r".into()), "office".into(), 0);
    let oldest = Version(10);
    assert_eq!(rollback(9), Err(Refusal::Forgotten { oldest }));
    let back = rollback(10).expect("kept");
    assert_eq!(back.edits, [edit("queue_limit", json!(9))]);
    let mut store = store.clone();
    let version = Version(versions + 1);
    assert_eq!(
        store.apply(&back, &BTreeMap::new()),
        Ok(Accepted { version })
    );
    let last = store.history().next_back().expect("some");
    assert_eq!(last.inverse, [edit("queue_limit", json!(versions - 1))]);
    // The base is no longer in the history, but the id of the change is still kept.
    let first = change("c2", 2, vec![edit("queue_limit", json!(2))]);
    let version = Version(3);
    assert_eq!(
        store.apply(&first, &BTreeMap::new()),
        Ok(Accepted { version })
    );
}
