//! A loss of power during the last write of the log, of which any sectors reach the disk.

use crate::faulty_storage::FaultyStorage;
use crate::workload::{states, vote};
use lovageplank_core::consensus::{Entry, Index, Output, Payload, StoredState, Term};
use lovageplank_disk::{Error, Folder};
use std::ops::Range;

const LOG: &str = "log-0000000000000001";
/// Bytes that a disk writes whole or not at all.
const SECTOR_BYTES: usize = 512;
/// Payload of the last write, which reaches into three or four sectors.
const LAST_BYTES: usize = 2 * SECTOR_BYTES + 40;

fn entry(index: u64, bytes: usize) -> Output {
    let entry = Entry {
        term: Term(1),
        index: Index(index),
        payload: Payload::Data(vec![0x5a; bytes]),
    };
    Output::Append {
        entries: vec![entry],
    }
}

/// A log whose last write begins at an offset in its sector.
struct Log {
    storage: FaultyStorage,
    bytes: Vec<u8>,
    /// Where the last write stands.
    last: Range<usize>,
    /// Before the last write, and after it.
    states: [StoredState; 2],
}

impl Log {
    fn new(offset: usize) -> Log {
        // One byte more in the entry before moves the last write by one byte.
        let first = Log::with_bytes_before(SECTOR_BYTES);
        let missing = (offset + SECTOR_BYTES - first.last.start % SECTOR_BYTES) % SECTOR_BYTES;
        let log = Log::with_bytes_before(SECTOR_BYTES + missing);
        assert_eq!(log.last.start % SECTOR_BYTES, offset);
        log
    }

    fn with_bytes_before(bytes_before: usize) -> Log {
        let batches = vec![
            vec![vote(1), entry(1, bytes_before)],
            vec![entry(2, LAST_BYTES)],
        ];
        let [_, before, after] = states(&batches).try_into().expect("one more than batches");
        let storage = FaultyStorage::default();
        let (mut folder, _) = Folder::open_storage(storage.clone()).expect("an empty disk");
        let mut start = 0;
        for batch in &batches {
            start = storage.get(LOG).len();
            folder.stage(batch);
            folder.sync().expect("the disk works");
        }
        let bytes = storage.get(LOG);
        Log {
            storage,
            last: start..bytes.len(),
            bytes,
            states: [before, after],
        }
    }

    /// The parts of the last write, by sector.
    fn sectors(&self) -> Vec<Range<usize>> {
        let (mut sectors, mut from) = (Vec::new(), self.last.start);
        while from < self.last.end {
            let to = ((from / SECTOR_BYTES + 1) * SECTOR_BYTES).min(self.last.end);
            sectors.push(from..to);
            from = to;
        }
        sectors
    }

    /// The log without the sectors whose bits are set in `missing`.
    fn without(&self, missing: usize) -> Vec<u8> {
        let mut bytes = self.bytes.clone();
        for (number, sector) in self.sectors().into_iter().enumerate() {
            if missing & (1 << number) != 0 {
                bytes[sector].fill(0);
            }
        }
        bytes
    }

    fn recover(&self, bytes: Vec<u8>) -> Result<StoredState, Error> {
        let copy = self.storage.copy();
        copy.set(LOG, bytes);
        Folder::open_storage(copy).map(|(_, stored)| stored)
    }
}

/// Guards against a control process that never starts again after a loss of power, because an unsynced write of which the
/// end has reached the disk and an earlier part hasn't is taken for damage (CONFIG: the configuration doesn't come).
#[test]
fn last_write_of_which_any_sectors_are_missing_is_discarded() {
    for offset in 0..SECTOR_BYTES {
        let log = Log::new(offset);
        for missing in 1..1 << log.sectors().len() {
            let bytes = log.without(missing);
            // A file may also end before what is missing of its end.
            let filled = bytes
                .iter()
                .rposition(|byte| *byte != 0)
                .map_or(0, |at| at + 1);
            let cut = bytes[..filled.max(log.last.start)].to_vec();
            for bytes in [bytes, cut] {
                let case = format!(
                    "offset {offset}, missing {missing:b}, {} bytes",
                    bytes.len()
                );
                let stored = log
                    .recover(bytes)
                    .unwrap_or_else(|error| panic!("{case}: {error}"));
                assert_eq!(stored, log.states[0], "{case}");
            }
        }
        assert_eq!(
            log.recover(log.bytes.clone()).expect("whole"),
            log.states[1]
        );
    }
}

/// Guards against what was acknowledged and is damaged later being taken for a torn write, and silently dropped.
#[test]
fn changed_byte_in_last_write_is_refused_at_each_place() {
    for offset in (0..SECTOR_BYTES).step_by(37).chain([500, 510, 511]) {
        let log = Log::new(offset);
        for at in log.last.clone() {
            for change in [0x01, 0x80, 0xff] {
                let mut bytes = log.bytes.clone();
                bytes[at] ^= change;
                let case = format!("offset {offset}, byte {at}, change {change:x}");
                let error = log.recover(bytes).expect_err(&case);
                assert!(error.is_corrupt(), "{case}: {error}");
                assert_eq!(error.offset(), Some(log.last.start as u64), "{case}");
                assert!(
                    error.to_string().contains("remove the data folder"),
                    "{case}"
                );
            }
        }
    }
}

/// Guards against a missing sector before what was synced later: that one was synced, too, and nothing may be dropped.
#[test]
fn missing_sector_before_a_valid_write_is_refused() {
    for offset in (0..SECTOR_BYTES).step_by(23) {
        let log = Log::new(offset);
        let sectors = log.sectors().len();
        for missing in 1..1 << sectors {
            let mut bytes = log.without(missing);
            bytes.extend_from_slice(&log.bytes[log.last.clone()]);
            let error = log.recover(bytes).expect_err("damaged");
            assert!(error.is_corrupt(), "offset {offset}, missing {missing:b}");
        }
    }
}
