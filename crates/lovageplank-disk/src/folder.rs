//! The data folder of one node.

use crate::error::Error;
use crate::frame;
use crate::record::{Record, VERSION, segment_name, segment_number, snapshot_index, snapshot_name};
use crate::recovery::{Recovered, Segment, read_file, recover, update_last_index};
use crate::storage::{Directory, Storage};
use lovageplank_core::consensus::{Id, Index, Output, Position, Snapshot, StoredState, Vote};
use std::path::Path;

const IDENTITY: &str = "identity";
const LOCK: &str = "lock";
const RESERVE: &str = "reserve";
const TEMPORARY: &str = "temporary";

/// Bytes of the reserve file. Its space is released when the disk is full, for the current batch
/// and for votes after it; a batch that needs more is refused.
const RESERVE_BYTES: usize = 1 << 20;
/// Length in bytes at which a log file is followed by a new one, so that old entries can be removed
/// file by file.
const SEGMENT_ROTATION_BYTES: u64 = 8 << 20;

/// An open data folder. The [crate's documentation](crate) describes its files and guarantees.
pub struct Folder {
    storage: Box<dyn Storage>,
    id: Id,
    vote: Vote,
    /// Position before the first entry of the log.
    base: Position,
    /// Whether the log files record `base`; if not, the next batch records it.
    base_is_logged: bool,
    /// Log files by ascending number; never empty, and the last one is appended to.
    segments: Vec<Segment>,
    /// Length in bytes of the last segment; all of it is durable.
    segment_length: u64,
    torn_bytes: u64,
    has_reserve: bool,
    staged: Batch,
    /// An operation failed and left the content of the files unknown.
    broken: bool,
}

/// Outputs that the next [`Folder::sync`] makes durable.
#[derive(Debug, Default)]
struct Batch {
    records: Vec<Record>,
    snapshot: Option<Snapshot>,
    compact: Option<Index>,
}

impl Folder {
    /// Opens the folder at a path and recovers its state. A missing folder is created with a new
    /// identity.
    ///
    /// Fails if another process has the folder open, a file is damaged, or the file system fails.
    pub fn open(path: impl AsRef<Path>) -> Result<(Folder, StoredState), Error> {
        let path = path.as_ref();
        let directory = Directory::new(path)
            .map_err(|error| Error::io("create", &path.to_string_lossy(), error))?;
        Folder::open_storage(directory)
    }

    /// Opens the folder on the given storage, as [`Folder::open`] does for a path.
    pub fn open_storage(storage: impl Storage + 'static) -> Result<(Folder, StoredState), Error> {
        let mut storage: Box<dyn Storage> = Box::new(storage);
        match storage.lock(LOCK) {
            Ok(true) => {}
            Ok(false) => return Err(Error::locked(LOCK)),
            Err(error) => return Err(Error::io("lock", LOCK, error)),
        }
        let id = load_or_create_identity(storage.as_mut())?;
        let recovered = recover(storage.as_mut(), id)?;
        let mut folder = Folder {
            storage,
            id,
            vote: recovered.vote,
            base: recovered.base,
            base_is_logged: recovered.base_is_logged,
            segments: recovered.segments.clone(),
            segment_length: recovered.segment_length,
            torn_bytes: recovered.torn_bytes,
            has_reserve: false,
            staged: Batch::default(),
            broken: false,
        };
        folder.repair(&recovered)?;
        folder.ensure_reserve()?;
        Ok((folder, recovered.into_stored()))
    }

    /// Identity of the node that the folder belongs to.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Bytes of a torn frame that were truncated when the folder was opened.
    pub fn torn_bytes(&self) -> u64 {
        self.torn_bytes
    }

