//! Versions of the document.

use lovageplank_core::fleet::document::{Document, DocumentState, Outcome};

fn document(version: u64, text: &str) -> Document {
    Document::new(version, text.as_bytes())
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
    let mut state = DocumentState::default();
    for (version, text, outcome, in_force, content) in cases {
        assert_eq!(state.apply(document(version, text)), outcome, "{version}");
        assert_eq!(state.version(), in_force);
        let current = state.current().expect("a document is in force");
        assert_eq!(
            current.bytes().expect("compressed data is valid"),
            content.as_bytes()
        );
    }
}

#[test]
fn version_0_is_applied_if_there_is_no_document() {
    let mut state = DocumentState::default();
    assert_eq!(state.apply(document(0, "first")), Outcome::InForce);
    assert_eq!(state.apply(document(0, "second")), Outcome::Overtaken);
}

#[test]
fn a_restored_store_applies_only_higher_versions() {
    let mut state = DocumentState::restored(Some(document(5, "kept")));
    assert_eq!(state.apply(document(5, "other")), Outcome::Overtaken);
    assert_eq!(state.apply(document(6, "next")), Outcome::InForce);
}

#[test]
fn a_document_is_kept_byte_for_byte() {
    let routes = "{\"name\":\"r-2b9wu3f\",\"host\":\"a.example\"},".repeat(2_000);
    let texts = ["", "x", "\u{0}\r\n", &routes];
    for text in texts {
        let document = document(1, text);
        assert_eq!(
            document.bytes().expect("compressed data is valid"),
            text.as_bytes()
        );
    }
    let mut packed = Vec::new();
    ciborium::into_writer(&document(1, &routes), &mut packed).expect("encodes");
    assert!(packed.len() * 10 < routes.len(), "{}", packed.len());
}
