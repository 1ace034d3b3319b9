//! What goes wrong with a data folder.

use std::fmt;
use std::io;

/// A step on a file of the data folder that failed, with the remedy where there is one.
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
    Locked,
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

    /// Name of the file in the folder.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Offset in bytes of the damage, if the error is one.
    pub fn offset(&self) -> Option<u64> {
        match self.kind {
            Kind::Corrupt { offset, .. } => Some(offset),
            _ => None,
        }
    }

    /// Whether there was no space left; the folder holds what it held before the batch.
    pub fn is_storage_full(&self) -> bool {
        match &self.kind {
            Kind::Io { source, .. } => matches!(
                source.kind(),
                io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
            ),
            _ => false,
        }
    }

    /// Whether a file is damaged.
    pub fn is_corrupt(&self) -> bool {
        matches!(self.kind, Kind::Corrupt { .. })
    }

    /// Whether another process has the folder open.
    pub fn is_locked(&self) -> bool {
        matches!(self.kind, Kind::Locked)
    }

    /// Whether an earlier write failed in a way that leaves the files unknown; no later write
    /// is taken.
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
                "{file}: an earlier write failed, its content is unknown; restart the process"
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
