//! Cut files and flipped bits.

use crate::memory::Memory;
use crate::workload::{batches, entries, states, vote};
use lovageplank_core::consensus::{Output, StoredState};
use lovageplank_disk::{Error, Folder};

const LOG: &str = "log-0000000000000001";

/// Batches that stay in one log file.
fn plain_batches() -> Vec<Vec<Output>> {
    vec![
        vec![vote(1), entries(1, 1..3)],
        vec![entries(1, 3..5)],
        vec![vote(2)],
        vec![entries(2, 4..8)],
    ]
}

/// A disk with these batches, and the length of the log before the first and after each.
fn written(batches: &[Vec<Output>]) -> (Memory, Vec<usize>) {
    let memory = Memory::default();
    let (mut folder, _) = Folder::open_on(memory.clone()).expect("an empty disk");
    let mut lengths = vec![memory.get(LOG).len()];
    for batch in batches {
        folder.write(batch);
        folder.sync().expect("the disk works");
        if memory.names().iter().any(|name| name == LOG) {
            lengths.push(memory.get(LOG).len());
        }
    }
    (memory, lengths)
}

fn recover(memory: &Memory) -> Result<StoredState, Error> {
    Folder::open_on(memory.clone()).map(|(_, stored)| stored)
}

fn assert_refused(memory: &Memory, file: &str, at: usize, what: &str) {
    let error = recover(memory).expect_err(what);
    assert!(error.is_corrupt(), "{what}: {error}");
    assert_eq!(error.file(), file, "{what}: {error}");
    let offset = error.offset().expect("damage has an offset");
    assert!(offset <= at as u64, "{what}: {error}");
    assert!(error.to_string().contains("remove the data folder"));
}

#[test]
fn a_log_cut_anywhere_brings_back_the_batches_before_the_cut() {
    let batches = plain_batches();
    let states = states(&batches);
    let (memory, lengths) = written(&batches);
    let log = memory.get(LOG);
    for length in 0..log.len() {
        let copy = memory.copy();
        copy.set(LOG, log[..length].to_vec());
        if length < lengths[0] {
            // The head of a file is durable before the file has its name.
            assert_refused(&copy, LOG, length, "a cut head");
            continue;
        }
        let whole = lengths.iter().filter(|end| **end <= length).count() - 1;
        let stored = recover(&copy).expect("a torn tail is cut off");
        assert_eq!(stored, states[whole], "cut at {length}");
        assert_eq!(copy.get(LOG).len(), lengths[whole], "cut at {length}");
    }
}

#[test]
fn a_flipped_bit_is_refused_wherever_it_is() {
    let (memory, _) = written(&plain_batches());
    let log = memory.get(LOG);
    for bit in 0..log.len() * 8 {
        let copy = memory.copy();
        let mut flipped = log.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        copy.set(LOG, flipped);
        assert_refused(&copy, LOG, bit / 8, "a flipped bit");
    }
}

#[test]
fn zeroes_in_place_of_the_last_write_are_cut_off_and_elsewhere_refused() {
    let batches = plain_batches();
    let states = states(&batches);
    let (memory, lengths) = written(&batches);
    let log = memory.get(LOG);
    let last = lengths[lengths.len() - 2];
    for place in last..log.len() {
        let copy = memory.copy();
        let mut zeroed = log.clone();
        zeroed[place..].fill(0);
        copy.set(LOG, zeroed);
        let stored = recover(&copy).expect("a torn tail is cut off");
        assert_eq!(stored, states[states.len() - 2], "zero from {place}");

        let mut damaged = copy.get(LOG);
        damaged.resize(log.len(), 0);
        damaged[lengths[0]] ^= 1;
        copy.set(LOG, damaged);
        assert_refused(&copy, LOG, lengths[0], "damage before a torn tail");
    }
    for place in 0..log.len() {
        let copy = memory.copy();
        let mut hole = log.clone();
        hole[place] = !log[place];
        copy.set(LOG, hole);
        assert_refused(&copy, LOG, place, "a changed byte");
    }
}

#[test]
fn every_other_file_is_needed_whole() {
    let (memory, _) = written(&batches());
    let names = memory.names();
    let last_log = names.iter().rfind(|name| name.starts_with("log-")).cloned();
    let needed = names.iter().filter(|name| {
        name.starts_with("snapshot-")
            || *name == "identity"
            || last_log.as_ref() > Some(*name) && name.starts_with("log-")
    });
    let mut count = 0;
    for name in needed {
        count += 1;
        let content = memory.get(name);
        for place in 0..content.len() {
            let copy = memory.copy();
            let mut flipped = content.clone();
            flipped[place] ^= 0x10;
            copy.set(name, flipped);
            assert_refused(&copy, name, place, "a flipped bit");
            copy.set(name, content[..place].to_vec());
            assert_refused(&copy, name, place, "a cut file");
        }
    }
    assert!(count >= 3, "identity, snapshot, an earlier log: {names:?}");
}

#[test]
fn a_log_of_another_identity_is_refused() {
    let (memory, _) = written(&plain_batches());
    let (other, _) = written(&plain_batches());
    memory.set(LOG, other.get(LOG));
    assert_refused(&memory, LOG, 0, "a foreign file");
    let without_identity = Memory::default();
    without_identity.set(LOG, other.get(LOG));
    assert_refused(&without_identity, "identity", 0, "no identity");
}
