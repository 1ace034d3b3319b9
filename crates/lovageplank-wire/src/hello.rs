//! The handshake that opens a link: protocol versions, identities and mutual authentication.
//!
//! The dialling end sends a [`Hello`]. The listening end answers with its own hello and a
//! [`Proof`]. The dialling end then sends its proof. A proof is an HMAC-SHA-256 under the
//! deployment's key over the end that sends it and both hellos. It can't be replayed on another
//! link, because each hello has a random nonce, or in the other direction.

use hmac::{Hmac, Mac};
use lovageplank_core::prelude::*;
use sha2::Sha256;

/// Newest protocol version that this build supports.
///
/// - 1: the first one.
/// - 2: messages about brittle servers and places.
/// - 3: changes of totals.
/// - 4: bundles of messages.
/// - 5: patches of the document.
/// - 6: changes of the keys that are held.
/// - 7: quotas of tenants, speeds of servers.
/// - 8: loads from the weight store in progress.
pub const PROTOCOL_VERSION: u32 = 8;

/// Oldest protocol version that this build supports.
pub const PROTOCOL_VERSION_MIN: u32 = 1;

/// Fewest bytes of a deployment's key.
pub const KEY_BYTES_MIN: usize = 16;

record! { copy =>
    /// Role of the process at one end of a link.
    pub enum Role {
        /// A member of the control group.
        Control,
        /// A control process that replicates the log but never votes, because it stores nothing
        /// durably.
        Observer,
        /// A router.
        Router,
    }
}

record! { key =>
    /// Identity, address and protocol versions of one end of a link.
    pub struct Hello {
        /// Newest protocol version that the process supports.
        pub protocol: u32,
        /// Oldest protocol version that the process supports.
        pub protocol_min: u32,
        /// Name of the process's instance.
        pub instance: Name,
        /// Role of the process.
        pub role: Role,
        /// Consensus identity of the process; 0 for routers.
        pub id: u64,
        /// Increases with each start of the process.
        pub incarnation: u64,
        /// `ip:port` at which the process accepts callers, backend servers and operators.
        pub address: Name,
        /// Failure domain of the process.
        pub failure_domain: Name,
        /// Random bytes that make the proofs of each link unique.
        pub nonce: [u8; 16],
    }
}

record! { copy =>
    /// Proves that one end of a link has the deployment's key.
    pub struct Proof(pub [u8; 32]);
}

/// One of the two ends of a link.
#[derive(Clone, Copy, Debug)]
pub enum LinkEnd {
    /// The end that opened the connection.
    Dialling,
    /// The end that accepted it.
    Listening,
}

/// The deployment's shared key.
#[derive(Clone)]
pub struct LinkKey(Arc<[u8]>);

impl LinkKey {
    /// Returns a key of these bytes, or `None` if there are fewer than [`KEY_BYTES_MIN`].
    pub fn new(bytes: &[u8]) -> Option<LinkKey> {
        (bytes.len() >= KEY_BYTES_MIN).then(|| LinkKey(bytes.into()))
    }

    /// Returns the proof that `end` has to send.
    pub fn prove(&self, end: LinkEnd, dialling: &Hello, listening: &Hello) -> Proof {
        Proof(
            self.mac(end, dialling, listening)
                .finalize()
                .into_bytes()
                .into(),
        )
    }

    /// Whether `proof` is the one that `end` has to send. Runs in constant time, so that timing
    /// reveals nothing about the right proof.
    pub fn verify(&self, end: LinkEnd, dialling: &Hello, listening: &Hello, proof: &Proof) -> bool {
        self.mac(end, dialling, listening)
            .verify_slice(&proof.0)
            .is_ok()
    }

    fn mac(&self, end: LinkEnd, dialling: &Hello, listening: &Hello) -> Hmac<Sha256> {
        let mut mac =
            <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(match end {
            LinkEnd::Dialling => b"dialling",
            LinkEnd::Listening => b"listening",
        });
        for hello in [dialling, listening] {
            let mut bytes = Vec::new();
            ciborium::into_writer(hello, &mut bytes)
                .expect("encoding a hello into a vector never fails");
            mac.update(&(bytes.len() as u64).to_be_bytes());
            mac.update(&bytes);
        }
        mac
    }
}

impl std::fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Hello {
    /// Whether both ends support a common protocol version.
    pub fn shares_version_with(&self, other: &Hello) -> bool {
        self.protocol >= other.protocol_min && other.protocol >= self.protocol_min
    }
}
