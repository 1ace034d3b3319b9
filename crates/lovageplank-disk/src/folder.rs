//! The data folder of one node.

use crate::error::Error;
use crate::frame;
use crate::medium::{Directory, Medium};
use crate::record::{Record, VERSION, segment_name, segment_number, snapshot_index, snapshot_name};
use crate::recovery::{Recovered, Segment, note_entry, read, recover};
use lovageplank_core::consensus::{Id, Index, Output, Position, Snapshot, StoredState, Vote};
use std::path::Path;

const IDENTITY: &str = "identity";
const LOCK: &str = "lock";
const RESERVE: &str = "reserve";
const TEMPORARY: &str = "temporary";

/// Space kept for the batch at which the disk turns out to be full, and for votes after it.
const RESERVE_BYTES: usize = 1 << 20;
/// Length from which a log file is followed by another.
const SEGMENT_BYTES: u64 = 8 << 20;

/// An open data folder; see the [crate](crate) for its files and guarantees.
pub struct Folder {
    medium: Box<dyn Medium>,
    id: Id,
    vote: Vote,
    /// Where the log begins.
    base: Position,
    /// Whether the log files say so, too. If not, the next batch does.
    base_is_logged: bool,
    /// Never empty; the last is appended to.
    segments: Vec<Segment>,
    /// Valid bytes in the last segment; all of them durable.
    length: u64,
    torn: u64,
    has_reserve: bool,
    staged: Batch,
    /// A write failed in a way that leaves the files unknown.
    broken: bool,
}

/// What the next sync makes durable.
#[derive(Debug, Default)]
struct Batch {
    records: Vec<Record>,
    snapshot: Option<Snapshot>,
    compact: Option<Index>,
}

impl Folder {
    /// Opens the folder at a path, and recovers what it holds. A missing folder is created, and
    /// an identity is minted for it.
    pub fn open(path: impl AsRef<Path>) -> Result<(Folder, StoredState), Error> {
        let path = path.as_ref();
        let directory = Directory::new(path)
            .map_err(|error| Error::io("create", &path.to_string_lossy(), error))?;
        Folder::open_on(directory)
    }

    /// Opens the folder on a medium.
    pub fn open_on(medium: impl Medium + 'static) -> Result<(Folder, StoredState), Error> {
        let mut medium: Box<dyn Medium> = Box::new(medium);
        match medium.lock(LOCK) {
            Ok(true) => {}
            Ok(false) => return Err(Error::locked(LOCK)),
            Err(error) => return Err(Error::io("lock", LOCK, error)),
        }
        let id = identity(medium.as_mut())?;
        let recovered = recover(medium.as_mut(), id)?;
        let mut folder = Folder {
            medium,
            id,
            vote: recovered.vote,
            base: recovered.base,
            base_is_logged: recovered.base_is_logged,
            segments: recovered.segments.clone(),
            length: recovered.length,
            torn: recovered.torn,
            has_reserve: false,
            staged: Batch::default(),
            broken: false,
        };
        folder.repair(&recovered)?;
        folder.check_space()?;
        Ok((folder, recovered.into_stored()))
    }

    /// Identity of the folder.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Bytes of a torn frame that were cut off when the folder was opened.
    pub fn torn_bytes(&self) -> u64 {
        self.torn
    }