    /// Adds the persistence outputs among `outputs` to the batch that the next [`Folder::sync`]
    /// writes.
    pub fn stage<'a>(&mut self, outputs: impl IntoIterator<Item = &'a Output>) {
        for output in outputs {
            self.stage_output(output);
        }
    }

    fn stage_output(&mut self, output: &Output) {
        let staged = &mut self.staged;
        match output {
            Output::SaveVote(vote) => staged.records.push(Record::Vote(*vote)),
            Output::Append { entries } => {
                let entries = entries.iter().cloned().map(Record::Entry);
                staged.records.extend(entries);
            }
            Output::SaveSnapshot(snapshot) => {
                staged.records.push(Record::Base(snapshot.position()));
                staged.snapshot = Some(snapshot.clone());
            }
            Output::Compact { through } => staged.compact = Some(*through),
            _ => {}
        }
    }

    /// Makes the staged outputs durable as one batch; its log records need one fsync. Writes no
    /// records if nothing is staged.
    ///
    /// After an error the caller must not act on any output of the batch. If the disk is full
    /// ([`Error::is_storage_full`]), the log is as it was, and the caller has to build a new node
    /// from [`Folder::reload`]. After any other error that leaves the content of a file unknown,
    /// the folder refuses all further writes ([`Error::is_broken`]).
    pub fn sync(&mut self) -> Result<(), Error> {
        let batch = std::mem::take(&mut self.staged);
        if self.broken {
            return Err(Error::broken(&self.current_segment_name()));
        }
        if let Some(snapshot) = &batch.snapshot {
            self.retry_without_reserve(|folder| folder.save_snapshot(snapshot))?;
        }
        if !batch.records.is_empty() {
            self.append_records(batch.records)?;
        }
        if batch.compact.is_some() || self.segment_length >= SEGMENT_ROTATION_BYTES {
            self.rotate()?;
        }
        if let Some(through) = batch.compact {
            self.remove_obsolete_files(through)?;
        }
        Ok(())
    }

    /// Discards the staged outputs and reads the stored state again. A new node starts from it
    /// after a batch was refused because the disk is full.
    pub fn reload(&mut self) -> Result<StoredState, Error> {
        if self.broken {
            return Err(Error::broken(&self.current_segment_name()));
        }
        self.staged = Batch::default();
        let recovered = recover(self.storage.as_mut(), self.id)?;
        // The snapshot of the refused batch may have been stored, which moves the base.
        self.base = recovered.base;
        self.base_is_logged = recovered.base_is_logged;
        Ok(recovered.into_stored())
    }

    /// Creates the reserve if it is missing. Returns false if there is no space for it; the caller
    /// should then accept no entries.
    pub fn ensure_reserve(&mut self) -> Result<bool, Error> {
        if self.has_reserve {
            return Ok(true);
        }
        match self.create_reserve() {
            Ok(()) => self.has_reserve = true,
            Err(error) if error.is_storage_full() => self.release_reserve()?,
            Err(error) => return Err(error),
        }
        Ok(self.has_reserve)
    }

    fn current_segment_name(&self) -> String {
        let number = self.segments.last().map_or(0, |segment| segment.number);
        segment_name(number)
    }

    /// Truncates a torn frame, removes files left by interrupted operations, and starts the first
    /// log file if there is none.
    fn repair(&mut self, recovered: &Recovered) -> Result<(), Error> {
        let files = self.list()?;
        if files.iter().any(|file| file == TEMPORARY) {
            self.remove(TEMPORARY)?;
        }
        let snapshot = recovered.snapshot.as_ref().map(|snapshot| snapshot.index.0);
        for file in files {
            if snapshot_index(&file).is_some_and(|index| Some(index) != snapshot) {
                self.remove(&file)?;
            }
        }
        if self.torn_bytes > 0 {
            self.truncate_segment()?;
        }
        if self.segment_length == 0 {
            self.segments.pop();
            self.start_segment()?;
        }
        Ok(())
    }

    /// Truncates the current log file to its valid frames.
    fn truncate_segment(&mut self) -> Result<(), Error> {
        let file = self.current_segment_name();
        let result = self
            .storage
            .truncate(&file, self.segment_length)
            .and_then(|()| self.storage.sync(&file));
        self.broken |= result.is_err();
        result.map_err(|error| Error::io("truncate", &file, error))
    }

    fn append_records(&mut self, records: Vec<Record>) -> Result<(), Error> {
        let mut records = records;
        if !self.base_is_logged {
            records.insert(0, Record::Base(self.base));
        }
        let bytes = frame::encode(&records);
        self.retry_without_reserve(|folder| folder.append_frame(&bytes))?;
        self.base_is_logged = true;
        for record in records {
            match record {
                Record::Vote(vote) => self.vote = vote,
                Record::Base(position) => self.base = self.base.max(position),
                Record::Entry(entry) => update_last_index(&mut self.segments, entry.index),
                Record::Header { .. } => {}
            }
        }
        Ok(())
    }

    /// Runs `write`. If the disk is full, releases the reserve and runs it once more.
    fn retry_without_reserve(
        &mut self,
        mut write: impl FnMut(&mut Folder) -> Result<(), Error>,
    ) -> Result<(), Error> {
        match write(self) {
            Err(error) if error.is_storage_full() && self.has_reserve && !self.broken => {
                self.release_reserve()?;
                write(self)
            }
            result => result,
        }
    }

    /// Appends a frame to the current log file and makes it durable. If the disk is full, the file
    /// is truncated to its previous length.
    fn append_frame(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let file = self.current_segment_name();
        if let Err(error) = self.storage.append(&file, bytes) {
            let error = Error::io("append to", &file, error);
            self.truncate_segment()?;
            self.broken |= !error.is_storage_full();
            return Err(error);
        }
        self.sync_file(&file)?;
        self.segment_length += bytes.len() as u64;
        Ok(())
    }

    /// Makes the content of a file durable. A failed fsync leaves unknown content on the disk, and
    /// a second fsync may succeed although the first one dropped pages. So after a failure all
    /// later writes are refused.
    fn sync_file(&mut self, file: &str) -> Result<(), Error> {
        let result = self.storage.sync(file);
        self.broken |= result.is_err();
        result.map_err(|error| Error::io("fsync", file, error))
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        let result = self.storage.sync_folder();
        self.broken |= result.is_err();
        result.map_err(|error| Error::io("fsync", ".", error))
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let file = snapshot_name(snapshot.index.0);
        self.write_atomically(&file, &frame::encode(snapshot))
    }

    /// Writes a file such that after a crash it is either missing or complete.
    fn write_atomically(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        let result = write_temporary(self.storage.as_mut(), bytes);
        if let Err(error) = result {
            if error.is_storage_full() {
                self.remove(TEMPORARY)?;
            } else {
                self.broken = true;
            }
            return Err(error);
        }
        let result = rename_temporary(self.storage.as_mut(), file);
        self.broken |= result.is_err();
        result
    }

    /// Starts a new log file, so that the earlier ones can be removed once a snapshot covers all
    /// their entries.
    fn rotate(&mut self) -> Result<(), Error> {
        let result = self.start_segment();
        match result {
            // Appends continue to the old file; the next sync that rotates tries again.
            Err(error) if error.is_storage_full() && !self.broken => Ok(()),
            result => result,
        }
    }

    fn start_segment(&mut self) -> Result<(), Error> {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        let header = Record::Header {
            version: VERSION,
            id: self.id,
            previous_bytes: self.segment_length,
        };
        let first_records = vec![header, Record::Vote(self.vote), Record::Base(self.base)];
        let bytes = frame::encode(&first_records);
        self.retry_without_reserve(|folder| {
            folder.write_atomically(&segment_name(number), &bytes)
        })?;
        self.segment_length = bytes.len() as u64;
        self.base_is_logged = true;
        let last_index = Index(0);
        self.segments.push(Segment { number, last_index });
        Ok(())
    }

    /// Removes, from the oldest on, the log files without entries after `through`, and all
    /// snapshots before the last one.
    fn remove_obsolete_files(&mut self, through: Index) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last_index <= through {
            let segment = self.segments.remove(0);
            self.remove(&segment_name(segment.number))?;
            self.sync_folder()?;
        }
        let base = self.base.index.0;
        for file in self.list()? {
            if snapshot_index(&file).is_some_and(|index| index < base) {
                self.remove(&file)?;
            }
        }
        Ok(())
    }

    fn create_reserve(&mut self) -> Result<(), Error> {
        if self.list()?.iter().any(|file| file == RESERVE) {
            let bytes = read_file(self.storage.as_mut(), RESERVE)?;
            if bytes.len() == RESERVE_BYTES {
                return Ok(());
            }
            self.remove(RESERVE)?;
        }
        let bytes = vec![0xff; RESERVE_BYTES];
        self.storage
            .append(RESERVE, &bytes)
            .and_then(|()| self.storage.sync(RESERVE))
            .map_err(|error| Error::io("write", RESERVE, error))
    }

    fn release_reserve(&mut self) -> Result<(), Error> {
        self.has_reserve = false;
        if self.list()?.iter().any(|file| file == RESERVE) {
            self.remove(RESERVE)?;
        }
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<String>, Error> {
        self.storage
            .list()
            .map_err(|error| Error::io("list", ".", error))
    }

    fn remove(&mut self, file: &str) -> Result<(), Error> {
        self.storage
            .remove(file)
            .map_err(|error| Error::io("remove", file, error))
    }
}

