//! Truncated files, flipped bits and zeroed bytes.

use crate::faulty_storage::FaultyStorage;
use crate::workload::{batches, entries, states, vote};
use lovageplank_core::consensus::{Output, StoredState};
use lovageplank_disk::{Error, Folder};

const LOG: &str = "log-0000000000000001";

/// Batches without a snapshot, so that all records are in one log file.
fn log_only_batches() -> Vec<Vec<Output>> {
    vec![
        vec![vote(1), entries(1, 1..3)],
        vec![entries(1, 3..5)],
        vec![vote(2)],
        vec![entries(2, 4..8)],
    ]
}

/// Writes the batches to a new storage. Returns it with the length of the log before the first
/// batch and after each.
fn storage_with(batches: &[Vec<Output>]) -> (FaultyStorage, Vec<usize>) {
    let storage = FaultyStorage::default();
    let (mut folder, _) = Folder::open_storage(storage.clone()).expect("an empty disk");
    let mut lengths = vec![storage.get(LOG).len()];
    for batch in batches {
        folder.stage(batch);
        folder.sync().expect("the disk works");
        if storage.file_names().iter().any(|name| name == LOG) {
            lengths.push(storage.get(LOG).len());
        }
    }
    (storage, lengths)
}

fn recover(storage: &FaultyStorage) -> Result<StoredState, Error> {
    Folder::open_storage(storage.clone()).map(|(_, stored)| stored)
}

fn assert_refused(storage: &FaultyStorage, file: &str, damaged_offset: usize, damage: &str) {
    let error = recover(storage).expect_err(damage);
    assert!(error.is_corrupt(), "{damage}: {error}");
    assert_eq!(error.file(), file, "{damage}: {error}");
    let offset = error.offset().expect("an error about damage has an offset");
    assert!(offset <= damaged_offset as u64, "{damage}: {error}");
    assert!(error.to_string().contains("remove the data folder"));
}

#[test]
fn truncated_log_recovers_complete_batches() {
    let batches = log_only_batches();
    let states = states(&batches);
    let (storage, lengths) = storage_with(&batches);
    let log = storage.get(LOG);
    for length in 0..log.len() {
        let copy = storage.copy();
        copy.set(LOG, log[..length].to_vec());
        if length < lengths[0] {
            // A crash can't truncate the first frame, which is durable before the file is renamed.
            assert_refused(&copy, LOG, length, "a truncated first frame");
            continue;
        }
        let complete_frames = lengths.iter().filter(|end| **end <= length).count() - 1;
        let stored = recover(&copy).expect("a torn tail is truncated");
        assert_eq!(stored, states[complete_frames], "truncated at {length}");
        assert_eq!(
            copy.get(LOG).len(),
            lengths[complete_frames],
            "truncated at {length}"
        );
    }
}

#[test]
fn any_flipped_bit_in_log_is_refused() {
    let (storage, _) = storage_with(&log_only_batches());
    let log = storage.get(LOG);
    for bit in 0..log.len() * 8 {
        let copy = storage.copy();
        let mut flipped = log.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        copy.set(LOG, flipped);
        assert_refused(&copy, LOG, bit / 8, "a flipped bit");
    }
}

#[test]
fn zeroes_are_discarded_in_last_frame_and_refused_before_it() {
    let batches = log_only_batches();
    let states = states(&batches);
    let (storage, lengths) = storage_with(&batches);
    let log = storage.get(LOG);
    let last_frame = lengths[lengths.len() - 2];
    for offset in last_frame..log.len() {
        let copy = storage.copy();
        let mut zeroed = log.clone();
        zeroed[offset..].fill(0);
        copy.set(LOG, zeroed);
        let stored = recover(&copy).expect("a torn tail is truncated");
        assert_eq!(stored, states[states.len() - 2], "zeroes from {offset} on");

        let mut damaged = copy.get(LOG);
        damaged.resize(log.len(), 0);
        damaged[lengths[0]] ^= 1;
        copy.set(LOG, damaged);
        assert_refused(&copy, LOG, lengths[0], "damage before a torn tail");
    }
    for offset in 0..log.len() {
        let copy = storage.copy();
        let mut changed = log.clone();
        changed[offset] = !log[offset];
        copy.set(LOG, changed);
        assert_refused(&copy, LOG, offset, "a changed byte");
    }
}

#[test]
fn damage_in_other_files_is_refused() {
    let (storage, _) = storage_with(&batches());
    let names = storage.file_names();
    let last_log = names.iter().rfind(|name| name.starts_with("log-")).cloned();
    let required = names.iter().filter(|name| {
        name.starts_with("snapshot-")
            || *name == "identity"
            || last_log.as_ref() > Some(*name) && name.starts_with("log-")
    });
    let mut count = 0;
    for name in required {
        count += 1;
        let content = storage.get(name);
        for offset in 0..content.len() {
            let copy = storage.copy();
            let mut flipped = content.clone();
            flipped[offset] ^= 0x10;
            copy.set(name, flipped);
            assert_refused(&copy, name, offset, "a flipped bit");
            copy.set(name, content[..offset].to_vec());
            assert_refused(&copy, name, offset, "a truncated file");
        }
    }
    assert!(
        count >= 3,
        "expected identity, a snapshot and an earlier log: {names:?}"
    );
}

#[test]
fn log_of_another_identity_is_refused() {
    let (storage, _) = storage_with(&log_only_batches());
    let (other, _) = storage_with(&log_only_batches());
    storage.set(LOG, other.get(LOG));
    assert_refused(&storage, LOG, 0, "a log of another folder");
    let without_identity = FaultyStorage::default();
    without_identity.set(LOG, other.get(LOG));
    assert_refused(&without_identity, "identity", 0, "a missing identity");
}
