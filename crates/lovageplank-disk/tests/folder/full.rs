//! Behaviour when the disk is full.

use crate::faulty_storage::FaultyStorage;
use crate::workload::{batches, entries, states, vote};
use lovageplank_core::consensus::{
    Config, Entry, Id, Input, MemberInfo, Membership, Node, Output, Payload, Refusal, StoredState,
};
use lovageplank_disk::{Error, Folder};

fn used_bytes(storage: &FaultyStorage) -> usize {
    let names = storage.file_names();
    names.iter().map(|name| storage.get(name).len()).sum()
}

#[test]
fn reserve_makes_room_for_the_current_batch() {
    let storage = FaultyStorage::default();
    let (mut folder, _) = Folder::open_storage(storage.clone()).expect("an empty disk");
    assert!(folder.ensure_reserve().expect("works"));
    storage.disk().capacity = Some(used_bytes(&storage) + 10);
    folder.stage(&[entries(1, 1..50)]);
    folder.sync().expect("the released reserve has room");
    assert!(
        !folder.ensure_reserve().expect("works"),
        "no room for a new reserve"
    );
    folder.stage(&[vote(2)]);
    folder.sync().expect("a vote fits into the reserve's space");
    storage.disk().capacity = None;
    assert!(
        folder.ensure_reserve().expect("works"),
        "a new reserve fits"
    );
    let (_, stored) = Folder::open_storage(storage).expect("the folder is undamaged");
    assert_eq!(stored.entries.len(), 49);
}

#[test]
fn refused_batch_leaves_stored_state_unchanged() {
    let batches = batches();
    let states = states(&batches);
    for refused in 0..batches.len() {
        for free_bytes in [0, 3, 30] {
            let storage = FaultyStorage::default();
            storage.disk().capacity = Some(10_000);
            let (mut folder, _) = Folder::open_storage(storage.clone()).expect("an empty disk");
            for batch in &batches[..refused] {
                folder.stage(batch);
                folder.sync().expect("there is room");
            }
            storage.disk().capacity = Some(used_bytes(&storage) + free_bytes);
            folder.stage(&batches[refused]);
            let error = folder.sync().expect_err("there is no room");
            assert!(error.is_storage_full(), "batch {refused}: {error}");
            let reloaded = folder.reload().expect("the folder is undamaged");
            assert_eq!(
                reloaded, states[refused],
                "batch {refused}, {free_bytes} bytes free"
            );
            storage.disk().capacity = None;
            let mut stored = reloaded;
            assert_accepts_batches(&mut folder, &mut stored, &batches[refused..]);
            drop(folder);
            let (_, recovered) = Folder::open_storage(storage).expect("the folder is undamaged");
            assert_eq!(recovered, stored);
        }
    }
}

fn assert_accepts_batches(folder: &mut Folder, stored: &mut StoredState, batches: &[Vec<Output>]) {
    for batch in batches {
        folder.stage(batch);
        folder.sync().expect("there is room");
        for output in batch {
            stored.apply_persistence(output);
        }
    }
}

/// Size in bytes of the file of the batch's snapshot.
fn snapshot_bytes(storage: &FaultyStorage, batch: &[Output]) -> usize {
    let copy = storage.copy();
    let (mut folder, _) = Folder::open_storage(copy.clone()).expect("the folder is undamaged");
    folder.stage(batch);
    folder.sync().expect("there is room");
    let names = copy.file_names();
    let snapshot = names.iter().rfind(|name| name.starts_with("snapshot-"));
    copy.get(snapshot.expect("the batch has a snapshot")).len()
}

#[test]
fn snapshot_can_be_stored_without_log_records_of_its_batch() {
    let batches = batches();
    for refused in [2, 5, 7] {
        let storage = FaultyStorage::default();
        storage.disk().capacity = Some(10_000);
        let (mut folder, _) = Folder::open_storage(storage.clone()).expect("an empty disk");
        for batch in &batches[..refused] {
            folder.stage(batch);
            folder.sync().expect("there is room");
        }
        storage.disk().capacity =
            Some(used_bytes(&storage) + snapshot_bytes(&storage, &batches[refused]));
        folder.stage(&batches[refused]);
        let error = folder.sync().expect_err("the log has no room");
        assert!(error.is_storage_full(), "{error}");
        let mut stored = folder.reload().expect("the folder is undamaged");
        assert!(stored.snapshot.is_some(), "batch {refused}");
        storage.disk().capacity = None;
        assert_accepts_batches(&mut folder, &mut stored, &batches[refused..]);
        drop(folder);
        let (_, recovered) = Folder::open_storage(storage).expect("the folder is undamaged");
        assert_eq!(recovered, stored, "batch {refused}");
    }
}

