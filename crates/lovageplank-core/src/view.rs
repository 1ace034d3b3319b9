//! A router's view of the cluster: settings, backend servers, replicas and instances.
//!
//! The control group sends [`Update`]s, and a router applies them to its [`View`]. An update contains
//! only what changed since the one before it, or everything if `full` is set.
//!
//! ```
//! use lovageplank_core::view::{Update, View};
//! let mut view = View::default();
//! let update = Update { sequence: 1, full: true, ..Update::default() };
//! assert!(view.apply(update));
//! assert_eq!(view.sequence, 1);
//! ```

use crate::backend::{Kind, State};
use crate::prelude::*;
use crate::settings::{Edit, Tree, Version};

record! { copy =>
    /// Whether routers may send requests to a replica.
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// A load was committed; the replica can't serve requests yet.
        Loading,
        /// Serves requests.
        Ready,
        /// Completes its requests and takes no new ones; an unload follows.
        Draining,
    }
}

record! { key =>
    /// Identifies a replica; an engine has at most one replica of a version of a model.
    pub struct ReplicaId {
        /// The model.
        pub model: Name,
        /// The model's version.
        pub version: Name,
        /// The engine that the replica is on.
        pub engine: Name,
    }
}

record! { key =>
    /// A replica, as sent to routers.
    pub struct Replica {
        /// Identity of the replica.
        pub id: ReplicaId,
        /// Whether routers may send requests to it.
        pub phase: Phase,
        /// Adapters loaded on the replica.
        pub adapters: BTreeSet<Name>,
        /// Milliseconds from the creation of the update until the load is expected to end; 0 if ready.
        pub ready_in_ms: u64,
    }
}

record! { key =>
    /// A backend server, as sent to routers.
    pub struct Backend {
        /// Its unique name.
        pub id: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// `ip:port`.
        pub address: Name,
        /// Whether it is an engine or a plain service.
        pub kind: Kind,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Services that it serves.
        pub services: BTreeSet<Name>,
        /// Whether it takes new work.
        pub state: State,
    }
}

record! { key =>
    /// An instance to which callers may be directed.
    pub struct Instance {
        /// Its unique name.
        pub id: Name,
        /// `ip:port` for callers.
        pub address: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Whether it takes new callers.
        pub state: State,
    }
}

record! { copy =>
    /// Load of a backend server in its last report. Encoded as a pair to keep updates small, because
    /// they contain thousands of loads.
    #[serde(from = "(u32, u32)", into = "(u32, u32)")]
    pub struct ServerLoad {
        /// Running requests.
        pub running: u32,
        /// Requests in the backend server's own queue.
        pub queued: u32,
    }
}

impl From<(u32, u32)> for ServerLoad {
    fn from((running, queued): (u32, u32)) -> ServerLoad {
        ServerLoad { running, queued }
    }
}

impl From<ServerLoad> for (u32, u32) {
    fn from(load: ServerLoad) -> (u32, u32) {
        (load.running, load.queued)
    }
}

record! { data =>
    /// Edits that lead from one version of the settings tree to a later one.
    pub struct TreeEdits {
        /// Version of the tree to which the edits apply.
        pub from: Version,
        /// Version of the tree after the edits.
        pub to: Version,
        /// The edits, applied in this order.
        pub edits: Vec<Edit>,
    }
}

record! { data =>
    /// Changes since the preceding update.
    #[serde(default)]
    #[derive(Default)]
    pub struct Update {
        /// Position of the update in its stream; increases by one, so that a gap is detected.
        pub sequence: u64,
        /// Whether the update replaces the content of all updates before it.
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        pub full: bool,
        /// The whole settings tree with its version.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub tree: Option<(Version, Arc<Tree>)>,
        /// Edits of the settings tree.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub tree_edits: Option<TreeEdits>,
        /// New or changed backend servers.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub backends: Vec<Backend>,
        /// Removed backend servers.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub backends_gone: Vec<Name>,
        /// New or changed replicas.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub replicas: Vec<Replica>,
        /// Removed replicas.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub replicas_gone: Vec<ReplicaId>,
        /// New or changed instances.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub instances: Vec<Instance>,
        /// Removed instances.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub instances_gone: Vec<Name>,
        /// Loads of the backend servers whose load changed much.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub loads: Vec<(Name, ServerLoad)>,
        /// Models without a ready replica, with the time at which one is expected to be ready.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub expected: Vec<ExpectedReady>,
    }
}

