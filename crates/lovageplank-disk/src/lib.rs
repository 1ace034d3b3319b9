//! Checksummed log and snapshots under one data folder.
//!
//! A [`Folder`] stores the durable state of a [consensus node](lovageplank_core::consensus): its
//! identity, its vote, the log and the last snapshot.
//!
//! ```
//! use lovageplank_core::consensus::{Output, Term, Vote};
//! use lovageplank_disk::Folder;
//!
//! # let temporary = tempfile::tempdir()?;
//! # let path = temporary.path();
//! let (mut folder, stored) = Folder::open(path)?;
//! assert!(stored.entries.is_empty());
//! let vote = Vote { term: Term(1), voted_for: Some(folder.id()) };
//! folder.stage(&[Output::SaveVote(vote)]);
//! folder.sync()?;
//! drop(folder);
//!
//! let (_, stored) = Folder::open(path)?;
//! assert_eq!(stored.vote, vote);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # Files
//!
//! | file | content |
//! | --- | --- |
//! | `identity` | one frame: the identity, generated at random when the folder is first opened |
//! | `log-N` | frames, one for each batch of records; the highest `N` is appended to |
//! | `snapshot-I` | one frame: the snapshot at index `I`; only the last is kept |
//! | `reserve` | space that is released when the disk is full, so that the current batch fits |
//! | `temporary` | a file that is being written and is renamed once it is durable |
//! | `lock` | locked while a process has the folder open |
//!
//! A frame consists of the length of the payload, the CRC-32 of the payload, the CRC-32 of these
//! two fields, the payload in CBOR and an end marker. All log records of a batch are in one frame,
//! so they are recovered together or not at all. A snapshot is stored before the log records of its
//! batch and may be recovered without them.
//!
//! # Recovery and damage
//!
//! A crash can tear only the last frame of the last log file. [`Folder::open`] truncates that frame
//! if it is incomplete, the file ends in a zero byte or all that the frame has in one sector (512
//! bytes, at a multiple of that in the file) is zero, and no valid frame follows; a frame torn by a
//! crash was never acknowledged. All other damage is an error that names the file and the offset:
//! the folder has to be removed, and the instance joins again under a new identity.
//!
//! If the device loses or zeroes the end or a sector of the last frame after it was synced and
//! acknowledged, that frame can't be distinguished from a torn one and is truncated, too. Where a
//! frame begins in the last bytes of a sector, this holds for these bytes alone.
//!
//! # Full disk and failed fsync
//!
//! When the disk is full, the reserve is released and the current batch is written into its space.
//! [`Folder::ensure_reserve`] then returns false until there is space for a new reserve, and the
//! caller should accept no entries meanwhile. If the released space isn't enough, the batch is
//! refused ([`Error::is_storage_full`]), the log stays as it was, and the caller has to build a new
//! node from [`Folder::reload`]. After a failed fsync the content of the file is unknown, so all
//! later writes are refused.

mod error;
mod folder;
mod frame;
mod memory;
mod record;
mod recovery;
mod storage;

pub use error::Error;
pub use folder::Folder;
pub use memory::MemoryStorage;
pub use storage::{Directory, Storage};
