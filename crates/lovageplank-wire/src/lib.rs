//! Typed messages between lovageplank processes and their CBOR codec.
//!
//! Every message on a link is one [`Frame`]. A link opens with an exchange of [`Hello`]s and
//! [`hello::Proof`]s, by which each end proves that it has the deployment's key.
//!
//! ```
//! use lovageplank_wire::{Frame, codec};
//! let bytes = codec::encode(&Frame::Ping { nonce: 7 }).unwrap();
//! assert_eq!(codec::decode(&bytes).unwrap(), Frame::Ping { nonce: 7 });
//! ```
//!
//! Fields are encoded by name, so a newer process may add optional fields. Other changes need a new
//! protocol version, which the hello carries. [`codec::FRAME_BYTES_MAX`] bounds the size of a
//! frame.

pub mod call;
pub mod codec;
pub mod frame;
pub mod hello;

pub use call::{Answer, Call, Refusal};
pub use codec::Error;
pub use frame::{Frame, Heartbeat, Lease};
pub use hello::{Hello, Role};