    /// Stages the persistence outputs among the given ones; [`Folder::sync`] writes them.
    pub fn write<'a>(&mut self, outputs: impl IntoIterator<Item = &'a Output>) {
        for output in outputs {
            self.stage(output);
        }
    }

    fn stage(&mut self, output: &Output) {
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

    /// Makes everything staged durable, as one batch, by one fsync. Does nothing if nothing is
    /// staged.
    ///
    /// On an error nothing of the batch may be acted on. If the disk is full
    /// ([`Error::is_full`]) the log is as it was, and the node has to be built anew from
    /// [`Folder::reload`]; after any other error the folder takes no more writes.
    pub fn sync(&mut self) -> Result<(), Error> {
        let batch = std::mem::take(&mut self.staged);
        if self.broken {
            return Err(Error::broken(&self.current()));
        }
        if let Some(snapshot) = &batch.snapshot {
            self.retry_when_full(|folder| folder.save_snapshot(snapshot))?;
        }
        if !batch.records.is_empty() {
            self.append_records(batch.records)?;
        }
        if batch.compact.is_some() || self.length >= SEGMENT_BYTES {
            self.rotate()?;
        }
        if let Some(through) = batch.compact {
            self.remove_through(through)?;
        }
        Ok(())
    }

    /// Reads the folder again: what a new node starts from after a refused batch.
    pub fn reload(&mut self) -> Result<StoredState, Error> {
        if self.broken {
            return Err(Error::broken(&self.current()));
        }
        self.staged = Batch::default();
        let recovered = recover(self.medium.as_mut(), self.id)?;
        // A snapshot may have been saved before the rest of its batch was refused.
        self.base = recovered.base;
        self.base_is_logged = recovered.base_is_logged;
        Ok(recovered.into_stored())
    }

    /// Whether there is room for entries: the reserve is there, or could be made again.
    pub fn check_space(&mut self) -> Result<bool, Error> {
        if self.has_reserve {
            return Ok(true);
        }
        match self.make_reserve() {
            Ok(()) => self.has_reserve = true,
            Err(error) if error.is_full() => self.give_up_reserve()?,
            Err(error) => return Err(error),
        }
        Ok(self.has_reserve)
    }

    fn current(&self) -> String {
        let number = self.segments.last().map_or(0, |segment| segment.number);
        segment_name(number)
    }

    /// Cuts a torn frame off, removes what is left of interrupted steps, and starts the first
    /// log file.
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
        if self.torn > 0 {
            self.cut()?;
        }
        if self.length == 0 {
            self.segments.pop();
            self.start_segment()?;
        }
        Ok(())
    }

    /// Cuts the current file to its valid bytes.
    fn cut(&mut self) -> Result<(), Error> {
        let file = self.current();
        let result = self
            .medium
            .truncate(&file, self.length)
            .and_then(|()| self.medium.sync(&file));
        self.broken |= result.is_err();
        result.map_err(|error| Error::io("truncate", &file, error))
    }

    fn append_records(&mut self, records: Vec<Record>) -> Result<(), Error> {
        let mut records = records;
        if !self.base_is_logged {
            records.insert(0, Record::Base(self.base));
        }
        let bytes = frame::encode(&records);
        self.retry_when_full(|folder| folder.append(&bytes))?;
        self.base_is_logged = true;
        for record in records {
            match record {
                Record::Vote(vote) => self.vote = vote,
                Record::Base(position) => self.base = self.base.max(position),
                Record::Entry(entry) => note_entry(&mut self.segments, entry.index),
                Record::Header { .. } => {}
            }
        }
        Ok(())
    }

    /// Gives up the reserve and tries once more if the disk is full.
    fn retry_when_full(
        &mut self,
        mut write: impl FnMut(&mut Folder) -> Result<(), Error>,
    ) -> Result<(), Error> {
        match write(self) {
            Err(error) if error.is_full() && self.has_reserve && !self.broken => {
                self.give_up_reserve()?;
                write(self)
            }
            result => result,
        }
    }

    /// Appends a frame to the current file and makes it durable. If the disk is full the file is
    /// as before.
    fn append(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let file = self.current();
        if let Err(error) = self.medium.append(&file, bytes) {
            let error = Error::io("append to", &file, error);
            self.cut()?;
            self.broken |= !error.is_full();
            return Err(error);
        }
        self.sync_file(&file)?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// What a failed fsync leaves on the disk is unknown, and a second one may claim success for
    /// pages that the first has dropped: so no later write is trusted.
    fn sync_file(&mut self, file: &str) -> Result<(), Error> {
        let result = self.medium.sync(file);
        self.broken |= result.is_err();
        result.map_err(|error| Error::io("fsync", file, error))
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        let result = self.medium.sync_folder();
        self.broken |= result.is_err();
        result.map_err(|error| Error::io("fsync", ".", error))
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let file = snapshot_name(snapshot.index.0);
        self.write_whole(&file, &frame::encode(snapshot))
    }

    /// Writes a file so that it is either absent or whole after a crash.
    fn write_whole(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        let result = write_temporary(self.medium.as_mut(), bytes);
        if let Err(error) = result {
            if error.is_full() {
                self.remove(TEMPORARY)?;
            } else {
                self.broken = true;
            }
            return Err(error);
        }
        let result = publish_temporary(self.medium.as_mut(), file);
        self.broken |= result.is_err();
        result
    }

    /// Starts a new log file, so that the earlier ones can be removed when a snapshot stands for
    /// all they hold.
    fn rotate(&mut self) -> Result<(), Error> {
        let result = self.start_segment();
        match result {
            // The old file goes on; the next batch tries again.
            Err(error) if error.is_full() && !self.broken => Ok(()),
            result => result,
        }
    }

    fn start_segment(&mut self) -> Result<(), Error> {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        let header = Record::Header {
            version: VERSION,
            id: self.id,
            previous_bytes: self.length,
        };
        let head = vec![header, Record::Vote(self.vote), Record::Base(self.base)];
        let bytes = frame::encode(&head);
        self.retry_when_full(|folder| folder.write_whole(&segment_name(number), &bytes))?;
        self.length = bytes.len() as u64;
        self.base_is_logged = true;
        let last = Index(0);
        self.segments.push(Segment { number, last });
        Ok(())
    }

    /// Removes, oldest first, the log files that hold nothing after an index, and the snapshots
    /// before the last.
    fn remove_through(&mut self, through: Index) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last <= through {
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

    fn make_reserve(&mut self) -> Result<(), Error> {
        if self.list()?.iter().any(|file| file == RESERVE) {
            let bytes = read(self.medium.as_mut(), RESERVE)?;
            if bytes.len() == RESERVE_BYTES {
                return Ok(());
            }
            self.remove(RESERVE)?;
        }
        let bytes = vec![0xff; RESERVE_BYTES];
        self.medium
            .append(RESERVE, &bytes)
            .and_then(|()| self.medium.sync(RESERVE))
            .map_err(|error| Error::io("write", RESERVE, error))
    }

    fn give_up_reserve(&mut self) -> Result<(), Error> {
        self.has_reserve = false;
        if self.list()?.iter().any(|file| file == RESERVE) {
            self.remove(RESERVE)?;
        }
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<String>, Error> {
        self.medium
            .list()
            .map_err(|error| Error::io("list", ".", error))
    }

    fn remove(&mut self, file: &str) -> Result<(), Error> {
        self.medium
            .remove(file)
            .map_err(|error| Error::io("remove", file, error))
    }
}

/// The identity of the folder. It is minted only for a folder that holds no state: a node that
/// lost its identity may have lost a vote, too.
fn identity(medium: &mut dyn Medium) -> Result<Id, Error> {
    let files = medium
        .list()
        .map_err(|error| Error::io("list", ".", error))?;
    if files.iter().any(|file| file == IDENTITY) {
        let bytes = read(medium, IDENTITY)?;
        return match frame::decode(&bytes) {
            Ok((id, length)) if length == bytes.len() => Ok(id),
            Ok((_, length)) => Err(Error::corrupt(IDENTITY, length, "bytes follow the frame")),
            Err(flaw) => Err(Error::corrupt(IDENTITY, 0, flaw.describe())),
        };
    }
    let holds_state = |file: &String| segment_number(file).or(snapshot_index(file)).is_some();
    if files.iter().any(holds_state) {
        return Err(Error::corrupt(IDENTITY, 0, "the file is missing"));
    }
    let id = Id(rand::random());
    write_temporary(medium, &frame::encode(&id))?;
    publish_temporary(medium, IDENTITY)?;
    Ok(id)
}

fn write_temporary(medium: &mut dyn Medium, bytes: &[u8]) -> Result<(), Error> {
    // What an interrupted step left must not come before the new bytes.
    medium
        .truncate(TEMPORARY, 0)
        .and_then(|()| medium.append(TEMPORARY, bytes))
        .and_then(|()| medium.sync(TEMPORARY))
        .map_err(|error| Error::io("write", TEMPORARY, error))
}

fn publish_temporary(medium: &mut dyn Medium, file: &str) -> Result<(), Error> {
    medium
        .rename(TEMPORARY, file)
        .and_then(|()| medium.sync_folder())
        .map_err(|error| Error::io("rename to", file, error))
}
