//! Checksummed log and snapshots under one data folder.
//!
//! A [`Folder`] keeps what a [consensus node](lovageplank_core::consensus) must not forget: its
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
//! | `identity` | one frame: the identity, minted at random when the folder is first opened |
//! | `log-N` | frames, one for each [`Folder::sync`]; the highest `N` is appended to |
//! | `snapshot-I` | one frame: the snapshot at index `I`; only the last is kept |
//! | `reserve` | space given up when the disk is full, so that the batch at hand still fits |
//! | `lock` | locked while a process has the folder open |
//!
//! A frame is the length of the payload, its CRC-32, the CRC-32 of these two, the payload in CBOR
//! and a mark. All records of a batch are in one frame, so a batch is recovered whole or not at
//! all.
//!
//! # What is repaired, and what is refused
//!
//! A crash can tear only the last frame of the last log file. It is cut off if the file ends
//! before the frame does, or in zeroes, and no valid frame follows; nothing that was acknowledged
//! is in it. Everything else that is damaged is refused with file and offset: the folder has to
//! be removed, and the instance joins again under a new identity.
//!
//! Not told from a torn frame is a last one, synced and acknowledged, whose end was lost or
//! zeroed by the device afterwards.
//!
//! When the disk is full the batch at hand goes into the space of the reserve, and
//! [`Folder::ensure_reserve`] tells the driver to stop taking entries. If even that is not enough
//! the batch is refused ([`Error::is_storage_full`]), the files are as before it, and the driver has to
//! build a new node from [`Folder::reload`]. After a failed fsync nothing is known about the
//! file, so all later writes are refused.

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
