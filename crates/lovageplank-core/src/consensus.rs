//! Replicated log by Raft: elections, quorum commit, snapshots and membership changes.
//!
//! A [`Node`] is one member of the control group (Raft calls it a cluster): the processes that
//! replicate one log as voters or learners. A node does no I/O and reads no clock: its driver
//! passes the time and an [`Input`] to [`Node::step`] and carries out the returned [`Output`]s.
//!
//! ```
//! use lovageplank_core::consensus::{
//!     Config, Id, Input, MemberInfo, Membership, Node, Output, StoredState,
//! };
//!
//! let id = Id(7);
//! let info = MemberInfo::new("control-1", "127.0.0.1:7000");
//! let initial = Membership::default().with_voter(id, info);
//! let mut node = Node::new(Config::new(id, 42), StoredState::default(), initial, 0);
//! let now = node.deadline();
//! node.step(now, Input::Tick);
//! let outputs = node.step(now, Input::Propose { data: b"x".to_vec() });
//! assert!(outputs.iter().any(|output| matches!(output, Output::Apply(_))));
//! ```
//!
//! # Contract of the driver
//!
//! The driver may take several queued inputs, call `step` for each and collect the outputs. It then
//! carries out **all** persistence outputs ([`Output::SaveVote`], [`Output::Append`],
//! [`Output::SaveSnapshot`], [`Output::Compact`]) in order, makes them durable by **one** fsync,
//! and only then carries out the other outputs in order. The safety of the protocol depends on the
//! fsync coming first: a node counts its own log as durable and acknowledges entries in the same
//! step that appends them. If persistence fails, the driver carries out no other output of the
//! batch, discards the node and builds a new one from the data on disk, as after a crash.
//!
//! - The driver passes queued messages to the node before a tick. Otherwise a driver delayed by a
//!   slow disk would let the election timeout expire while messages of the leader wait in its
//!   queue.
//! - The commit index is not stored. A new node returns a recovered entry after the snapshot as
//!   [`Output::Apply`] only once it has learned again that the entry is committed.
//! - The driver restores a snapshot in [`StoredState`] into the state machine before it builds the
//!   node. [`Output::Apply`] starts right after the snapshot, so a driver that keeps its state
//!   machine when it builds a new node must skip the entries that are already applied.
//! - Each proposal, membership change and leadership transfer gets exactly one
//!   [`Output::Accepted`] or [`Output::Refused`], in order; each [`Input::ReadIndex`] gets one
//!   [`Output::ReadReady`] or [`Output::ReadRefused`], possibly in a later step.
//! - An accepted proposal is committed when [`Output::Apply`] returns an entry with the same index
//!   *and* term; an entry of another term at that index means that the proposal was lost.
//!
//! # Rationale and limits
//!
//! The protocol is Raft with pre-vote, check-quorum and single-server membership changes.
//!
//! A node whose data folder is empty is built from [`Config::new`] and [`StoredState::default`].
//! The membership passed to [`Node::new`] applies until the log or a snapshot contains one.
//!
//! A voter that lost its disk must not return under its old [`Id`], because it may have lost the
//! record of a vote. The identity is stored in the data folder, and a new folder gets a new
//! identity; the old one has to be removed from the membership.
//!
//! To replace a failed voter of three, add the new node as a learner, remove the failed voter, then
//! promote the learner. If the learner is promoted first, all three running voters are needed for a
//! quorum until the failed one is removed.
//!
//! A snapshot is sent in one message, so its size is limited to [`SNAPSHOT_BYTES_MAX`]. Reads are
//! confirmed by a heartbeat round; they don't depend on synchronized clocks.

mod bytes;
mod change;
mod config;
mod election;
mod log;
mod message;
mod node;
mod progress;
mod read;
mod replication;
mod snapshot;
mod types;

pub use config::{Config, Mutant, SNAPSHOT_BYTES_MAX};
pub use message::{Body, Input, Message, Output, Refusal};
pub use node::{Node, Role};
pub use progress::{Follower, Sending};
pub use types::{
    Entry, Id, Index, MemberInfo, Membership, Payload, Position, Snapshot, StoredState, Term, Vote,
};
