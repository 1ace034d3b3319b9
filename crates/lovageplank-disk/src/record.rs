//! Records in the frames of log files, and file names.

use lovageplank_core::consensus::{Entry, Id, Position, Vote};
use lovageplank_core::record;

/// Version of the log files' format; files of another version are refused.
pub(crate) const VERSION: u32 = 1;

record! { key =>
    /// A record of a log file. The payload of a frame is a `Vec` of them.
    pub(crate) enum Record {
        /// The first record of a file.
        Header {
            version: u32,
            id: Id,
            /// Final length in bytes of the log file before this one.
            previous_bytes: u64,
        },
        /// Replaces the vote.
        Vote(Vote),
        /// The log begins after this position, because a snapshot replaces the entries up to it.
        /// Later entries remain only if the log contained an entry at this position.
        Base(Position),
        /// Appends an entry and replaces all earlier ones from its index on.
        Entry(Entry),
    }
}

/// The name of a log file.
pub(crate) fn segment_name(number: u64) -> String {
    format!("log-{number:016x}")
}

/// The number of a log file.
pub(crate) fn segment_number(file: &str) -> Option<u64> {
    u64::from_str_radix(file.strip_prefix("log-")?, 16).ok()
}

/// The name of a snapshot.
pub(crate) fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:016x}")
}

/// The index of a snapshot.
pub(crate) fn snapshot_index(file: &str) -> Option<u64> {
    u64::from_str_radix(file.strip_prefix("snapshot-")?, 16).ok()
}
