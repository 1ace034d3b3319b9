//! Recovery of randomly damaged files neither panics nor returns state that was never written.
//!
//! bolero's own engine takes its seeds from the system unless an environment variable sets them, so
//! these tests drive its generators by a random number generator with a fixed seed.

#[path = "folder/workload.rs"]
mod workload;

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator, produce};
use lovageplank_core::consensus::{Entry, Output, Snapshot, StoredState, Vote};
use lovageplank_core::prelude::*;
use lovageplank_disk::{Folder, Storage};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::io;
use std::sync::{Mutex, MutexGuard};
use workload::{batches, entries, states, vote};

const SEED: u64 = 20_261_203;
const CASES: usize = 2_000;

type Content = BTreeMap<String, Vec<u8>>;

/// Files in memory; clones share them.
#[derive(Clone, Default)]
struct SharedFiles(Arc<Mutex<Content>>);

impl SharedFiles {
    fn all(&self) -> MutexGuard<'_, Content> {
        self.0.lock().expect("no panic while locked")
    }
}

impl Storage for SharedFiles {
    fn lock(&mut self, _file: &str) -> io::Result<bool> {
        Ok(true)
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.all().keys().cloned().collect())
    }

    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        let content = self.all().get(file).cloned();
        content.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.all().entry(file.into()).or_default().extend(bytes);
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        let length = usize::try_from(length).map_err(io::Error::other)?;
        self.all().entry(file.into()).or_default().truncate(length);
        Ok(())
    }

    fn sync(&mut self, _file: &str) -> io::Result<()> {
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.all();
        let content = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        files.insert(to.into(), content);
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        let removed = self.all().remove(file);
        removed
            .map(drop)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// Batches without a snapshot, so that any recovered state is the state after some of them.
fn log_only_batches() -> Vec<Vec<Output>> {
    vec![
        vec![vote(1), entries(1, 1..3)],
        vec![entries(1, 3..5)],
        vec![vote(2)],
        vec![entries(2, 4..8)],
    ]
}

/// CBOR of a fixed identity; a random one would make runs differ.
const IDENTITY: &[u8] = &[0x1b, 1, 2, 3, 4, 5, 6, 7, 8];

/// Encodes a frame as docs/PROTOCOL.md describes it.
fn frame(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("fits the integer type");
    let checksum = crc32fast::hash(payload);
    let head = [length.to_le_bytes(), checksum.to_le_bytes()].concat();
    let checked = crc32fast::hash(&head).to_le_bytes();
    [&head[..], &checked, payload, &[0xed]].concat()
}

/// The files after all batches, without the reserve.
fn files_after(batches: &[Vec<Output>]) -> Content {
    let files = SharedFiles::default();
    files.all().insert("identity".into(), frame(IDENTITY));
    let (mut folder, _) = Folder::open_storage(files.clone()).expect("an empty disk");
    for batch in batches {
        folder.stage(batch);
        folder.sync().expect("the disk works");
    }
    let mut content = files.all().clone();
    content.remove("reserve");
    content
}

#[derive(Clone, Debug, TypeGenerator)]
enum Damage {
    Flip {
        file: usize,
        offset: usize,
        bit: u8,
    },
    Cut {
        file: usize,
        offset: usize,
    },
    /// Truncates the log file that is appended to.
    CutLast {
        offset: usize,
    },
    Zero {
        file: usize,
        offset: usize,
    },
}

fn apply_damage(content: &mut Content, damage: &Damage) {
    let mut logs = content.keys().filter(|name| name.starts_with("log-"));
    let last = logs.next_back().expect("a log").clone();
    let names: Vec<String> = content.keys().cloned().collect();
    let (name, offset) = match damage {
        Damage::CutLast { offset } => (&last, *offset),
        Damage::Flip { file, offset, .. }
        | Damage::Cut { file, offset }
        | Damage::Zero { file, offset } => (&names[file % names.len()], *offset),
    };
    let bytes = content.get_mut(name).expect("listed");
    let Some(offset) = offset.checked_rem(bytes.len()) else {
        return;
    };
    match damage {
        Damage::Flip { bit, .. } => bytes[offset] ^= 1 << (bit % 8),
        Damage::Cut { .. } | Damage::CutLast { .. } => bytes.truncate(offset),
        Damage::Zero { .. } => bytes[offset..].fill(0),
    }
}

/// All votes, entries and snapshots that were ever written.
#[derive(Default)]
struct Written {
    votes: Vec<Vote>,
    entries: Vec<Entry>,
    snapshots: Vec<Snapshot>,
}

impl Written {
    fn new(batches: &[Vec<Output>]) -> Written {
        let mut all = Written::default();
        all.votes.push(Vote::default());
        for output in batches.iter().flatten() {
            match output {
                Output::SaveVote(vote) => all.votes.push(*vote),
                Output::Append { entries } => all.entries.extend(entries.clone()),
                Output::SaveSnapshot(snapshot) => all.snapshots.push(snapshot.clone()),
                _ => {}
            }
        }
        all
    }

    fn check(&self, stored: &StoredState) {
        assert!(self.votes.contains(&stored.vote), "{stored:?}");
        let known = |entry| self.entries.contains(entry);
        assert!(stored.entries.iter().all(known), "{stored:?}");
        let snapshot = stored.snapshot.as_ref();
        assert!(
            snapshot.is_none_or(|s| self.snapshots.contains(s)),
            "{stored:?}"
        );
        let first = snapshot.map_or(0, |snapshot| snapshot.index.0) + 1;
        let indexes = stored.entries.iter().map(|entry| entry.index.0);
        assert!(
            indexes.eq((first..).take(stored.entries.len())),
            "{stored:?}"
        );
    }
}

/// Opens damaged files. If that succeeds, opening them again must recover the same state.
fn recover(content: Content) -> Option<StoredState> {
    let files = SharedFiles(Arc::new(Mutex::new(content)));
    match Folder::open_storage(files.clone()) {
        Ok((folder, stored)) => {
            drop(folder);
            let (_, again) = Folder::open_storage(files).expect("opens again");
            assert_eq!(again, stored);
            Some(stored)
        }
        Err(error) => {
            assert!(error.is_corrupt(), "{error}");
            None
        }
    }
}

fn check_random_damage(batches: &[Vec<Output>], check: impl Fn(&Content, &StoredState)) {
    let options = Options::default().with_max_len(usize::MAX);
    let mut driver = Rng::new(SmallRng::seed_from_u64(SEED), &options);
    let damages = produce::<Vec<Damage>>().with().len(1..4_usize);
    let whole = files_after(batches);
    let mut recovered = 0;
    for _ in 0..CASES {
        let mut content = whole.clone();
        let sequence = damages.generate(&mut driver).expect("never ends");
        for each in &sequence {
            apply_damage(&mut content, each);
        }
        if let Some(stored) = recover(content.clone()) {
            check(&content, &stored);
            recovered += 1;
        }
    }
    // Both outcomes must occur, or the test would prove nothing.
    assert!(0 < recovered && recovered < CASES, "{recovered} recovered");
}

const LOG: &str = "log-0000000000000001";

/// Offsets at which the log's frames end: the first frame of the file, then one frame for each
/// batch.
fn frame_ends(batches: &[Vec<Output>]) -> Vec<usize> {
    let count = 0..=batches.len();
    count
        .map(|n| files_after(&batches[..n])[LOG].len())
        .collect()
}

#[test]
fn damaged_log_is_refused_or_recovers_state_before_torn_tail() {
    let batches = log_only_batches();
    let (states, ends) = (states(&batches), frame_ends(&batches));
    check_random_damage(&batches, |content, stored| {
        let log = &content[LOG];
        let recovered_batches = states.iter().position(|state| state == stored);
        let recovered_batches =
            recovered_batches.unwrap_or_else(|| panic!("state was never written: {stored:?}"));
        let frames = ends[recovered_batches..].windows(2);
        let lost_frames = frames.map(|ends| log.get(ends[0]..ends[1]).unwrap_or_default());
        // Each frame after the recovered ones must be damaged.
        for (lost, batch) in lost_frames.zip(&batches[recovered_batches..]) {
            assert!(!is_whole(lost), "undamaged frame was lost: {batch:?}");
        }
    });
}

/// Whether the bytes are exactly one undamaged frame.
fn is_whole(bytes: &[u8]) -> bool {
    let end = bytes.len().saturating_sub(1);
    bytes
        .get(12..end)
        .is_some_and(|payload| frame(payload) == bytes)
}

#[test]
fn damaged_folder_is_refused_or_recovers_only_written_state() {
    let batches = batches();
    let written = Written::new(&batches);
    check_random_damage(&batches, |_, stored| written.check(stored));
}
