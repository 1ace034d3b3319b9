//! Typed messages between lovageplank processes and their CBOR codec.
//!
//! Every message on a link is one [`Frame`]; a link opens with [`Hello`]s and [`hello::Proof`]s,
//! by which both ends show that they hold the deployment's key.
//!
//! ```
//! use lovageplank_wire::{Frame, codec};
//! let bytes = codec::encode(&Frame::Ping { nonce: 7 }).unwrap();
//! assert_eq!(codec::decode(&bytes).unwrap(), Frame::Ping { nonce: 7 });
//! ```
//!
//! CBOR names every field, so that a newer process may add optional ones; the numbers in the
//! hello guard against more than that. Sizes are bounded by [`codec::FRAME_BYTES_MAX`].

pub mod call;
pub mod codec;
pub mod frame;
pub mod hello;

pub use call::{Answer, Call, Refusal};
pub use codec::Error;
pub use frame::{Frame, Heartbeat, Lease};
pub use hello::{Hello, Role};
