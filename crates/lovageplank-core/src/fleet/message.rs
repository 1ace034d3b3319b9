//! What instances tell each other; see [the module](super).

use super::document::Document;
use super::registry::{Announcement, LoadedModel};
use crate::prelude::*;

record! { key =>
    /// An entry instance as it says of itself.
    pub struct Router {
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
    pub struct RequestedModel {
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
        #[serde(rename = "wanted")]
        pub requested: RequestedModel,
        /// Requests that arrived since the last message.
        pub arrived: u32,
        /// Requests that wait now because no server can run them.
        pub waiting: u32,
    }
}

record! { key =>
    /// Requests that one entry instance has at a server.
    pub struct RunningRequests {
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
    pub struct LoadedModels {
        /// The engine.
        pub server: Name,
        /// Its incarnation.
        #[serde(rename = "born_ms")]
        pub incarnation: u64,
        /// Models and adapters that are ready.
        #[serde(rename = "held")]
        pub loaded: Vec<LoadedModel>,
        /// Models that are on their way, with the milliseconds they still need.
        #[serde(rename = "coming")]
        pub loading: Vec<(Name, u64)>,
    }
}

record! { key =>
    /// A message between instances.
    pub enum Message {
        /// An entry instance presents itself to a control instance, which passes that on.
        #[serde(rename = "Entry")]
        Router(Router),
        /// An entry instance isn't linked to a control instance any more.
        #[serde(rename = "EntryLeft")]
        RouterDisconnected(Name),
        /// An entry instance obeys this version of the document from now on.
        #[serde(rename = "Obeys")]
        AppliedVersion(u64),
        /// All entry instances that a control instance is linked to.
        #[serde(rename = "Entries")]
        Routers(Vec<Router>),
        /// What an entry instance has running and waiting; all of it, not a difference.
        #[serde(rename = "Load")]
        LoadReport {
            /// Requests at servers.
            running: Vec<RunningRequests>,
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
        #[serde(rename = "Announced")]
        ServerAnnounced(Box<Announcement>),
        /// Backend servers, with their incarnations, that have announced themselves lately.
        #[serde(rename = "Live")]
        LiveServers(Vec<(Name, u64)>),
        /// A backend server has left.
        #[serde(rename = "Left")]
        ServerGone {
            /// The server.
            server: Name,
            /// Its incarnation, if it was said.
            #[serde(rename = "born_ms")]
            incarnation: Option<u64>,
        },
        /// What engines hold, from the leader of this term.
        #[serde(rename = "Holdings")]
        LoadedModels {
            /// Term of the leader.
            term: u64,
            /// Engines whose holding has changed, or all for a new link.
            #[serde(rename = "holdings")]
            engines: Vec<LoadedModels>,
        },
    }
}

impl LoadedModels {
    /// Whether the same incarnation still holds all models and adapters in `later`.
    pub fn is_subset_of(&self, later: &LoadedModels) -> bool {
        let still_loaded = |before: &LoadedModel| {
            let mut same = later.loaded.iter().filter(|h| h.model == before.model);
            same.any(|after| before.adapters.is_subset(&after.adapters))
        };
        self.incarnation == later.incarnation && self.loaded.iter().all(still_loaded)
    }
}