record! { key =>
    /// When a model without a ready replica is expected to have one.
    pub struct ExpectedReady {
        /// The model.
        pub model: Name,
        /// Milliseconds until a replica is ready; `None` if no load is possible.
        pub ready_in_ms: Option<u64>,
        /// Whether a load is in progress or requests wait for one. If so, `ready_in_ms` counts from the
        /// creation of the update; otherwise from the arrival of a request for the model.
        pub waits: bool,
    }
}

/// A router's view of the cluster, built from [`Update`]s.
///
/// Invariant: `tree.0`, the version of the settings tree, never decreases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Sequence of the last applied update.
    pub sequence: u64,
    /// The settings tree with its version; version 0 before the first tree.
    pub tree: (Version, Arc<Tree>),
    /// Backend servers by name.
    pub backends: BTreeMap<Name, Backend>,
    /// Replicas by model, then by version and engine.
    pub replicas: BTreeMap<Name, Vec<Replica>>,
    /// Instances by name.
    pub instances: BTreeMap<Name, Instance>,
    /// Loads by backend server.
    pub loads: BTreeMap<Name, ServerLoad>,
    /// Milliseconds until ready by model, as in [`ExpectedReady::ready_in_ms`].
    pub expected: BTreeMap<Name, Option<u64>>,
}

impl View {
    /// Applies an update. Returns false and changes nothing if the preceding update is missing or its
    /// edits don't apply to the settings tree.
    pub fn apply(&mut self, update: Update) -> bool {
        if !update.full && update.sequence != self.sequence + 1 {
            return false;
        }
        if let Some(edits) = &update.tree_edits
            && !self.edit_tree(edits)
        {
            return false;
        }
        if update.full {
            self.clear();
        }
        self.sequence = update.sequence;
        if let Some(tree) = update.tree
            && tree.0 >= self.tree.0
        {
            self.tree = tree;
        }
        self.apply_backends(update.backends, &update.backends_gone);
        self.apply_replicas(update.replicas, &update.replicas_gone);
        self.apply_instances(update.instances, &update.instances_gone);
        self.loads.extend(update.loads);
        for expected in update.expected {
            self.expected.insert(expected.model, expected.ready_in_ms);
        }
        true
    }

    /// Applies edits to the settings tree; those that lead to a version no later than its own are
    /// ignored. Returns false and changes nothing if the edits start from another version or one of
    /// them is refused.
    fn edit_tree(&mut self, edits: &TreeEdits) -> bool {
        if edits.to <= self.tree.0 {
            return true;
        }
        if edits.from != self.tree.0 {
            return false;
        }
        let mut tree = Tree::clone(&self.tree.1);
        if edits.edits.iter().any(|edit| tree.set(edit).is_err()) {
            return false;
        }
        self.tree = (edits.to, Arc::new(tree));
        true
    }

    /// Removes everything but the settings tree, whose version must not decrease.
    fn clear(&mut self) {
        self.backends.clear();
        self.replicas.clear();
        self.instances.clear();
        self.loads.clear();
        self.expected.clear();
    }

    fn apply_backends(&mut self, changed: Vec<Backend>, gone: &[Name]) {
        for id in gone {
            self.backends.remove(id);
            self.loads.remove(id);
        }
        for backend in changed {
            self.backends.insert(backend.id.clone(), backend);
        }
    }

    fn apply_replicas(&mut self, changed: Vec<Replica>, gone: &[ReplicaId]) {
        for id in gone {
            if let Some(list) = self.replicas.get_mut(&id.model) {
                list.retain(|r| r.id != *id);
                if list.is_empty() {
                    self.replicas.remove(&id.model);
                }
            }
        }
        for replica in changed {
            let list = self.replicas.entry(replica.id.model.clone()).or_default();
            list.retain(|r| r.id != replica.id);
            list.push(replica);
        }
    }

    fn apply_instances(&mut self, changed: Vec<Instance>, gone: &[Name]) {
        for id in gone {
            self.instances.remove(id);
        }
        for instance in changed {
            self.instances.insert(instance.id.clone(), instance);
        }
    }
}
