//! Backend servers as they announce themselves.
//!
//! Announcements come late, out of order, from servers that are gone and by way of several
//! instances. What counts is the incarnation (the server's own start time) and, within it, the
//! number of the announcement. A server that leaves stays so for the rest of its incarnation.

use crate::prelude::*;

/// Milliseconds for which a server that is gone is remembered, so that a late announcement
/// doesn't bring it back.
const REMEMBERED_MS: Millis = 120_000;

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
    pub struct Held {
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
    pub struct Copies {
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
        pub born_ms: u64,
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
        pub held: Vec<Held>,
        /// Copies of weights that it keeps.
        pub copies: Copies,
    }
}

/// A known server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its newest announcement, with the stage it has reached.
    pub said: Announcement,
    /// When the newest announcement came.
    pub heard_at: Millis,
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
    pub fn observe(&mut self, now: Millis, mut said: Announcement) -> Change {
        let known = self.servers.get(&said.id);
        if let Some(known) = known {
            let age = (known.said.born_ms, known.said.number);
            if (said.born_ms, said.number) <= age && said.stage <= known.said.stage {
                return Change::Ignored;
            }
            if said.born_ms < known.said.born_ms {
                return Change::Ignored;
            }
        }
        if self.address_taken(&said) {
            said.stage = Stage::Gone;
        }
        let same = known.filter(|k| k.said.born_ms == said.born_ms);
        let before = same.map(|k| k.said.stage);
        if let Some(before) = before {
            said.stage = said.stage.max(before);
        }
        let change = match before {
            None => Change::New,
            Some(before) if before != said.stage => Change::Moved,
            Some(_) => Change::Renewed,
        };
        self.release_address(&said);
        let heard_at = now;
        self.servers
            .insert(said.id.clone(), Server { said, heard_at });
        change
    }

    /// A server says that it leaves, or has left; `born_ms` is its incarnation if it was said.
    pub fn leave(&mut self, now: Millis, id: &str, born_ms: Option<u64>) -> Change {
        let Some(known) = self.servers.get_mut(id) else {
            return Change::Ignored;
        };
        if born_ms.is_some_and(|born| born < known.said.born_ms) {
            return Change::Ignored;
        }
        if known.said.stage == Stage::Gone {
            return Change::Ignored;
        }
        known.said.stage = Stage::Gone;
        known.heard_at = now;
        Change::Moved
    }

    /// A server has announced itself lately, as another instance says; whether it is known.
    pub fn lives(&mut self, now: Millis, id: &str, born_ms: u64) -> bool {
        let known = self.servers.get_mut(id);
        let known = known.filter(|s| s.said.born_ms == born_ms && s.said.stage != Stage::Gone);
        let Some(server) = known else {
            return false;
        };
        server.heard_at = now;
        true
    }

    /// Forgets servers that have been gone, or silent, for long.
    pub fn expire(&mut self, now: Millis, silent_ms: Millis) {
        self.servers.retain(|_, server| {
            let age = now.saturating_sub(server.heard_at);
            match server.said.stage {
                Stage::Gone => age < REMEMBERED_MS,
                _ => age < silent_ms.max(REMEMBERED_MS),
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
        self.servers
            .values()
            .filter(move |s| s.said.service == service && s.said.stage == Stage::Ready)
    }

    /// Whether a later incarnation of another server has the address.
    fn address_taken(&self, said: &Announcement) -> bool {
        self.servers.values().any(|other| {
            other.said.id != said.id
                && other.said.address == said.address
                && other.said.stage != Stage::Gone
                && other.said.born_ms > said.born_ms
        })
    }

    /// Marks earlier servers at the address of `said` as gone.
    fn release_address(&mut self, said: &Announcement) {
        if said.stage == Stage::Gone {
            return;
        }
        for other in self.servers.values_mut() {
            if other.said.id != said.id && other.said.address == said.address {
                other.said.stage = Stage::Gone;
            }
        }
    }
}
