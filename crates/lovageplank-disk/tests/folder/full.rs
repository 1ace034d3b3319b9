//! The disk is full.

use crate::memory::Memory;
use crate::workload::{batches, entries, states, vote};
use lovageplank_core::consensus::{Output, Stored};
use lovageplank_disk::Folder;

fn used(memory: &Memory) -> usize {
    let names = memory.names();
    names.iter().map(|name| memory.get(name).len()).sum()
}

#[test]
fn the_reserve_takes_the_batch_at_hand() {
    let memory = Memory::default();
    let (mut folder, _) = Folder::open_on(memory.clone()).expect("an empty disk");
    assert!(folder.check_space().expect("works"));
    memory.disk().capacity = Some(used(&memory) + 10);
    folder.write(&[entries(1, 1..50)]);
    folder.sync().expect("the reserve is given up");
    assert!(!folder.check_space().expect("works"), "no room for entries");
    folder.write(&[vote(2)]);
    folder.sync().expect("a vote fits");
    memory.disk().capacity = None;
    assert!(folder.check_space().expect("works"), "room again");
    let (_, stored) = Folder::open_on(memory).expect("whole");
    assert_eq!(stored.entries.len(), 49);
}

#[test]
fn a_refused_batch_leaves_the_folder_as_it_was() {
    let batches = batches();
    let states = states(&batches);
    for refused in 0..batches.len() {
        for room in [0, 3, 30] {
            let memory = Memory::default();
            memory.disk().capacity = Some(10_000);
            let (mut folder, _) = Folder::open_on(memory.clone()).expect("an empty disk");
            for batch in &batches[..refused] {
                folder.write(batch);
                folder.sync().expect("there is room");
            }
            memory.disk().capacity = Some(used(&memory) + room);
            folder.write(&batches[refused]);
            let error = folder.sync().expect_err("there is no room");
            assert!(error.is_full(), "batch {refused}: {error}");
            let reloaded = folder.reload().expect("the folder is whole");
            assert_eq!(reloaded, states[refused], "batch {refused} room {room}");
            memory.disk().capacity = None;
            let mut stored = reloaded;
            goes_on(&mut folder, &mut stored, &batches[refused..]);
            drop(folder);
            let (_, recovered) = Folder::open_on(memory).expect("whole");
            assert_eq!(recovered, stored);
        }
    }
}

fn goes_on(folder: &mut Folder, stored: &mut Stored, batches: &[Vec<Output>]) {
    for batch in batches {
        folder.write(batch);
        folder.sync().expect("there is room");
        for output in batch {
            stored.persist(output);
        }
    }
}

/// The size of the snapshot that a batch brings.
fn snapshot_bytes(memory: &Memory, batch: &[Output]) -> usize {
    let copy = memory.copy();
    let (mut folder, _) = Folder::open_on(copy.clone()).expect("whole");
    folder.write(batch);
    folder.sync().expect("there is room");
    let names = copy.names();
    let snapshot = names.iter().rfind(|name| name.starts_with("snapshot-"));
    copy.get(snapshot.expect("the batch brings one")).len()
}

#[test]
fn a_snapshot_that_fits_may_come_without_the_log_of_its_batch() {
    let batches = batches();
    for refused in [2, 5, 7] {
        let memory = Memory::default();
        memory.disk().capacity = Some(10_000);
        let (mut folder, _) = Folder::open_on(memory.clone()).expect("an empty disk");
        for batch in &batches[..refused] {
            folder.write(batch);
            folder.sync().expect("there is room");
        }
        memory.disk().capacity = Some(used(&memory) + snapshot_bytes(&memory, &batches[refused]));
        folder.write(&batches[refused]);
        let error = folder.sync().expect_err("the log has no room");
        assert!(error.is_full(), "{error}");
        let mut stored = folder.reload().expect("the folder is whole");
        assert!(stored.snapshot.is_some(), "batch {refused}");
        memory.disk().capacity = None;
        goes_on(&mut folder, &mut stored, &batches[refused..]);
        drop(folder);
        let (_, recovered) = Folder::open_on(memory).expect("whole");
        assert_eq!(recovered, stored, "batch {refused}");
    }
}
