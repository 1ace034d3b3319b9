//! Recovers the state of a node from the files of a data folder.

use crate::error::Error;
use crate::frame;
use crate::record::{Record, VERSION, segment_name, segment_number, snapshot_index, snapshot_name};
use crate::storage::Storage;
use lovageplank_core::consensus::{Entry, Id, Index, Position, Snapshot, StoredState, Vote};

/// A log file.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    /// Highest index of an entry in the file; 0 if it has none.
    pub(crate) last_index: Index,
}

/// State recovered from the files.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    pub(crate) vote: Vote,
    /// Position before the first entry of the log.
    pub(crate) base: Position,
    /// Whether the log files record `base`; false if it comes from the snapshot alone.
    pub(crate) base_is_logged: bool,
    /// Consecutive entries; they follow `base` directly unless there is a gap.
    pub(crate) entries: Vec<Entry>,
    /// Entries that are missing before the first of `entries`, because their log file was removed.
    /// A later base must cover them.
    gap: Option<Gap>,
    pub(crate) snapshot: Option<Snapshot>,
    /// In ascending order of their numbers; the last one is appended to.
    pub(crate) segments: Vec<Segment>,
    /// Length in bytes of the valid frames in the last segment.
    pub(crate) segment_length: u64,
    /// Bytes after the valid frames, which belong to a torn frame.
    pub(crate) torn_bytes: u64,
}

/// Entries missing before an entry that was read.
#[derive(Clone, Debug)]
struct Gap {
    /// Log file and offset of the frame with the entry after the gap.
    file: String,
    offset: usize,
    last_missing: Index,
}

/// Reads the log files and the last snapshot without changing a file.
pub(crate) fn recover(storage: &mut dyn Storage, id: Id) -> Result<Recovered, Error> {
    let files = storage
        .list()
        .map_err(|error| Error::io("list", ".", error))?;
    let mut recovered = Recovered {
        base_is_logged: true,
        ..Recovered::default()
    };
    let mut numbers: Vec<u64> = files.iter().filter_map(|f| segment_number(f)).collect();
    numbers.sort_unstable();
    for (rank, number) in numbers.iter().enumerate() {
        let is_last = rank + 1 == numbers.len();
        recovered.read_segment(storage, id, *number, is_last)?;
    }
    if let Some(index) = files.iter().filter_map(|f| snapshot_index(f)).max() {
        let snapshot = read_snapshot(storage, index)?;
        recovered.base_is_logged = recovered.base == snapshot.position();
        recovered.set_base(snapshot.position());
        recovered.snapshot = Some(snapshot);
    }
    recovered.check_gap()?;
    recovered.check_base()?;
    Ok(recovered)
}

fn read_snapshot(storage: &mut dyn Storage, index: u64) -> Result<Snapshot, Error> {
    let file = snapshot_name(index);
    let bytes = read_file(storage, &file)?;
    let (snapshot, length): (Snapshot, usize) =
        frame::decode(&bytes).map_err(|error| Error::corrupt(&file, 0, error.describe()))?;
    if length != bytes.len() || snapshot.index != Index(index) {
        return Err(Error::corrupt(
            &file,
            length,
            "the file has bytes after its frame or a snapshot of another index",
        ));
    }
    Ok(snapshot)
}

pub(crate) fn read_file(storage: &mut dyn Storage, file: &str) -> Result<Vec<u8>, Error> {
    storage
        .read(file)
        .map_err(|error| Error::io("read", file, error))
}

impl Recovered {
    /// The part of the state that a node starts from.
    pub(crate) fn into_stored(self) -> StoredState {
        StoredState {
            vote: self.vote,
            snapshot: self.snapshot,
            entries: self.entries,
        }
    }

    fn read_segment(
        &mut self,
        storage: &mut dyn Storage,
        id: Id,
        number: u64,
        is_last: bool,
    ) -> Result<(), Error> {
        let file = segment_name(number);
        let bytes = read_file(storage, &file)?;
        let next = self.segments.last().map(|segment| segment.number + 1);
        if let Some(missing) = next.filter(|next| *next != number) {
            let file = segment_name(missing);
            return Err(Error::corrupt(&file, 0, "the file is missing"));
        }
        self.segments.push(Segment {
            number,
            last_index: Index(0),
        });
        let mut offset = 0;
        while offset < bytes.len() {
            let rest = &bytes[offset..];
            let (records, length) = match frame::decode::<Vec<Record>>(rest) {
                Ok(frame) => frame,
                // The first frame is never torn, because a new file is renamed only once it is
                // durable.
                Err(error) if is_last && offset > 0 && frame::is_torn(error, rest, offset) => break,
                Err(error) => return Err(Error::corrupt(&file, offset, error.describe())),
            };
            if offset == 0 {
                let previous_bytes =
                    read_header(&records, id).map_err(|reason| Error::corrupt(&file, 0, reason))?;
                self.check_previous_length(previous_bytes)?;
            }
            for record in records {
                self.replay(record, &file, offset);
            }
            offset += length;
        }
        if offset == 0 {
            return Err(Error::corrupt(&file, 0, "the file is empty"));
        }
        self.segment_length = offset as u64;
        self.torn_bytes = (bytes.len() - offset) as u64;
        Ok(())
    }

