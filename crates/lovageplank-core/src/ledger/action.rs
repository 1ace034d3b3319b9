//! Log entries for the ledger and the replies to them.

use super::CommandRecord;
use crate::backend::LoadedReplica;
use crate::prelude::*;
use crate::view::ReplicaId;

record! { data =>
    /// A log entry for the ledger.
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// Reserves a replica and commits its load command.
        Load(Load),
        /// Keeps a replica that was found without a decision, or replaced while its engine was lost.
        Adopt(Adoption),
        /// Stops new work on a ready replica.
        Drain(ReplicaId),
        /// Returns a draining replica to service.
        Undrain(ReplicaId),
        /// Commits the unload command of a replica that is draining, found or doubtful, or whose load
        /// the engine accepted but which is no longer desired.
        ///
        /// May be committed only when the replica runs no requests and no router sends it any.
        Unload(ReplicaId),
        /// Commits the command to load an adapter on a ready replica.
        LoadAdapter {
            /// The replica.
            replica: ReplicaId,
            /// The adapter.
            adapter: Name,
        },
        /// Commits the command to unload an adapter from a ready or draining replica.
        UnloadAdapter {
            /// The replica.
            replica: ReplicaId,
            /// The adapter.
            adapter: Name,
        },
        /// Permits one more send of an unresolved command.
        Resend {
            /// Token of the command.
            token: u64,
        },
        /// Records the outcome of one send of a command.
        Resolve {
            /// Token of the command.
            token: u64,
            /// Number of the send, from 1.
            send: u32,
            /// Outcome of the send.
            outcome: Outcome,
        },
        /// Applies an engine's report of its loaded models.
        Observe(Observation),
        /// Marks an engine lost whose lease expired.
        Lost {
            /// The engine.
            engine: Name,
            /// The incarnation whose lease expired.
            incarnation: u64,
        },
        /// Removes a lost engine whose incarnation will not return.
        Forget {
            /// The engine.
            engine: Name,
        },
    }
}

record! { key =>
    /// A placement decision to load a replica.
    pub struct Load {
        /// The replica.
        pub replica: ReplicaId,
        /// Memory that the replica needs, in megabytes; must not be 0.
        pub memory_mb: u64,
        /// Maximum number of decided replicas of this version.
        pub limit: u32,
        /// Replicas allowed above `limit`, over all versions, while other versions still count.
        pub surge: u32,
        /// Whether replicas on lost engines may be marked replaced to satisfy the limit.
        pub replace_lost: bool,
    }
}

record! { key =>
    /// A placement decision to keep a replica that is already loaded.
    pub struct Adoption {
        /// The replica.
        pub replica: ReplicaId,
        /// Memory that the replica needs, in megabytes; must not be 0.
        pub memory_mb: u64,
        /// Maximum number of decided replicas of this version.
        pub limit: u32,
        /// Replicas allowed above `limit`, over all versions, while other versions still count.
        pub surge: u32,
    }
}

record! { copy =>
    /// Outcome of one send of a command.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The engine accepted the command; reports requested from now on show its effect.
        Accepted,
        /// The engine finished the command, or had nothing left to do.
        Done,
        /// The engine refused this copy of the command and will not execute it.
        Rejected,
        /// No byte was sent, or the connection never reached the record's incarnation.
        NotSent,
    }
}

record! { data =>
    /// An engine's report of its loaded models.
    pub struct Observation {
        /// The engine.
        pub engine: Name,
        /// Incarnation of the engine's process that made the report.
        pub incarnation: u64,
        /// Every replica that the engine has loaded or is loading.
        pub loaded: Vec<LoadedReplica>,
        /// Last log index applied when the report was *requested*, never when it was received; 0 for
        /// a report that the engine pushed.
        pub basis: u64,
    }
}

record! { data =>
    /// The reply to a log entry that was not refused.
    #[serde(rename_all = "snake_case")]
    pub enum Reply {
        /// The command to send, under the send number in `sends`.
        Command(CommandRecord),
        /// The entry was applied; there is nothing to send.
        Changed,
        /// The replicas that an observation affected.
        Observed(ObservedChanges),
    }
}

record! { key =>
    /// Replicas whose state an observation changed.
    #[derive(Default)]
    pub struct ObservedChanges {
        /// Replicas whose load proved complete.
        pub ready: Vec<ReplicaId>,
        /// Replicas proved absent.
        pub gone: Vec<ReplicaId>,
        /// Replicas listed by the engine that no decision in force asked for.
        pub found: Vec<ReplicaId>,
    }
}

record! { key =>
    /// Why a log entry was refused. The ledger is unchanged.
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// The engine is not registered.
        UnknownEngine,
        /// The replica is not recorded on the engine, or lacks the adapter to unload.
        UnknownReplica,
        /// The command has no record, has no send of that number, or is settled and can't be resent.
        UnknownCommand,
        /// The entry names another incarnation than the registered one, or registers one that is
        /// smaller or forgotten.
        Stale {
            /// The registered or forgotten incarnation.
            current: u64,
        },
        /// `memory_mb` or `fencing` differ from those registered under the same incarnation.
        Incarnation,
        /// The engine is lost: its lease expired.
        Lost,
        /// The engine is not lost, so it can't be forgotten.
        InSight,
        /// The replica is already recorded and not doubtful, or the adapter is already loaded.
        Exists,
        /// The replica's phase doesn't allow the action.
        Phase,
        /// A command for the model on the engine, or for the adapter, is unresolved.
        Busy {
            /// The command's token.
            token: u64,
        },
        /// A copy of an earlier unload may still arrive and remove the replica.
        Outstanding {
            /// The unload's token.
            token: u64,
        },
        /// The limit and surge allow no further replica.
        Limit {
            /// Replicas of the model that count against the limit.
            counted: u32,
        },
        /// The replica needs more memory than is free, or its `memory_mb` is 0.
        Memory {
            /// Free memory, in megabytes.
            free_mb: u64,
        },
        /// A maximum is reached: engines, replicas of the engine, or open sends of the command.
        Full,
    }
}
