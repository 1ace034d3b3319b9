//! Engines and the replicas that they hold or may hold.

use crate::backend::Announcement;
use crate::prelude::*;

record! { data =>
    /// An engine as the log knows it.
    pub struct Engine {
        /// Its unique name.
        pub id: Name,
        /// Its incarnation; a larger one ends everything that the smaller one held.
        pub incarnation: u64,
        /// Accelerator memory in megabytes; fixed within an incarnation.
        pub memory_mb: u64,
        /// Whether it refuses commands with an old fencing token; fixed within an incarnation.
        pub fencing: bool,
        /// Services whose models it may hold.
        pub services: BTreeSet<Name>,
        /// `ip:port` for commands.
        pub address: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Whether it is out of sight.
        pub lost: bool,
        /// What it holds or may hold, by model and version.
        ///
        /// Invariant: a replica that the engine holds is here; the memory of those that were
        /// decided is at most `memory_mb`.
        #[serde(rename = "pairs")]
        pub replica_states: BTreeMap<(Name, Name), ReplicaState>,
        /// Index at which the engine or its new incarnation was registered.
        pub registered_at: u64,
        /// Index at which a replica was last removed; 0 if none was in this incarnation.
        #[serde(rename = "cleared_at")]
        pub last_removal_index: u64,
    }
}

impl Engine {
    /// An engine that checks fencing tokens and holds nothing.
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

    /// The same engine, checking fencing tokens or not.
    #[must_use]
    pub fn fencing(mut self, fencing: bool) -> Engine {
        self.fencing = fencing;
        self
    }

    /// The same engine, serving these services.
    #[must_use]
    pub fn services(mut self, services: impl IntoIterator<Item = impl Into<Name>>) -> Engine {
        self.services = services.into_iter().map(Into::into).collect();
        self
    }

    /// Memory in megabytes that replicas hold or may hold, those found included.
    pub fn reserved_mb(&self) -> u64 {
        self.replica_states
            .values()
            .map(ReplicaState::reserved_mb)
            .sum()
    }

    /// Memory in megabytes that a new replica may take.
    pub fn free_mb(&self) -> u64 {
        self.free_mb_excluding(None)
    }

    /// Memory in megabytes that one of the replicas may take beside all others.
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
    /// A replica that an engine holds or may hold.
    pub struct ReplicaState {
        /// Megabytes reserved for it.
        pub memory_mb: u64,
        /// Megabytes that the engine reported for it; counts where it is larger.
        pub measured_mb: u64,
        /// What is known of it.
        pub phase: Phase,
        /// The decision that it stands on; `None` when it was found on the engine without one.
        pub decided: Option<Decision>,
        /// Token of the load or unload whose effect is unknown.
        pub command: Option<u64>,
        /// Index from which a report without the replica means that it is gone.
        #[serde(rename = "seen_at")]
        pub min_report_basis: u64,
        /// Adapters that it holds.
        pub adapters: BTreeSet<Name>,
    }
}

impl ReplicaState {
    /// Megabytes that it holds or may hold.
    pub fn reserved_mb(&self) -> u64 {
        self.memory_mb.max(self.measured_mb)
    }
}

record! { copy =>
    /// What is known of a replica.
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// A load was committed and may be executed at any moment.
        Loading,
        /// Loaded.
        Ready,
        /// Loaded, and to take no more work.
        Draining,
        /// An unload was committed and may be executed at any moment.
        Unloading,
        /// Not known to be loaded, but a load that nobody wants any more may still end, or a copy
        /// of it arrive.
        Doubtful,
        /// Loaded without being wanted, by a decision that was given up or by none.
        Found,
    }
}

record! { copy =>
    /// The decision behind a replica.
    pub struct Decision {
        /// Index of the entry that made it.
        pub token: u64,
        /// Replicas of the model's version that it allowed.
        pub limit: u32,
        /// Replicas that it allowed on top over all versions, for a change of version.
        pub surge: u32,
        /// Whether another replica was decided in its place while its engine was lost.
        pub replaced: bool,
    }
}