    /// Checks that the previous segment still has the final length that the current one records.
    fn check_previous_length(&self, expected: u64) -> Result<(), Error> {
        let [.., previous, _] = self.segments.as_slice() else {
            return Ok(());
        };
        if self.segment_length == expected {
            return Ok(());
        }
        let file = segment_name(previous.number);
        let offset = usize::try_from(self.segment_length.min(expected)).unwrap_or(usize::MAX);
        Err(Error::corrupt(
            &file,
            offset,
            "the file's length differs from the one in the next file's header",
        ))
    }

    fn replay(&mut self, record: Record, file: &str, offset: usize) {
        match record {
            Record::Header { .. } => {}
            Record::Vote(vote) => self.vote = vote,
            Record::Base(position) => self.set_base(position),
            Record::Entry(entry) => self.replay_entry(entry, file, offset),
        }
    }

    fn replay_entry(&mut self, entry: Entry, file: &str, offset: usize) {
        update_last_index(&mut self.segments, entry.index);
        let entries_before = entry.index.0.checked_sub(self.first_index().0);
        let entries_before = entries_before.and_then(|count| usize::try_from(count).ok());
        if let Some(entries_before) = entries_before.filter(|count| *count <= self.entries.len()) {
            self.entries.truncate(entries_before);
        } else {
            self.entries.clear();
            let last_missing = entry.index.prev();
            let file = file.to_owned();
            self.gap = Some(Gap {
                file,
                offset,
                last_missing,
            });
        }
        self.entries.push(entry);
    }

    /// Index of the first entry, or the index that the first entry will have.
    fn first_index(&self) -> Index {
        let first = self.entries.first().map(|entry| entry.index);
        first.unwrap_or(self.base.index.next())
    }

    /// Lets the log begin after a position, by the same rule as the node: later entries remain only
    /// if the log contains an entry at the position.
    fn set_base(&mut self, position: Position) {
        if position.index < self.base.index || position == self.base {
            return;
        }
        let position_in_log = self
            .entries
            .iter()
            .position(|entry| entry.position() == position);
        match position_in_log {
            Some(last_covered) => drop(self.entries.drain(..=last_covered)),
            None => self.entries.clear(),
        }
        self.base = position;
        self.gap.take_if(|gap| gap.last_missing <= position.index);
    }

    fn check_gap(&self) -> Result<(), Error> {
        let Some(Gap { file, offset, .. }) = &self.gap else {
            return Ok(());
        };
        let reason = "log entries are missing before this frame";
        Err(Error::corrupt(file, *offset, reason))
    }

    /// Checks that a log that does not begin at the first entry has the snapshot that it follows.
    fn check_base(&self) -> Result<(), Error> {
        let snapshot = self.snapshot.as_ref().map(Snapshot::position);
        if self.base == snapshot.unwrap_or_default() {
            return Ok(());
        }
        let file = snapshot_name(self.base.index.0);
        Err(Error::corrupt(
            &file,
            0,
            "the snapshot at which the log begins is missing",
        ))
    }
}

/// Records that the last segment contains an entry of this index.
pub(crate) fn update_last_index(segments: &mut [Segment], index: Index) {
    if let Some(current) = segments.last_mut() {
        current.last_index = current.last_index.max(index);
    }
}

/// Checks the first record and returns the length of the previous segment from it.
fn read_header(records: &[Record], expected: Id) -> Result<u64, &'static str> {
    match records.first() {
        Some(Record::Header { version, .. }) if *version != VERSION => {
            Err("the file has another format version")
        }
        Some(Record::Header { id, .. }) if *id != expected => {
            Err("the file belongs to another identity")
        }
        Some(Record::Header { previous_bytes, .. }) => Ok(*previous_bytes),
        _ => Err("the first record is not a header"),
    }
}
