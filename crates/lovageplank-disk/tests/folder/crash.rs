//! The process dies, or the power fails, at every call to the file system.

use crate::memory::Memory;
use crate::workload::{batches, entries, states};
use lovageplank_core::consensus::{Output, StoredState};
use lovageplank_disk::{Error, Folder};

/// Writes batches until one fails; gives how many were acknowledged.
fn write(memory: &Memory, batches: &[Vec<Output>]) -> usize {
    let Ok((mut folder, _)) = Folder::open_on(memory.clone()) else {
        return 0;
    };
    let mut synced = batches.iter().map(|batch| {
        folder.write(batch);
        folder.sync()
    });
    synced.by_ref().take_while(Result::is_ok).count()
}

fn recover(memory: &Memory) -> Result<StoredState, Error> {
    Folder::open_on(memory.clone()).map(|(_, stored)| stored)
}

#[test]
fn a_batch_is_kept_whole_or_not_at_all_and_none_is_lost_that_was_acknowledged() {
    let batches = batches();
    let states = states(&batches);
    let whole = Memory::default();
    assert_eq!(write(&whole, &batches), batches.len());
    let calls = whole.disk().calls;
    assert!(
        calls >= 2 * batches.len(),
        "an append and an fsync for each"
    );
    for call in 0..calls {
        for seed in 0..8 {
            let memory = Memory::default();
            memory.disk().calls_left = Some(call);
            let acknowledged = write(&memory, &batches);
            memory.crash(seed);
            let stored = recover(&memory).expect("a crash damages nothing");
            let place = states[acknowledged..]
                .iter()
                .take(2)
                .position(|s| *s == stored);
            let snapshot_only = batch_without_log(&states, acknowledged, &stored);
            assert!(
                place.is_some() || snapshot_only,
                "call {call} seed {seed}: {acknowledged} acknowledged, found {stored:?}"
            );
            goes_on(&memory, &stored);
        }
    }
}

/// Whether only the snapshot of the batch under way is there: it is written before the log, and
/// stands for committed entries only, so it may come alone.
fn batch_without_log(states: &[StoredState], acknowledged: usize, found: &StoredState) -> bool {
    let Some(next) = states.get(acknowledged + 1) else {
        return false;
    };
    let mut expected = states[acknowledged].clone();
    if let Some(snapshot) = next.snapshot.clone() {
        expected.apply_persistence(&Output::SaveSnapshot(snapshot));
    }
    expected == *found
}

/// The recovered folder takes further batches, and holds them the next time.
fn goes_on(memory: &Memory, stored: &StoredState) {
    let last = stored.entries.last().map(|entry| entry.index);
    let base = stored.snapshot.as_ref().map(|snapshot| snapshot.index);
    let next = last.or(base).unwrap_or_default().next().0;
    let batch = vec![entries(9, next..next + 2)];
    assert_eq!(write(memory, std::slice::from_ref(&batch)), 1);
    let mut expected = stored.clone();
    expected.apply_persistence(&batch[0]);
    assert_eq!(recover(memory).expect("nothing is damaged"), expected);
}

#[test]
fn after_a_failed_fsync_nothing_more_is_written() {
    let memory = Memory::default();
    let (mut folder, _) = Folder::open_on(memory.clone()).expect("an empty disk");
    let batches = batches();
    folder.write(&batches[0]);
    folder.sync().expect("the disk works");
    memory.disk().fsync_fails = true;
    folder.write(&batches[1]);
    let error = folder.sync().expect_err("the fsync fails");
    assert!(!error.is_full() && !error.is_broken());
    memory.disk().fsync_fails = false;
    folder.write(&batches[1]);
    assert!(folder.sync().expect_err("not trusted").is_broken());
    assert!(folder.reload().expect_err("not trusted").is_broken());
}

#[test]
fn a_folder_is_opened_once_and_keeps_its_identity() {
    let temporary = tempfile::tempdir().expect("a temporary folder");
    let path = temporary.path().join("data");
    let (folder, _) = Folder::open(&path).expect("a new folder");
    let id = folder.id();
    let error = Folder::open(&path).map(drop).expect_err("in use");
    assert!(error.is_locked(), "{error}");
    drop(folder);
    let (folder, _) = Folder::open(&path).expect("free again");
    assert_eq!(folder.id(), id);
    drop(folder);
    std::fs::remove_dir_all(&path).expect("may be removed");
    let (folder, stored) = Folder::open(&path).expect("a new folder");
    assert_ne!(folder.id(), id, "an emptied folder is another one");
    assert_eq!(stored, StoredState::default());
}

#[test]
fn a_real_folder_brings_back_every_batch() {
    let temporary = tempfile::tempdir().expect("a temporary folder");
    let batches = batches();
    let states = states(&batches);
    for (batch, after) in batches.iter().zip(&states[1..]) {
        let (mut folder, _) = Folder::open(temporary.path()).expect("whole");
        folder.write(batch);
        folder.sync().expect("the disk works");
        drop(folder);
        let (_, stored) = Folder::open(temporary.path()).expect("whole");
        assert_eq!(stored, *after);
    }
}
