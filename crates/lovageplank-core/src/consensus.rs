//! Replicated log: elections, quorum commit, snapshots and voter changes.
//!
//! A [`Node`] is one member of the control group. It is a pure state machine: the driver passes
//! the time and an [`Input`] to [`Node::step`] and carries out the [`Output`]s that it returns.
//!
//! ```
//! use lovageplank_core::consensus::{Config, Id, Input, Membership, Node, Output, Stored, MemberInfo};
//!
//! let id = Id(7);
//! let initial = Membership::default().with_voter(id, MemberInfo::new("control-1", "127.0.0.1:7000"));
//! let mut node = Node::new(Config::new(id, 42), Stored::default(), initial, 0);
//! let now = node.deadline();
//! node.step(now, Input::Tick);
//! let outputs = node.step(now, Input::Propose { data: b"x".to_vec() });
//! assert!(outputs.iter().any(|output| matches!(output, Output::Apply(_))));
//! ```
//!
//! # Contract of the driver
//!
//! The driver may drain several inputs, call `step` for each and collect the outputs. It then
//! carries out **all** persistence outputs ([`Output::SaveVote`], [`Output::Append`],
//! [`Output::SaveSnapshot`], [`Output::Compact`]) in order, makes them durable by **one** fsync, and
//! only then carries out the rest in order. That is the group commit, and the whole safety of the
//! protocol rests on it: a node counts its own log as durable and acknowledges entries in the same
//! step that appends them. If persistence fails, the driver drops every other output of the batch
//! and the node itself, and builds a new one from what the disk holds, as after a crash.
//!
//! - Messages that wait are received before a tick, so that a driver that was held up by a slow
//!   disk does not take its own delay for the silence of the leader.
//! - Recovered entries beyond the snapshot are applied only when they are committed anew.
//! - A snapshot in [`Stored`] is restored into the state machine by the driver before the start.
//!   A driver that keeps its state machine when it builds a new node skips the entries that it
//!   has applied already: [`Output::Apply`] begins right after the snapshot.
//! - Each proposal, membership change and transfer is answered by exactly one
//!   [`Output::Accepted`] or [`Output::Refused`], in order; each [`Input::ReadIndex`] by one
//!   [`Output::ReadReady`] or [`Output::ReadRefused`], perhaps in a later step.
//! - An accepted proposal is done when [`Output::Apply`] brings an entry of the same index *and*
//!   term; another term at that index means that the proposal was lost.
//!
//! # Rationale and limits
//!
//! The protocol is Raft with pre-vote, check-quorum and changes of one voter at a time.
//! [`Config::new`] and [`Stored::default`] describe a fresh node. A voter that lost its disk
//! never returns under its old [`Id`], since it may have forgotten a vote: the identity is
//! minted with the data folder, and the old one has to be removed. A dead voter is best replaced
//! by adding the learner, removing the dead one and then promoting: promoted first, the group
//! would for a moment need all three that are left.
//!
//! A snapshot is sent whole, so it is limited to [`SNAPSHOT_BYTES_MAX`]. Reads are confirmed by
//! a round of heartbeats; no answer depends on clocks that agree.

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
pub use types::{
    Entry, Id, Index, MemberInfo, Membership, Payload, Position, Snapshot, Stored, Term, Vote,
};
