//! Engines and the state of their replicas.

use crate::backend::Announcement;
use crate::prelude::*;

record! { data =>
    /// A registered engine.
    pub struct Engine {
        /// Unique name, kept over restarts.
        pub id: Name,
        /// Grows with each start of the engine's process. Registering a larger incarnation drops the
        /// replicas and commands of the smaller one.
        pub incarnation: u64,
        /// Accelerator memory in megabytes; fixed within an incarnation.
        pub memory_mb: u64,
        /// Whether the engine refuses commands with an old fencing token; fixed within an incarnation.
        pub fencing: bool,
        /// Services whose models the engine may load.
        pub services: BTreeSet<Name>,
        /// `ip:port` to which commands are sent.
        pub address: Name,
        /// Failure domain of the engine.
        pub failure_domain: Name,
        /// Whether the engine's lease expired without a new registration since.
        pub lost: bool,
        /// Replicas that are or may be loaded, by model and version.
        ///
        /// Invariant: every replica that a command has loaded or may still load is here, and the
        /// memory of the decided ones is at most `memory_mb`.
        #[serde(rename = "pairs")]
        pub replica_states: BTreeMap<(Name, Name), ReplicaState>,
        /// Log index at which this incarnation was registered.
        pub registered_at: u64,
        /// Log index at which a replica was last recorded as not loaded; 0 if none was in this
        /// incarnation. A report with a smaller basis may still list a removed replica.
        #[serde(rename = "cleared_at")]
        pub last_removal_index: u64,
    }
}

impl Engine {
    /// Creates an engine without replicas, services or address, that checks fencing tokens.
    pub fn new(id: impl Into<Name>, incarnation: u64, memory_mb: u64) -> Engine {
        Engine {
            id: id.into(),
            incarnation,
            memory_mb,
            fencing: true,
            services: BTreeSet::new(),
            address: "".into(),
            failure_domain: "".into(),
            lost: false,
            replica_states: BTreeMap::new(),
            registered_at: 0,
            last_removal_index: 0,
        }
    }

    /// Sets whether the engine checks fencing tokens.
    #[must_use]
    pub fn fencing(mut self, fencing: bool) -> Engine {
        self.fencing = fencing;
        self
    }

    /// Sets the services whose models the engine may load.
    #[must_use]
    pub fn services(mut self, services: impl IntoIterator<Item = impl Into<Name>>) -> Engine {
        self.services = services.into_iter().map(Into::into).collect();
        self
    }

    /// Memory in megabytes that replicas take or may take, including those found without a
    /// decision.
    pub fn reserved_mb(&self) -> u64 {
        self.replica_states
            .values()
            .map(ReplicaState::reserved_mb)
            .sum()
    }

    /// Memory in megabytes available to a new replica.
    pub fn free_mb(&self) -> u64 {
        self.free_mb_excluding(None)
    }

    /// Memory in megabytes left by all replicas except `state`.
    pub(super) fn free_mb_excluding(&self, state: Option<&ReplicaState>) -> u64 {
        let others_mb = self.reserved_mb() - state.map_or(0, ReplicaState::reserved_mb);
        self.memory_mb.saturating_sub(others_mb)
    }
}

impl From<&Announcement> for Engine {
    fn from(announcement: &Announcement) -> Engine {
        Engine {
            services: announcement.services.clone(),
            address: announcement.address.clone(),
            failure_domain: announcement.failure_domain.clone(),
            fencing: announcement.fencing,
            ..Engine::new(
                announcement.id.clone(),
                announcement.incarnation,
                announcement.memory_mb(),
            )
        }
    }
}

record! { data =>
    /// State of a replica that is or may be loaded on an engine.
    pub struct ReplicaState {
        /// Memory reserved for the replica, in megabytes.
        pub memory_mb: u64,
        /// Largest memory that the engine reported for the replica, in megabytes; replaces
        /// `memory_mb` in sums where it is larger.
        pub measured_mb: u64,
        /// Phase of the replica.
        pub phase: Phase,
        /// The decision behind the replica; `None` if it was found on the engine without one.
        pub decided: Option<Decision>,
        /// Token of the unresolved load or unload.
        pub command: Option<u64>,
        /// Smallest basis of a report whose omission of the replica can prove it absent. While the
        /// replica is doubtful, also the smallest basis of a report that can prove it loaded.
        #[serde(rename = "seen_at")]
        pub min_report_basis: u64,
        /// Adapters loaded on the replica.
        pub adapters: BTreeSet<Name>,
    }
}

impl ReplicaState {
    /// Memory in megabytes that the replica takes or may take.
    pub fn reserved_mb(&self) -> u64 {
        self.memory_mb.max(self.measured_mb)
    }
}

record! { copy =>
    /// Phase of a replica.
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// A load is committed and may be executed at any time.
        Loading,
        /// Loaded.
        Ready,
        /// Loaded, and takes no new work.
        Draining,
        /// An unload is committed and may be executed at any time.
        Unloading,
        /// Not known to be loaded, but a load that is no longer desired may still finish, or a copy
        /// of it may still arrive.
        Doubtful,
        /// Loaded but not desired: its decision was given up, or it never had one.
        Found,
    }
}

record! { copy =>
    /// The placement decision behind a replica.
    pub struct Decision {
        /// Log index of the entry that made the decision.
        pub token: u64,
        /// Maximum number of replicas of the model's version, as the decision set it.
        pub limit: u32,
        /// Replicas allowed above `limit` over all versions, for a change of version.
        pub surge: u32,
        /// Whether another replica was decided in place of this one while its engine was lost.
        pub replaced: bool,
    }
}
