//! What the frames of the files hold.

use lovageplank_core::consensus::{Entry, Id, Position, Vote};
use lovageplank_core::record;

/// Version of the files; others are refused.
pub(crate) const VERSION: u32 = 1;

record! { key =>
    /// One thing that a log file says. A frame holds a `Vec` of them.
    pub(crate) enum Record {
        /// The first record of a file.
        Header {
            version: u32,
            id: Id,
            /// Length of the file before this one, which has been full since.
            previous_bytes: u64,
        },
        /// Replaces the vote.
        Vote(Vote),
        /// The log begins after this position, which a snapshot stands for. What follows it
        /// stays only if the log held the position.
        Base(Position),
        /// Replaces everything from its index on.
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
