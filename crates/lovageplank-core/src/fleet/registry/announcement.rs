//! What backend servers say of themselves.

use super::Presence;
use crate::prelude::*;
use std::net::{IpAddr, SocketAddr};

/// Largest time of a start that an announcement may name, in Unix milliseconds: in the year 2248.
const INCARNATION_MAX: u64 = 1 << 43;
/// Largest number of an announcement: a hundred in a second for a year.
const NUMBER_MAX: u64 = 1 << 32;
/// Most requests that a server may say that it runs at once.
const SLOTS_MAX: u32 = 1 << 16;

record! { copy =>
    /// Lifecycle stage of a server; within an incarnation it only advances.
    pub enum Stage {
        /// Accepts requests.
        Ready,
        /// Finishes its running requests, then leaves.
        Draining,
        /// Has left.
        Gone,
    }
}

record! { key =>
    /// A model in an engine's accelerator memory.
    pub struct LoadedModel {
        /// Name of the model.
        pub model: Name,
        /// Version of its weights.
        pub version: u64,
        /// Adapters of the model that are loaded.
        pub adapters: BTreeSet<Name>,
    }
}

record! { key =>
    /// Weights that an engine's host has cached outside the accelerator's memory.
    #[derive(Default)]
    pub struct CachedWeights {
        /// Models in host memory.
        pub memory: BTreeSet<Name>,
        /// Models on the host's disk.
        pub disk: BTreeSet<Name>,
    }
}

record! { key =>
    /// A backend server, as it describes itself.
    pub struct Announcement {
        /// Name of the server; a later incarnation may use it again.
        pub id: Name,
        /// The incarnation: when the process of the server started, in Unix milliseconds by its own
        /// clock.
        #[serde(rename = "born_ms")]
        pub incarnation: u64,
        /// Sequence number of the announcement within the incarnation.
        pub number: u64,
        /// The service that it belongs to.
        pub service: Name,
        /// Address for requests, as `ip:port`.
        pub address: Name,
        /// Its failure domain.
        pub domain: Name,
        /// Version of its software (not of a model's weights); empty if it names none.
        #[serde(default)]
        pub software: Name,
        /// Lifecycle stage that the server reports.
        pub stage: Stage,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Remaining milliseconds until the server leaves, if it leaves at short notice.
        pub leaves_in_ms: Option<u64>,
        /// Models that it has loaded.
        #[serde(rename = "held")]
        pub loaded: Vec<LoadedModel>,
        /// Weights that its host has cached.
        #[serde(rename = "copies")]
        pub cached_weights: CachedWeights,
        /// Whether the incarnation has left, as far as the process knows that relays the announcement.
        #[serde(default, skip_serializing_if = "Presence::is_plain")]
        pub presence: Presence,
    }
}

impl Announcement {
    /// Says why this can't be the announcement of a backend server, whatever it is one of. Later ones of a server
    /// couldn't pass one with a huge number.
    pub fn check(&self) -> Result<(), &'static str> {
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|_| "the address isn't ip:port")?;
        let ip = address.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
            return Err("nothing can be sent to the address");
        }
        if self.slots > SLOTS_MAX {
            return Err("there are too many slots");
        }
        check_order(self.incarnation, self.number)
    }

    /// Whether routers need this announcement after an `earlier` one of the same stage. With a leader
    /// (`has_leader`) they hear from it which models are loaded, and the weights in host memory change with each
    /// load, so that only the slots and the weights on disk count. At hundreds of engines and routers anything
    /// that changes with each load fills the leader's link.
    pub fn is_news(&self, earlier: &Announcement, has_leader: bool) -> bool {
        let lasting = |a: &Announcement| (a.slots, a.cached_weights.disk.clone());
        let passing = |a: &Announcement| (a.loaded.clone(), a.cached_weights.memory.clone());
        lasting(self) != lasting(earlier) || !has_leader && passing(self) != passing(earlier)
    }

    /// Number of the newest announcement of the incarnation that is known with this one.
    pub(super) fn last_number(&self) -> u64 {
        self.presence.readmitted_at.unwrap_or(0).max(self.number)
    }

    /// Whether a `later` announcement of the same incarnation says nothing that this one doesn't, if `presence` is what
    /// both together say of its departure.
    pub(super) fn includes(&self, later: &Announcement, presence: Presence) -> bool {
        let is_outdated = later.number <= self.number && later.stage <= self.stage;
        // An earlier departure, of a server that was readmitted since.
        let is_overtaken = later.stage == Stage::Gone && !presence.is_gone();
        is_overtaken || is_outdated && presence.is_gone() == self.presence.is_gone()
    }

    /// Whether this is of another server than `other`, at the same address.
    pub(super) fn has_address_of_other(&self, other: &Announcement) -> bool {
        self.id != other.id && self.address == other.address
    }
}

/// Says why a server can't have this incarnation or this number of an announcement.
pub(super) fn check_order(incarnation: u64, number: u64) -> Result<(), &'static str> {
    if incarnation > INCARNATION_MAX || number > NUMBER_MAX {
        return Err("the time of its start or its number is too large");
    }
    Ok(())
}
