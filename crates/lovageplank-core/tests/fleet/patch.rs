//! Patches of the document: they result in the later version whatever was changed, are short for short changes, and are
//! refused for other bytes.

use lovageplank_core::fleet::patch::Patch;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;

const SEEDS: u64 = 200;
/// Bytes of a patch for each place that differs, in a document of many similar lines.
const BYTES_A_CHANGE: usize = 150;

/// A document with a line for each route, most of which are alike.
fn document(seed: u64, routes: usize) -> String {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut text = format!("{{\"version\":{seed},\"routes\":[");
    for number in 0..routes {
        let name: u64 = random.random();
        write!(text, "{{\"name\":\"r{number}-{name:x}\",\"kind\":\"safe\",\"timeout-ms\":1500,\"service\":\"desk\"}},")
            .expect("a string");
    }
    text + "]}"
}

/// Changes some bytes, inserts and removes others.
fn edited(document: &str, edits: usize, random: &mut SmallRng) -> Vec<u8> {
    let mut bytes = document.as_bytes().to_vec();
    for _ in 0..edits {
        let at = random.random_range(0..=bytes.len());
        let to = (at + random.random_range(0..60)).min(bytes.len());
        let length = random.random_range(0..60);
        let inserted: Vec<u8> = (0..length).map(|_| random.random()).collect();
        bytes.splice(at..to, inserted);
    }
    bytes
}

#[test]
fn patch_results_in_the_later_version_whatever_was_changed() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let base = document(seed, random.random_range(0..60));
        let later = edited(&base, random.random_range(0..8), &mut random);
        let patch = Patch::new((1, base.as_bytes()), (2, &later)).expect("a patch");
        assert_eq!((patch.base, patch.version), (1, 2), "seed {seed}");
        let patched = patch.apply(base.as_bytes()).expect("of these bytes");
        assert_eq!(patched, later, "seed {seed}");
    }
    for (base, later) in [("", ""), ("", "new"), ("old", ""), ("same", "same")] {
        let patch = Patch::new((1, base.as_bytes()), (2, later.as_bytes())).expect("a patch");
        assert_eq!(
            patch.apply(base.as_bytes()).expect("applies"),
            later.as_bytes()
        );
    }
}

/// Guards against a storm of changes to a long document that takes more of a leader's link than there is (CONFIG).
#[test]
fn patch_of_a_few_changes_to_a_long_document_is_short() {
    for seed in 0..5 {
        let base = document(seed, 2_000);
        let mut random = SmallRng::seed_from_u64(seed);
        for edits in 1..5 {
            let later = edited(&base, edits, &mut random);
            let patch = Patch::new((1, base.as_bytes()), (2, &later)).expect("a patch");
            let bytes = patch.compressed_bytes();
            assert!(
                bytes <= (edits + 1) * BYTES_A_CHANGE,
                "seed {seed}, {edits} edits: {bytes}"
            );
        }
    }
}

/// Guards against a router that puts a patch of other bytes in force.
#[test]
fn patch_of_other_bytes_is_refused() {
    let base = document(1, 40);
    let later = base.replace("1500", "1400");
    let patch = Patch::new((1, base.as_bytes()), (2, later.as_bytes())).expect("a patch");
    for other in [
        String::new(),
        base[1..].to_owned(),
        base.replace("safe", "sage"),
    ] {
        assert!(patch.apply(other.as_bytes()).is_err());
    }
}

/// Guards against a patch that takes the memory of the process that reads it.
#[test]
fn damaged_patch_is_refused() {
    let base = document(1, 40);
    let patch = Patch::new((1, base.as_bytes()), (2, b"other")).expect("a patch");
    let mut encoded = Vec::new();
    ciborium::into_writer(&patch, &mut encoded).expect("encodes");
    for at in 0..encoded.len() {
        for change in [0x01, 0x80, 0xff] {
            let mut damaged = encoded.clone();
            damaged[at] ^= change;
            let read: Result<Patch, _> = ciborium::from_reader(&*damaged);
            // The versions aren't under the checksum: a link loses no byte.
            if let Ok(patched) = read.map(|patch| patch.apply(base.as_bytes())) {
                assert!(patched.is_err() || patched.is_ok_and(|bytes| bytes == b"other"));
            }
        }
    }
}
