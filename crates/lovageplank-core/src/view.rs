//! What a router knows: settings, backend servers and replicas.
//!
//! The control group sends [`Update`]s; a router folds them into its [`View`]. An update carries
//! only what changed since the one before it, or everything when `full` is set.
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
    /// What routers may do with a replica.
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// A load was committed; the replica can't serve yet.
        Loading,
        /// Serves requests.
        Ready,
        /// Finishes its requests and takes no more; an unload follows.
        Draining,
    }
}

record! { key =>
    /// Names one replica: at most one of a model's version on an engine.
    pub struct ReplicaId {
        /// The model.
        pub model: Name,
        /// The model's version.
        pub version: Name,
        /// The engine that holds it.
        pub engine: Name,
    }
}

record! { key =>
    /// One replica as routers see it.
    pub struct Replica {
        /// Which replica.
        pub id: ReplicaId,
        /// What may be done with it.
        pub phase: Phase,
        /// Adapters that the replica holds.
        pub adapters: BTreeSet<Name>,
        /// Milliseconds, from when the update was made, until a load is expected to end; 0 if ready.
        pub ready_in_ms: u64,
    }
}

record! { key =>
    /// A backend server as routers see it.
    pub struct Backend {
        /// Its unique name.
        pub id: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// `ip:port`.
        pub address: Name,
        /// What it does.
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
    /// An instance that callers may be sent to.
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
    /// How loaded a backend server was when it last reported. Encoded as a pair, since thousands
    /// of them travel.
    #[serde(from = "(u32, u32)", into = "(u32, u32)")]
    pub struct ServerLoad {
        /// Requests that ran.
        pub running: u32,
        /// Requests that waited in its own queue.
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
        /// The version that they are made on.
        pub from: Version,
        /// The version that they lead to.
        pub to: Version,
        /// The edits, made in this order.
        pub edits: Vec<Edit>,
    }
}

record! { data =>
    /// What changed since the update before.
    #[serde(default)]
    #[derive(Default)]
    pub struct Update {
        /// Position of the update in its stream; grows by one, so that a gap shows.
        pub sequence: u64,
        /// Whether it replaces everything known before.
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        pub full: bool,
        /// The whole settings tree with its version.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub tree: Option<(Version, Arc<Tree>)>,
        /// What changed in the settings tree.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub tree_edits: Option<TreeEdits>,
        /// Backend servers that are new or changed.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub backends: Vec<Backend>,
        /// Backend servers that are gone.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub backends_gone: Vec<Name>,
        /// Replicas that are new or changed.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub replicas: Vec<Replica>,
        /// Replicas that are gone.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub replicas_gone: Vec<ReplicaId>,
        /// Instances that are new or changed.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub instances: Vec<Instance>,
        /// Instances that are gone.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub instances_gone: Vec<Name>,
        /// Backend servers whose load changed much.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub loads: Vec<(Name, ServerLoad)>,
        /// Models that wait for a load, each with the milliseconds until it is expected to end.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub expected: Vec<ExpectedReady>,
    }
}

record! { key =>
    /// When a model that nobody serves is expected to be ready.
    pub struct ExpectedReady {
        /// The model.
        pub model: Name,
        /// Milliseconds until it is ready; `None` when no load is possible.
        pub ready_in_ms: Option<u64>,
        /// Whether a load is under way or waited for: then the time runs from when the update was
        /// made; otherwise from when a request asks.
        pub waits: bool,
    }
}

/// All that a router knows.
///
/// Invariant: `tree.0` never decreases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Sequence of the last update folded in.
    pub sequence: u64,
    /// The settings tree with its version; version 0 before the first.
    pub tree: (Version, Arc<Tree>),
    /// Backend servers by name.
    pub backends: BTreeMap<Name, Backend>,
    /// Replicas by model, then by version and engine.
    pub replicas: BTreeMap<Name, Vec<Replica>>,
    /// Instances by name.
    pub instances: BTreeMap<Name, Instance>,
    /// Loads by backend server.
    pub loads: BTreeMap<Name, ServerLoad>,
    /// Expected ready time by model.
    pub expected: BTreeMap<Name, Option<u64>>,
}

impl View {
    /// Folds in an update; returns false, changing nothing, when an update before it is missing.
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

    /// Edits the tree; false, changing nothing, when the edits don't fit it.
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

    /// Forgets everything but the tree, which must not go back.
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
