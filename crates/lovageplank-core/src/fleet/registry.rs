//! Backend servers as they announce themselves.
//!
//! Announcements come late, out of order, from servers that are gone and by way of several
//! instances. What counts is the incarnation (the server's own start time) and, within it, the
//! number of the announcement. A server that leaves stays so for the rest of its incarnation.

use crate::prelude::*;

/// Milliseconds for which a server that is gone is remembered, so that a late announcement
/// doesn't bring it back.
const RETENTION_MS: Millis = 120_000;

record! { copy =>
    /// Where a server is in its life; it only moves on.
    pub enum Stage {
        /// Takes requests.
        Ready,
        /// Finishes what it has and leaves.
        Draining,
        /// Has left.
        Gone,
    }
}

record! { key =>
    /// A model that an engine holds in its accelerator's memory.
    pub struct LoadedModel {
        /// The model.
        pub model: Name,
        /// Version of its weights.
        pub version: u64,
        /// Adapters of it that are loaded.
        pub adapters: BTreeSet<Name>,
    }
}

record! { key =>
    /// Copies of weights that an engine keeps beside its accelerator's memory.
    #[derive(Default)]
    pub struct CachedWeights {
        /// Models in the host's memory.
        pub memory: BTreeSet<Name>,
        /// Models on the host's disk.
        pub disk: BTreeSet<Name>,
    }
}

record! { key =>
    /// What a server says of itself.
    pub struct Announcement {
        /// Name of the server; may come back with a later start.
        pub id: Name,
        /// When this incarnation started, in Unix milliseconds by the server's clock.
        #[serde(rename = "born_ms")]
        pub incarnation: u64,
        /// Number of the announcement within the incarnation.
        pub number: u64,
        /// The service that it belongs to.
        pub service: Name,
        /// `ip:port` for requests.
        pub address: Name,
        /// Its failure domain.
        pub domain: Name,
        /// Where it is in its life.
        pub stage: Stage,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Milliseconds until it is taken away, when it leaves at short notice.
        pub leaves_in_ms: Option<u64>,
        /// Models that it holds.
        #[serde(rename = "held")]
        pub loaded: Vec<LoadedModel>,
        /// Copies of weights that it keeps.
        #[serde(rename = "copies")]
        pub cached_weights: CachedWeights,
    }
}

/// A known server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its newest announcement, with the stage it has reached.
    pub announcement: Announcement,
    /// When the newest announcement came.
    pub last_heard_at: Millis,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server was not known in this incarnation.
    New,
    /// It has moved on to another stage.
    Moved,
    /// Nothing but details and the time.
    Renewed,
    /// The announcement is older than what is known.
    Ignored,
}

/// All known servers by name.
///
/// Invariant: at most one server at an address is not gone.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: BTreeMap<Name, Server>,
}

impl Registry {
    /// Takes an announcement.
    pub fn observe(&mut self, now: Millis, mut announcement: Announcement) -> Change {
        let known = self.servers.get(&announcement.id);
        if let Some(known) = known {
            let age = (known.announcement.incarnation, known.announcement.number);
            if (announcement.incarnation, announcement.number) <= age
                && announcement.stage <= known.announcement.stage
            {
                return Change::Ignored;
            }
            if announcement.incarnation < known.announcement.incarnation {
                return Change::Ignored;
            }
        }
        if self.address_taken(&announcement) {
            announcement.stage = Stage::Gone;
        }
        let same = known.filter(|k| k.announcement.incarnation == announcement.incarnation);
        let before = same.map(|k| k.announcement.stage);
        if let Some(before) = before {
            announcement.stage = announcement.stage.max(before);
        }
        let change = match before {
            None => Change::New,
            Some(before) if before != announcement.stage => Change::Moved,
            Some(_) => Change::Renewed,
        };
        self.mark_predecessors_gone(&announcement);
        let last_heard_at = now;
        self.servers.insert(
            announcement.id.clone(),
            Server {
                announcement,
                last_heard_at,
            },
        );
        change
    }

    /// A server says that it leaves, or has left; `born_ms` is its incarnation if it was said.
    pub fn mark_gone(&mut self, now: Millis, id: &str, incarnation: Option<u64>) -> Change {
        let Some(known) = self.servers.get_mut(id) else {
            return Change::Ignored;
        };
        if incarnation.is_some_and(|born| born < known.announcement.incarnation) {
            return Change::Ignored;
        }
        if known.announcement.stage == Stage::Gone {
            return Change::Ignored;
        }
        known.announcement.stage = Stage::Gone;
        known.last_heard_at = now;
        Change::Moved
    }

    /// A server has announced itself lately, as another instance says; whether it is known.
    pub fn renew_liveness(&mut self, now: Millis, id: &str, incarnation: u64) -> bool {
        let known = self.servers.get_mut(id);
        let known = known.filter(|s| {
            s.announcement.incarnation == incarnation && s.announcement.stage != Stage::Gone
        });
        let Some(server) = known else {
            return false;
        };
        server.last_heard_at = now;
        true
    }

    /// Forgets servers that have been gone, or silent, for long.
    pub fn expire(&mut self, now: Millis, max_silence_ms: Millis) {
        self.servers.retain(|_, server| {
            let age = now.saturating_sub(server.last_heard_at);
            match server.announcement.stage {
                Stage::Gone => age < RETENTION_MS,
                _ => age < max_silence_ms.max(RETENTION_MS),
            }
        });
    }

    /// A server by name.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Servers of a service that take requests.
    pub fn ready<'a>(&'a self, service: &Name) -> impl Iterator<Item = &'a Server> + use<'a> {
        let service = service.clone();
        self.servers.values().filter(move |s| {
            s.announcement.service == service && s.announcement.stage == Stage::Ready
        })
    }

    /// Whether a later incarnation of another server has the address.
    fn address_taken(&self, announcement: &Announcement) -> bool {
        self.servers.values().any(|other| {
            other.announcement.id != announcement.id
                && other.announcement.address == announcement.address
                && other.announcement.stage != Stage::Gone
                && other.announcement.incarnation > announcement.incarnation
        })
    }

    /// Marks earlier servers at the address of `said` as gone.
    fn mark_predecessors_gone(&mut self, announcement: &Announcement) {
        if announcement.stage == Stage::Gone {
            return;
        }
        for other in self.servers.values_mut() {
            if other.announcement.id != announcement.id
                && other.announcement.address == announcement.address
            {
                other.announcement.stage = Stage::Gone;
            }
        }
    }
}
