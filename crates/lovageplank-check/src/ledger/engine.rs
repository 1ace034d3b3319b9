//! State and behaviour of an engine, and the messages to and from it.

use super::{BTreeMap, BTreeSet, Name, Op, Outcome, REPLICA_MB};
use lovageplank_core::backend::LoadedReplica;
use lovageplank_core::record;
use lovageplank_core::view::ReplicaId;

/// Whether each engine checks fencing tokens.
pub(super) const CHECKS_FENCING_TOKENS: [bool; 2] = [true, false];
const ENGINE_NAMES: [&str; 2] = ["checks", "ignores"];
const MODEL_NAMES: [&str; 2] = ["lime", "salt"];

record! { key =>
    /// One send of a command, in flight to an engine. Engine and model are given by index.
    pub struct CommandMessage {
        pub(super) token: u64,
        /// Number of the send, from 1.
        pub(super) send: u32,
        pub(super) engine: u8,
        pub(super) model: u8,
        pub(super) incarnation: u64,
        pub(super) op: Op,
    }
}

record! { key =>
    /// A report of an engine, in flight to the leader. Engine and models are given by index.
    pub struct EngineReport {
        pub(super) engine: u8,
        pub(super) incarnation: u64,
        pub(super) replicas: BTreeMap<u8, EngineReplica>,
        /// Last log index applied when the report was requested; 0 if it was pushed.
        pub(super) basis: u64,
    }
}

record! { copy =>
    /// A replica that an engine has loaded, is loading or is unloading.
    pub(super) struct EngineReplica {
        /// Token of the last load executed for the replica.
        pub(super) token: u64,
        pub(super) loading: bool,
        pub(super) unloading: bool,
    }
}

record! { key =>
    /// Actual state of an engine, which the ledger may not know.
    pub(super) struct EngineState {
        pub(super) incarnation: u64,
        pub(super) fencing: bool,
        pub(super) replicas: BTreeMap<u8, EngineReplica>,
        /// Highest token executed for each model.
        pub(super) highest_tokens: BTreeMap<u8, u64>,
    }
}

impl EngineState {
    pub(super) fn execute(
        &mut self,
        command: &CommandMessage,
        completes_immediately: bool,
    ) -> Outcome {
        if self.rejects(command) {
            return Outcome::Rejected;
        }
        let highest_token = self.highest_tokens.entry(command.model).or_default();
        *highest_token = command.token.max(*highest_token);
        if command.op == Op::Load {
            self.load(command, completes_immediately)
        } else {
            self.unload(command, completes_immediately)
        }
    }

    fn load(&mut self, command: &CommandMessage, completes_immediately: bool) -> Outcome {
        let replica = self.replicas.entry(command.model).or_insert(EngineReplica {
            token: command.token,
            loading: !completes_immediately,
            unloading: false,
        });
        replica.token = command.token;
        replica.unloading = false;
        if replica.loading {
            Outcome::Accepted
        } else {
            Outcome::Done
        }
    }

    fn unload(&mut self, command: &CommandMessage, completes_immediately: bool) -> Outcome {
        match self.replicas.get_mut(&command.model) {
            Some(replica) if !completes_immediately => {
                replica.unloading = true;
                Outcome::Accepted
            }
            _ => {
                self.replicas.remove(&command.model);
                Outcome::Done
            }
        }
    }

    /// Completes the load or unload of a model.
    pub(super) fn finish(&mut self, model: u8) {
        match self.replicas.get_mut(&model) {
            Some(replica) if !replica.unloading => replica.loading = false,
            _ => {
                self.replicas.remove(&model);
            }
        }
    }

    /// Whether the engine checks fencing tokens and has executed a command with a higher token for
    /// the same model.
    pub(super) fn rejects(&self, command: &CommandMessage) -> bool {
        let highest_token = self
            .highest_tokens
            .get(&command.model)
            .copied()
            .unwrap_or_default();
        self.fencing && command.token < highest_token
    }
}

impl EngineReport {
    pub(super) fn loaded(&self) -> Vec<LoadedReplica> {
        let fencing = CHECKS_FENCING_TOKENS[usize::from(self.engine)];
        let loaded = self.replicas.iter().map(|(model, replica)| LoadedReplica {
            model: MODEL_NAMES[usize::from(*model)].into(),
            version: "1".into(),
            adapters: BTreeSet::new(),
            memory_mb: REPLICA_MB,
            fencing_token: if fencing { replica.token } else { 0 },
            loading: replica.loading,
            running: 0,
        });
        loaded.collect()
    }
}

pub(super) fn name(engine: u8) -> Name {
    ENGINE_NAMES[usize::from(engine)].into()
}

pub(super) fn replica_id(engine: u8, model: u8) -> ReplicaId {
    ReplicaId {
        model: MODEL_NAMES[usize::from(model)].into(),
        version: "1".into(),
        engine: name(engine),
    }
}

/// Returns the indices of a replica's engine and model.
pub(super) fn indices(replica: &ReplicaId) -> (u8, u8) {
    let engine = u8::from(&*replica.engine == ENGINE_NAMES[1]);
    (engine, u8::from(&*replica.model == MODEL_NAMES[1]))
}