/// Reads the identity, or generates one if the folder has no state yet. A folder with state but no
/// identity is refused, because it may have lost a vote, too.
fn load_or_create_identity(storage: &mut dyn Storage) -> Result<Id, Error> {
    let files = storage
        .list()
        .map_err(|error| Error::io("list", ".", error))?;
    if files.iter().any(|file| file == IDENTITY) {
        let bytes = read_file(storage, IDENTITY)?;
        return match frame::decode(&bytes) {
            Ok((id, length)) if length == bytes.len() => Ok(id),
            Ok((_, length)) => Err(Error::corrupt(IDENTITY, length, "bytes follow the frame")),
            Err(error) => Err(Error::corrupt(IDENTITY, 0, error.describe())),
        };
    }
    let holds_state = |file: &String| segment_number(file).or(snapshot_index(file)).is_some();
    if files.iter().any(holds_state) {
        return Err(Error::corrupt(IDENTITY, 0, "the file is missing"));
    }
    let id = Id(rand::random());
    write_temporary(storage, &frame::encode(&id))?;
    rename_temporary(storage, IDENTITY)?;
    Ok(id)
}

fn write_temporary(storage: &mut dyn Storage, bytes: &[u8]) -> Result<(), Error> {
    // Bytes from an interrupted write must not precede the new ones.
    storage
        .truncate(TEMPORARY, 0)
        .and_then(|()| storage.append(TEMPORARY, bytes))
        .and_then(|()| storage.sync(TEMPORARY))
        .map_err(|error| Error::io("write", TEMPORARY, error))
}

fn rename_temporary(storage: &mut dyn Storage, file: &str) -> Result<(), Error> {
    storage
        .rename(TEMPORARY, file)
        .and_then(|()| storage.sync_folder())
        .map_err(|error| Error::io("rename to", file, error))
}
