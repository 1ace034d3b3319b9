//! Announcements and load reports of backend servers.
//!
//! The types are the JSON bodies of `POST /v1/announce` and `POST /v1/report`.
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
    /// Kind of a backend server.
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// An engine, which serves models.
        Engine,
        /// A plain service, which serves calls that involve no model.
        Service,
    }
}

record! { copy =>
    /// Whether a backend server takes new work.
    #[serde(rename_all = "snake_case")]
    pub enum State {
        /// Takes new work.
        Ready,
        /// Completes its requests and takes no new ones.
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
    /// A replica that an engine reports as loaded or loading.
    #[serde(deny_unknown_fields)]
    pub struct LoadedReplica {
        /// The model's name.
        pub model: Name,
        /// The model's version.
        pub version: Name,
        /// Adapters loaded on this replica.
        #[serde(default)]
        pub adapters: BTreeSet<Name>,
        /// Accelerator memory in megabytes that the replica uses.
        #[serde(default)]
        pub memory_mb: u64,
        /// Fencing token of the last command that the engine executed for this replica; 0 if unknown.
        #[serde(default)]
        pub fencing_token: u64,
        /// Whether the replica is still loading.
        #[serde(default)]
        pub loading: bool,
        /// Requests running or queued on this replica.
        #[serde(default)]
        pub running: u32,
    }
}

record! { key =>
    /// Models whose weights are cached on the engine's instance.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct CachedWeights {
        /// Models whose weights are in host memory.
        pub memory: BTreeSet<Name>,
        /// Models whose weights are on disk.
        pub disk: BTreeSet<Name>,
    }
}

record! { key =>
    /// A backend server's announcement, sent at start, on every change and as a heartbeat.
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// Unique name of the backend server; the same after a restart.
        pub id: Name,
        /// Number that increases with each start of the backend server's process.
        pub incarnation: u64,
        /// `ip:port` at which it serves.
        pub address: Name,
        /// Whether it is an engine or a plain service.
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
        /// Replicas that are loaded or loading.
        #[serde(default)]
        pub loaded: Vec<LoadedReplica>,
        /// Weights cached on its instance.
        #[serde(default)]
        pub cached: CachedWeights,
        /// Whether it takes new work.
        pub state: State,
        /// Requests running when the announcement was created.
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
        /// Milliseconds without an announcement after which a backend server counts as lost.
        pub lease_ms: u64,
    }
}

record! { data =>
    /// A backend server's report of its load, measured `age_ms` before the report was sent.
    #[serde(deny_unknown_fields)]
    pub struct ServerReport {
        /// Name of the backend server.
        pub id: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// Number of the report; increases by one with each report of an incarnation.
        pub sequence: u64,
        /// Milliseconds from the measurement of the load to the sending of the report.
        #[serde(default)]
        pub age_ms: u64,
        /// Running requests.
        pub running: u32,
        /// Requests in the backend server's own queue.
        pub queued: u32,
        /// Fraction of the key-value cache in use, from 0 to 1.
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
        /// Number of the event; increases by one with each event of an incarnation, so that gaps are
        /// detected.
        pub sequence: u64,
        /// Hash of the prompt prefix.
        pub prefix: u64,
        /// Model to whose cache the prefix belongs.
        pub model: Name,
        /// Whether the prefix was added; otherwise it was evicted.
        pub added: bool,
    }
}
