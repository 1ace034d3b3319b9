//! The document's versions.

use lovageplank_core::fleet::document::{Document, Outcome, Store};

fn document(version: u64, text: &str) -> Document {
    Document {
        version,
        bytes: text.as_bytes().to_vec(),
    }
}

#[test]
fn the_highest_version_is_in_force_whatever_the_order() {
    // (version, text, outcome, version and text in force afterwards)
    let cases = [
        (3, "a", Outcome::InForce, 3, "a"),
        (3, "a", Outcome::Overtaken, 3, "a"),
        (3, "other content", Outcome::Overtaken, 3, "a"),
        (2, "older", Outcome::Overtaken, 3, "a"),
        (9, "b", Outcome::InForce, 9, "b"),
        (4, "late", Outcome::Overtaken, 9, "b"),
    ];
    let mut store = Store::default();
    for (version, text, outcome, in_force, content) in cases {
        assert_eq!(store.apply(document(version, text)), outcome, "{version}");
        assert_eq!(store.version(), in_force);
        let current = store.current().expect("one is in force");
        assert_eq!(current.bytes, content.as_bytes());
    }
}

#[test]
fn version_0_is_taken_when_there_is_none() {
    let mut store = Store::default();
    assert_eq!(store.apply(document(0, "first")), Outcome::InForce);
    assert_eq!(store.apply(document(0, "second")), Outcome::Overtaken);
}

#[test]
fn a_restored_store_goes_on_from_its_document() {
    let mut store = Store::restored(Some(document(5, "kept")));
    assert_eq!(store.apply(document(5, "other")), Outcome::Overtaken);
    assert_eq!(store.apply(document(6, "next")), Outcome::InForce);
}