/// A single voter with a driver that makes outputs durable before it acts on them.
struct Driver {
    folder: Folder,
    node: Node,
    applied: Vec<Entry>,
}

impl Driver {
    fn node(id: Id, stored: StoredState) -> Node {
        let voter = MemberInfo::new("control-1", "127.0.0.1:1");
        let membership = Membership::default().with_voter(id, voter);
        Node::new(Config::new(id, 1), stored, membership, 0)
    }

    fn open(storage: &FaultyStorage) -> Driver {
        let (folder, stored) =
            Folder::open_storage(storage.clone()).expect("the folder is undamaged");
        let node = Driver::node(folder.id(), stored);
        let applied = Vec::new();
        Driver {
            folder,
            node,
            applied,
        }
    }

    /// Steps the node, makes its persistence outputs durable and applies entries. Returns all
    /// outputs. After a failed sync, builds a new node from the reloaded state.
    fn step(&mut self, input: Input) -> Result<Vec<Output>, Error> {
        let now = self.node.deadline();
        let outputs = self.node.step(now, input);
        self.folder.stage(&outputs);
        if let Err(error) = self.folder.sync() {
            let stored = self.folder.reload()?;
            self.node = Driver::node(self.folder.id(), stored);
            return Err(error);
        }
        for output in &outputs {
            let last = self.applied.last().map(|entry| entry.index);
            if let Output::Apply(entry) = output
                && Some(entry.index) > last
            {
                self.applied.push(entry.clone());
            }
        }
        Ok(outputs)
    }

    fn commands(&self) -> Vec<u8> {
        let first = |entry: &Entry| match &entry.payload {
            Payload::Data(data) => data.first().copied(),
            _ => None,
        };
        self.applied.iter().filter_map(first).collect()
    }
}

#[test]
fn node_keeps_acknowledged_commands_while_disk_is_full_and_resumes() {
    let storage = FaultyStorage::default();
    let mut driver = Driver::open(&storage);
    driver.step(Input::Tick).expect("there is room");
    storage.disk().capacity = Some(used_bytes(&storage) + 5_000);
    let mut acknowledged = Vec::new();
    // The driver never calls `ensure_reserve`, so the reserve's space is used up, too.
    for command in (0..).map(|number: u32| number.to_le_bytes()[0]) {
        let data = vec![command; 40_000];
        if driver.step(Input::Propose { data }).is_err() {
            break;
        }
        acknowledged.push(command);
    }
    assert!(
        acknowledged.len() > 20,
        "commands fit into the reserve's space: {acknowledged:?}"
    );
    assert!(!driver.folder.ensure_reserve().expect("works"));
    driver
        .step(Input::Writable(false))
        .expect("nothing to write");
    let data = vec![0];
    let outputs = driver
        .step(Input::Propose { data })
        .expect("nothing to write");
    let reason = Refusal::NotLeader { leader: None };
    assert_eq!(
        outputs,
        [Output::Refused { reason }],
        "the new node is not the leader"
    );
    assert_eq!(
        driver.commands(),
        acknowledged,
        "applied commands stay readable"
    );

    storage.disk().capacity = None;
    assert!(driver.folder.ensure_reserve().expect("works"));
    driver.step(Input::Writable(true)).expect("there is room");
    driver.step(Input::Tick).expect("there is room");
    let data = vec![255];
    driver.step(Input::Propose { data }).expect("there is room");
    acknowledged.push(255);
    assert_eq!(driver.commands(), acknowledged);
    drop(driver);
    let mut driver = Driver::open(&storage);
    driver.step(Input::Tick).expect("there is room");
    assert_eq!(driver.commands(), acknowledged);
}
