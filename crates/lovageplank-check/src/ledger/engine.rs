//! What an engine really does, and the messages to and from it.

use super::{BTreeMap, BTreeSet, Name, Op, Outcome, REPLICA_MB};
use lovageplank_core::backend::LoadedReplica;
use lovageplank_core::record;
use lovageplank_core::view::ReplicaId;

/// Whether each engine checks fencing tokens.
pub(super) const FENCING: [bool; 2] = [true, false];
const ENGINES: [&str; 2] = ["checks", "ignores"];
const MODELS: [&str; 2] = ["lime", "salt"];

record! { key =>
    /// One send of a command on its way.
    pub struct Copy {
        pub(super) token: u64,
        pub(super) send: u32,
        pub(super) engine: u8,
        pub(super) model: u8,
        pub(super) incarnation: u64,
        pub(super) op: Op,
    }
}

record! { key =>
    /// A report on its way.
    pub struct Report {
        pub(super) engine: u8,
        pub(super) incarnation: u64,
        pub(super) held: BTreeMap<u8, Held>,
        pub(super) basis: u64,
    }
}

record! { copy =>
    /// A replica that an engine holds.
    pub(super) struct Held {
        /// The last command executed for it.
        pub(super) token: u64,
        pub(super) loading: bool,
        pub(super) unloading: bool,
    }
}

record! { key =>
    /// An engine's true state.
    pub(super) struct Engine {
        pub(super) incarnation: u64,
        pub(super) fencing: bool,
        pub(super) held: BTreeMap<u8, Held>,
        /// Highest token executed for each model.
        pub(super) fence: BTreeMap<u8, u64>,
    }
}

impl Engine {
    pub(super) fn execute(&mut self, copy: &Copy, at_once: bool) -> Outcome {
        if self.refuses(copy) {
            return Outcome::Rejected;
        }
        let fence = self.fence.entry(copy.model).or_default();
        *fence = copy.token.max(*fence);
        if copy.op == Op::Load {
            self.load(copy, at_once)
        } else {
            self.unload(copy, at_once)
        }
    }

    fn load(&mut self, copy: &Copy, at_once: bool) -> Outcome {
        let held = self.held.entry(copy.model).or_insert(Held {
            token: copy.token,
            loading: !at_once,
            unloading: false,
        });
        held.token = copy.token;
        held.unloading = false;
        if held.loading {
            Outcome::Accepted
        } else {
            Outcome::Done
        }
    }

    fn unload(&mut self, copy: &Copy, at_once: bool) -> Outcome {
        match self.held.get_mut(&copy.model) {
            Some(held) if !at_once => {
                held.unloading = true;
                Outcome::Accepted
            }
            _ => {
                self.held.remove(&copy.model);
                Outcome::Done
            }
        }
    }

    /// Ends the load or unload that goes on.
    pub(super) fn finish(&mut self, model: u8) {
        match self.held.get_mut(&model) {
            Some(held) if !held.unloading => held.loading = false,
            _ => {
                self.held.remove(&model);
            }
        }
    }

    /// Whether its token is below the highest that was executed.
    pub(super) fn refuses(&self, copy: &Copy) -> bool {
        let fence = self.fence.get(&copy.model).copied().unwrap_or_default();
        self.fencing && copy.token < fence
    }
}

impl Report {
    pub(super) fn loaded(&self) -> Vec<LoadedReplica> {
        let fencing = FENCING[usize::from(self.engine)];
        let loaded = self.held.iter().map(|(model, held)| LoadedReplica {
            model: MODELS[usize::from(*model)].into(),
            version: "1".into(),
            adapters: BTreeSet::new(),
            memory_mb: REPLICA_MB,
            fencing_token: if fencing { held.token } else { 0 },
            loading: held.loading,
            running: 0,
        });
        loaded.collect()
    }
}

pub(super) fn name(engine: u8) -> Name {
    ENGINES[usize::from(engine)].into()
}

pub(super) fn replica(engine: u8, model: u8) -> ReplicaId {
    ReplicaId {
        model: MODELS[usize::from(model)].into(),
        version: "1".into(),
        engine: name(engine),
    }
}

/// The places of a replica's engine and model.
pub(super) fn places(replica: &ReplicaId) -> (u8, u8) {
    let engine = u8::from(&*replica.engine == ENGINES[1]);
    (engine, u8::from(&*replica.model == MODELS[1]))
}
