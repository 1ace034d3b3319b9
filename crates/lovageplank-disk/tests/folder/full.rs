//! The disk is full.

use crate::memory::Memory;
use crate::workload::{batches, entries, states, vote};
use lovageplank_core::consensus::{
    Config, Entry, Id, Input, MemberInfo, Membership, Node, Output, Payload, Refusal, StoredState,
};
use lovageplank_disk::{Error, Folder};

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

fn goes_on(folder: &mut Folder, stored: &mut StoredState, batches: &[Vec<Output>]) {
    for batch in batches {
        folder.write(batch);
        folder.sync().expect("there is room");
        for output in batch {
            stored.apply_persistence(output);
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

/// A single voter with the driver that the contract describes.
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

    fn open(memory: &Memory) -> Driver {
        let (folder, stored) = Folder::open_on(memory.clone()).expect("whole");
        let node = Driver::node(folder.id(), stored);
        let applied = Vec::new();
        Driver {
            folder,
            node,
            applied,
        }
    }

    /// Gives the outputs after the persistence outputs were made durable.
    fn step(&mut self, input: Input) -> Result<Vec<Output>, Error> {
        let now = self.node.deadline();
        let outputs = self.node.step(now, input);
        self.folder.write(&outputs);
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
fn a_node_whose_disk_is_full_keeps_what_was_acknowledged_and_goes_on_later() {
    let memory = Memory::default();
    let mut driver = Driver::open(&memory);
    driver.step(Input::Tick).expect("there is room");
    memory.disk().capacity = Some(used(&memory) + 5_000);
    let mut acknowledged = Vec::new();
    // The driver doesn't ask for the space, so the reserve is used up, too.
    for command in (0..).map(|number: u32| number.to_le_bytes()[0]) {
        let data = vec![command; 40_000];
        if driver.step(Input::Propose { data }).is_err() {
            break;
        }
        acknowledged.push(command);
    }
    assert!(
        acknowledged.len() > 20,
        "the reserve takes {acknowledged:?}"
    );
    assert!(!driver.folder.check_space().expect("works"));
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
        "the new node has no office"
    );
    assert_eq!(driver.commands(), acknowledged, "reads go on");

    memory.disk().capacity = None;
    assert!(driver.folder.check_space().expect("works"));
    driver.step(Input::Writable(true)).expect("there is room");
    driver.step(Input::Tick).expect("there is room");
    let data = vec![255];
    driver.step(Input::Propose { data }).expect("there is room");
    acknowledged.push(255);
    assert_eq!(driver.commands(), acknowledged);
    drop(driver);
    let mut driver = Driver::open(&memory);
    driver.step(Input::Tick).expect("there is room");
    assert_eq!(driver.commands(), acknowledged);
}
