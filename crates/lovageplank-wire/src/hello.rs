//! The opening of a link: versions, identities and a mutual challenge.
//!
//! The dialling end sends [`Hello`]; the listening end answers with its own and a [`Proof`] over
//! both; the dialling end sends its [`Proof`]. A proof is an HMAC-SHA-256 under the deployment's
//! key over the prover's role in the exchange and both hellos, so that it can't be replayed on
//! another link or in the other direction.

use hmac::{Hmac, Mac};
use lovageplank_core::prelude::*;
use sha2::Sha256;

/// Version of the protocol that this build speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// Oldest version that this build still understands.
pub const PROTOCOL_VERSION_MIN: u32 = 1;

/// Bytes of a key at the least.
pub const KEY_BYTES_MIN: usize = 16;

record! { copy =>
    /// What the process at an end of a link does.
    pub enum Role {
        /// A member of the control group.
        Control,
        /// A control process that copies the log and never votes, since it keeps nothing.
        Observer,
        /// A router.
        Router,
    }
}

record! { key =>
    /// How an end introduces itself.
    pub struct Hello {
        /// Newest version of the protocol that it speaks.
        pub protocol: u32,
        /// Oldest version of the protocol that it speaks.
        pub protocol_min: u32,
        /// Its instance's name.
        pub instance: Name,
        /// What it does.
        pub role: Role,
        /// Its consensus identity; 0 for routers.
        pub id: u64,
        /// Grows with each start of its process.
        pub incarnation: u64,
        /// `ip:port` for callers, backend servers and operators.
        pub address: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Random bytes that make each link's proofs its own.
        pub nonce: [u8; 16],
    }
}

record! { copy =>
    /// Shows that an end holds the deployment's key.
    pub struct Proof(pub [u8; 32]);
}

/// Which end proves itself.
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
    /// A key of these bytes; `None` if there are fewer than [`KEY_BYTES_MIN`].
    pub fn new(bytes: &[u8]) -> Option<LinkKey> {
        (bytes.len() >= KEY_BYTES_MIN).then(|| LinkKey(bytes.into()))
    }

    /// The proof that `end` sends.
    pub fn prove(&self, end: LinkEnd, dialling: &Hello, listening: &Hello) -> Proof {
        Proof(
            self.mac(end, dialling, listening)
                .finalize()
                .into_bytes()
                .into(),
        )
    }

    /// Whether `proof` is what `end` had to send; takes the same time for every wrong proof.
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
            ciborium::into_writer(hello, &mut bytes).expect("a hello always encodes");
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
    /// Whether two ends have a version of the protocol in common.
    pub fn shares_version_with(&self, other: &Hello) -> bool {
        self.protocol >= other.protocol_min && other.protocol >= self.protocol_min
    }
}
