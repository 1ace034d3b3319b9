//! Errors of a data folder.

use std::fmt;
use std::io;

/// A failed operation on a file of the data folder. The message for a damaged file, and the one for
/// a folder that refuses writes, also say what to do.
#[derive(Debug)]
pub struct Error {
    file: String,
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Io {
        operation: &'static str,
        source: io::Error,
    },
    Corrupt {
        offset: u64,
        reason: &'static str,
    },
    /// Another process has locked the folder.
    Locked,
    /// An earlier operation failed and left the content of the files unknown.
    Broken,
}

impl Error {
    pub(crate) fn io(operation: &'static str, file: &str, source: io::Error) -> Error {
        Error::new(file, Kind::Io { operation, source })
    }

    pub(crate) fn corrupt(file: &str, offset: usize, reason: &'static str) -> Error {
        let offset = offset as u64;
        Error::new(file, Kind::Corrupt { offset, reason })
    }

    pub(crate) fn locked(file: &str) -> Error {
        Error::new(file, Kind::Locked)
    }

    pub(crate) fn broken(file: &str) -> Error {
        Error::new(file, Kind::Broken)
    }

    fn new(file: &str, kind: Kind) -> Error {
        let file = file.to_owned();
        Error { file, kind }
    }

    /// Name of the file within the folder; `.` is the folder itself.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Offset of the damage in bytes, if a file is damaged.
    pub fn offset(&self) -> Option<u64> {
        match self.kind {
            Kind::Corrupt { offset, .. } => Some(offset),
            _ => None,
        }
    }

    /// Whether the disk or the quota was full. The log is as it was before the batch; the batch's
    /// snapshot may have been stored.
    pub fn is_storage_full(&self) -> bool {
        match &self.kind {
            Kind::Io { source, .. } => matches!(
                source.kind(),
                io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
            ),
            _ => false,
        }
    }

    /// Whether a file is damaged or missing.
    pub fn is_corrupt(&self) -> bool {
        matches!(self.kind, Kind::Corrupt { .. })
    }

    /// Whether another process has the folder open.
    pub fn is_locked(&self) -> bool {
        matches!(self.kind, Kind::Locked)
    }

    /// Whether an earlier operation failed and left the content of the files unknown. The folder
    /// refuses all later writes.
    pub fn is_broken(&self) -> bool {
        matches!(self.kind, Kind::Broken)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let file = &self.file;
        match &self.kind {
            Kind::Io { operation, source } => write!(formatter, "{operation} {file}: {source}"),
            Kind::Corrupt { offset, reason } => write!(
                formatter,
                "{file} is damaged at offset {offset}: {reason}; remove the data folder and add \
                 the instance again: it joins under a new identity"
            ),
            Kind::Locked => write!(formatter, "{file}: another process has the folder open"),
            Kind::Broken => write!(
                formatter,
                "{file}: an earlier write failed and its content is unknown; restart the process"
            ),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            Kind::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
