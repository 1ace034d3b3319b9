//! Backend servers as they announce themselves and report their load.
//!
//! The shapes are those of the JSON bodies of `POST /v1/announce` and `POST /v1/report`.
//!
//! ```
//! use lovageplank_core::backend::Announcement;
//! let text = r#"{"id":"e1","incarnation":7,"address":"127.0.0.1:9000","kind":"engine",
//!     "failure_domain":"salt","services":["drafting"],"accelerators":[{"memory_mb":80000}],
//!     "fencing":true,"state":"ready"}"#;
//! let announcement: Announcement = serde_json::from_str(text).unwrap();
//! assert_eq!(announcement.memory_mb(), 80_000);
//! ```

use crate::prelude::*;

record! { copy =>
    /// What a backend server does.
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// Serves models.
        Engine,
        /// Serves calls that involve no model.
        Service,
    }
}

record! { copy =>
    /// Whether a backend server takes new work.
    #[serde(rename_all = "snake_case")]
    pub enum State {
        /// Takes new work.
        Ready,
        /// Finishes its work and takes no more.
        Leaving,
    }
}

record! { key =>
    /// One accelerator of an engine.
    #[serde(deny_unknown_fields)]
    pub struct Accelerator {
        /// Memory in megabytes.
        pub memory_mb: u64,
    }
}

record! { key =>
    /// A replica as the engine itself reports it.
    #[serde(deny_unknown_fields)]
    pub struct LoadedReplica {
        /// The model's name.
        pub model: Name,
        /// The model's version.
        pub version: Name,
        /// Adapters loaded on this replica.
        #[serde(default)]
        pub adapters: BTreeSet<Name>,
        /// Accelerator memory in megabytes that the replica holds.
        #[serde(default)]
        pub memory_mb: u64,
        /// Token of the last command that the engine executed for this replica; 0 when unknown.
        #[serde(default)]
        pub fencing_token: u64,
        /// Whether the load is still going on.
        #[serde(default)]
        pub loading: bool,
        /// Requests that run or queue on this replica.
        #[serde(default)]
        pub running: u32,
    }
}

record! { key =>
    /// Where weights are cached on the engine's instance.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct CachedWeights {
        /// Models whose weights are in main memory.
        pub memory: BTreeSet<Name>,
        /// Models whose weights are on disk.
        pub disk: BTreeSet<Name>,
    }
}

record! { key =>
    /// What a backend server says of itself; sent on start, on change and as a heartbeat.
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// Unique name of the backend server, kept over restarts.
        pub id: Name,
        /// Grows with each start of the backend server's process.
        pub incarnation: u64,
        /// `ip:port` at which it serves.
        pub address: Name,
        /// What it does.
        pub kind: Kind,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Services that it serves.
        pub services: BTreeSet<Name>,
        /// Its accelerators; empty for plain services.
        #[serde(default)]
        pub accelerators: Vec<Accelerator>,
        /// Whether it refuses commands that carry an old fencing token.
        #[serde(default)]
        pub fencing: bool,
        /// Replicas that it holds.
        #[serde(default)]
        pub loaded: Vec<LoadedReplica>,
        /// Weights cached near it.
        #[serde(default)]
        pub cached: CachedWeights,
        /// Whether it takes new work.
        pub state: State,
        /// Requests running when the announcement was made.
        #[serde(default)]
        pub running: u32,
    }
}

impl Announcement {
    /// Accelerator memory over all accelerators, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        self.accelerators.iter().map(|a| a.memory_mb).sum()
    }
}

record! { key =>
    /// The answer to an announcement.
    pub struct AnnouncementReply {
        /// Milliseconds until the next announcement is due.
        pub heartbeat_ms: u64,
        /// Milliseconds after which a silent backend server counts as lost.
        pub lease_ms: u64,
    }
}

record! { data =>
    /// Load of a backend server at some moment in its past.
    #[serde(deny_unknown_fields)]
    pub struct ServerReport {
        /// The backend server.
        pub id: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// Grows by one with each report of an incarnation.
        pub sequence: u64,
        /// Age of the figures in milliseconds when the report was sent.
        #[serde(default)]
        pub age_ms: u64,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait in the backend server's own queue.
        pub queued: u32,
        /// Share of the key-value cache in use, 0 to 1.
        #[serde(default)]
        pub kv_used: f64,
        /// Prefix-cache events since the last report.
        #[serde(default)]
        pub cache: Vec<CacheEvent>,
    }
}

record! { key =>
    /// A change of an engine's prefix cache; events may arrive late and with gaps.
    #[serde(deny_unknown_fields)]
    pub struct CacheEvent {
        /// Grows by one with each event of an incarnation, so that gaps show.
        pub sequence: u64,
        /// Hash of the prompt prefix.
        pub prefix: u64,
        /// The model whose cache it is.
        pub model: Name,
        /// Whether the prefix was added (else evicted).
        pub added: bool,
    }
}
