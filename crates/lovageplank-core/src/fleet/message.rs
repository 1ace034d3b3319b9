//! What instances tell each other; see [the module](super).

use super::document::Document;
use super::registry::{Announcement, Held};
use crate::prelude::*;

record! { key =>
    /// An entry instance as it says of itself.
    pub struct Entry {
        /// Name of the instance.
        pub instance: Name,
        /// Where callers connect.
        pub address: Name,
        /// Its failure domain.
        pub domain: Name,
        /// Whether it takes new callers.
        pub ready: bool,
    }
}

record! { key =>
    /// Requests for a model or one of its adapters.
    pub struct Wanted {
        /// The service asked.
        pub service: Name,
        /// The model.
        pub model: Name,
        /// The adapter, if one is asked for.
        pub adapter: Option<Name>,
    }
}

record! { key =>
    /// Demand as one entry instance sees it.
    pub struct Demand {
        /// What it is for.
        pub wanted: Wanted,
        /// Requests that arrived since the last message.
        pub arrived: u32,
        /// Requests that wait now because no server can run them.
        pub waiting: u32,
    }
}

record! { key =>
    /// Requests that one entry instance has at a server.
    pub struct Running {
        /// The server.
        pub server: Name,
        /// The model, where it is an engine.
        pub model: Option<Name>,
        /// The adapter, if one is used.
        pub adapter: Option<Name>,
        /// How many.
        pub requests: u32,
    }
}

record! { key =>
    /// What an engine holds, as the leader knows from its reports.
    pub struct Holding {
        /// The engine.
        pub server: Name,
        /// Its incarnation.
        pub born_ms: u64,
        /// Models and adapters that are ready.
        pub held: Vec<Held>,
        /// Models that are on their way, with the milliseconds they still need.
        pub coming: Vec<(Name, u64)>,
    }
}

record! { key =>
    /// A message between instances.
    pub enum Message {
        /// An entry instance presents itself to a control instance, which passes that on.
        Entry(Entry),
        /// An entry instance isn't linked to a control instance any more.
        EntryLeft(Name),
        /// An entry instance obeys this version of the document from now on.
        Obeys(u64),
        /// All entry instances that a control instance is linked to.
        Entries(Vec<Entry>),
        /// What an entry instance has running and waiting; all of it, not a difference.
        Load {
            /// Requests at servers.
            running: Vec<Running>,
            /// Requests by model.
            demand: Vec<Demand>,
        },
        /// What the leader knows of all instances together.
        Totals {
            /// Requests at each server.
            requests: Vec<(Name, u32)>,
            /// Milliseconds until another load from the store may begin.
            store_wait_ms: u64,
        },
        /// The document in force.
        Document(Document),
        /// A backend server's announcement, passed on.
        Announced(Box<Announcement>),
        /// Backend servers, with their incarnations, that have announced themselves lately.
        Live(Vec<(Name, u64)>),
        /// A backend server has left.
        Left {
            /// The server.
            server: Name,
            /// Its incarnation, if it was said.
            born_ms: Option<u64>,
        },
        /// What engines hold, from the leader of this term.
        Holdings {
            /// Term of the leader.
            term: u64,
            /// Engines whose holding has changed, or all for a new link.
            holdings: Vec<Holding>,
        },
    }
}

impl Holding {
    /// Whether the same incarnation still holds all models and adapters in `later`.
    pub fn is_within(&self, later: &Holding) -> bool {
        let held_later = |before: &Held| {
            let mut same = later.held.iter().filter(|h| h.model == before.model);
            same.any(|after| before.adapters.is_subset(&after.adapters))
        };
        self.born_ms == later.born_ms && self.held.iter().all(held_later)
    }
}
