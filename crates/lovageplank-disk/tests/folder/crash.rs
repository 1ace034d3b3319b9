//! Crashes of the process and power failures at every call to the file system.

use crate::faulty_storage::FaultyStorage;
use crate::workload::{batches, entries, states};
use lovageplank_core::consensus::{Output, StoredState};
use lovageplank_disk::{Error, Folder};

/// Writes batches until one fails. Returns the number of acknowledged batches.
fn write_until_failure(storage: &FaultyStorage, batches: &[Vec<Output>]) -> usize {
    let Ok((mut folder, _)) = Folder::open_storage(storage.clone()) else {
        return 0;
    };
    let mut synced = batches.iter().map(|batch| {
        folder.stage(batch);
        folder.sync()
    });
    synced.by_ref().take_while(Result::is_ok).count()
}

fn recover(storage: &FaultyStorage) -> Result<StoredState, Error> {
    Folder::open_storage(storage.clone()).map(|(_, stored)| stored)
}

#[test]
fn crash_keeps_acknowledged_batches_and_never_part_of_one() {
    let batches = batches();
    let states = states(&batches);
    let healthy_storage = FaultyStorage::default();
    assert_eq!(
        write_until_failure(&healthy_storage, &batches),
        batches.len()
    );
    let calls = healthy_storage.disk().calls;
    assert!(
        calls >= 2 * batches.len(),
        "each batch needs an append and an fsync"
    );
    for call in 0..calls {
        for seed in 0..8 {
            let storage = FaultyStorage::default();
            storage.disk().calls_before_crash = Some(call);
            let acknowledged = write_until_failure(&storage, &batches);
            storage.crash(seed);
            let stored = recover(&storage).expect("recovery succeeds after a crash");
            let recovered_batches = states[acknowledged..]
                .iter()
                .take(2)
                .position(|s| *s == stored);
            let only_snapshot_written = only_snapshot_written_for(&states, acknowledged, &stored);
            assert!(
                recovered_batches.is_some() || only_snapshot_written,
                "call {call} seed {seed}: {acknowledged} acknowledged, found {stored:?}"
            );
            assert_accepts_batches(&storage, &stored);
        }
    }
}

/// Whether the state includes the snapshot of the interrupted batch but not its log records. This
/// is allowed: the snapshot is written before the log and covers committed entries only.
fn only_snapshot_written_for(
    states: &[StoredState],
    acknowledged: usize,
    found: &StoredState,
) -> bool {
    let Some(next) = states.get(acknowledged + 1) else {
        return false;
    };
    let mut expected = states[acknowledged].clone();
    if let Some(snapshot) = next.snapshot.clone() {
        expected.apply_persistence(&Output::SaveSnapshot(snapshot));
    }
    expected == *found
}

/// Checks that the recovered folder accepts a further batch and recovers it after reopening.
fn assert_accepts_batches(storage: &FaultyStorage, stored: &StoredState) {
    let last = stored.entries.last().map(|entry| entry.index);
    let base = stored.snapshot.as_ref().map(|snapshot| snapshot.index);
    let next = last.or(base).unwrap_or_default().next().0;
    let batch = vec![entries(9, next..next + 2)];
    assert_eq!(
        write_until_failure(storage, std::slice::from_ref(&batch)),
        1
    );
    let mut expected = stored.clone();
    expected.apply_persistence(&batch[0]);
    assert_eq!(recover(storage).expect("the folder is undamaged"), expected);
}

#[test]
fn writes_are_refused_after_failed_fsync() {
    let storage = FaultyStorage::default();
    let (mut folder, _) = Folder::open_storage(storage.clone()).expect("an empty disk");
    let batches = batches();
    folder.stage(&batches[0]);
    folder.sync().expect("the disk works");
    storage.disk().fsync_fails = true;
    folder.stage(&batches[1]);
    let error = folder.sync().expect_err("the fsync fails");
    assert!(!error.is_storage_full() && !error.is_broken());
    storage.disk().fsync_fails = false;
    folder.stage(&batches[1]);
    assert!(folder.sync().expect_err("writes are refused").is_broken());
    assert!(
        folder
            .reload()
            .expect_err("a reload is refused")
            .is_broken()
    );
}

#[test]
fn folder_has_one_owner_and_keeps_its_identity() {
    let temporary = tempfile::tempdir().expect("a temporary folder");
    let path = temporary.path().join("data");
    let (folder, _) = Folder::open(&path).expect("a new folder");
    let id = folder.id();
    let error = Folder::open(&path)
        .map(drop)
        .expect_err("the folder is locked");
    assert!(error.is_locked(), "{error}");
    drop(folder);
    let (folder, _) = Folder::open(&path).expect("the lock was released");
    assert_eq!(folder.id(), id);
    drop(folder);
    std::fs::remove_dir_all(&path).expect("the folder can be removed");
    let (folder, stored) = Folder::open(&path).expect("a new folder");
    assert_ne!(folder.id(), id, "a removed folder gets a new identity");
    assert_eq!(stored, StoredState::default());
}

#[test]
fn reopened_directory_recovers_every_batch() {
    let temporary = tempfile::tempdir().expect("a temporary folder");
    let batches = batches();
    let states = states(&batches);
    for (batch, after) in batches.iter().zip(&states[1..]) {
        let (mut folder, _) = Folder::open(temporary.path()).expect("the folder is undamaged");
        folder.stage(batch);
        folder.sync().expect("the disk works");
        drop(folder);
        let (_, stored) = Folder::open(temporary.path()).expect("the folder is undamaged");
        assert_eq!(stored, *after);
    }
}
