//! What the log asks of the ledger, and the answers.

use super::Record;
use crate::backend::LoadedReplica;
use crate::prelude::*;
use crate::view::ReplicaId;

record! { data =>
    /// One entry of the log for the ledger.
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// Decide a replica and command its load.
        Load(Load),
        /// Decide to keep a replica that was found, or replaced while its engine was lost.
        Adopt(Adoption),
        /// Let a replica take no more work.
        Drain(ReplicaId),
        /// Let a draining replica take work again.
        Undrain(ReplicaId),
        /// Command the unload of a replica that drains, was found or is doubtful, or of one whose
        /// load the engine accepted but that is no longer wanted.
        ///
        /// The caller commits it only when the replica runs nothing and no router sends it work.
        Unload(ReplicaId),
        /// Command the load of an adapter on a ready replica.
        LoadAdapter {
            /// The replica.
            replica: ReplicaId,
            /// The adapter.
            adapter: Name,
        },
        /// Command the unload of an adapter.
        UnloadAdapter {
            /// The replica.
            replica: ReplicaId,
            /// The adapter.
            adapter: Name,
        },
        /// Permit one more send of a command.
        Resend {
            /// Its token.
            token: u64,
        },
        /// What became of one send of a command.
        Resolve {
            /// Its token.
            token: u64,
            /// Number of the send, from 1.
            send: u32,
            /// What became of it.
            outcome: Outcome,
        },
        /// What an engine reports that it holds.
        Observe(Observation),
        /// An engine's lease ran out.
        Lost {
            /// The engine.
            engine: Name,
            /// Its incarnation.
            incarnation: u64,
        },
        /// A lost engine will not return under its incarnation.
        Forget {
            /// The engine.
            engine: Name,
        },
    }
}

record! { key =>
    /// A decision to load a replica.
    pub struct Load {
        /// The replica.
        pub replica: ReplicaId,
        /// Megabytes that it needs.
        pub memory_mb: u64,
        /// Replicas of this version that may be loaded at once.
        pub limit: u32,
        /// Replicas on top of `limit` over all versions, while other versions are still loaded.
        pub surge: u32,
        /// Whether replicas on lost engines make room under the limit.
        pub replace_lost: bool,
    }
}

record! { key =>
    /// A decision to keep a replica that is loaded already.
    pub struct Adoption {
        /// The replica.
        pub replica: ReplicaId,
        /// Megabytes that it needs.
        pub memory_mb: u64,
        /// Replicas of this version that may be loaded at once.
        pub limit: u32,
        /// Replicas on top of `limit` over all versions.
        pub surge: u32,
    }
}

record! { copy =>
    /// What became of one send of a command.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The engine took it; its effect shows in reports that are asked for from now on.
        Accepted,
        /// The engine has finished it, or had nothing left to do.
        Done,
        /// The engine refused it and will not execute this copy.
        Rejected,
        /// No byte of it left, or its connection never reached the record's incarnation.
        NotSent,
    }
}

record! { data =>
    /// What an engine reports that it holds.
    pub struct Observation {
        /// The engine.
        pub engine: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// Every replica that it holds or loads.
        pub loaded: Vec<LoadedReplica>,
        /// Index that was applied when the report was *asked for*; 0 for a report that the engine
        /// pushed. Never the index at which it came in.
        pub basis: u64,
    }
}

record! { data =>
    /// The answer to an entry that was not refused.
    #[serde(rename_all = "snake_case")]
    pub enum Reply {
        /// The command to send, as often as its sends permit.
        Command(Record),
        /// Done; nothing to send.
        Changed,
        /// What an observation changed.
        Observed(Observed),
    }
}

record! { key =>
    /// What an observation changed.
    #[derive(Default)]
    pub struct Observed {
        /// Replicas now known to be loaded.
        pub ready: Vec<ReplicaId>,
        /// Replicas now known not to be loaded.
        pub gone: Vec<ReplicaId>,
        /// Replicas that nobody wants there.
        pub found: Vec<ReplicaId>,
    }
}

record! { key =>
    /// Why an entry was refused; nothing was changed.
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// No such engine.
        UnknownEngine,
        /// No such replica on the engine.
        UnknownReplica,
        /// No such command or send; it is settled.
        UnknownCommand,
        /// Of an earlier incarnation, or of one that was forgotten.
        Stale {
            /// The incarnation known.
            current: u64,
        },
        /// Memory or fencing differ within one incarnation.
        Incarnation,
        /// The engine is out of sight.
        Lost,
        /// The engine is in sight.
        InSight,
        /// The replica is decided already.
        Exists,
        /// The replica's phase doesn't allow it.
        Phase,
        /// A command for the model on the engine is unresolved.
        Busy {
            /// The command's token.
            token: u64,
        },
        /// A copy of an old command may still arrive and undo this one.
        Outstanding {
            /// The old command's token.
            token: u64,
        },
        /// More replicas than the limit allows.
        Limit {
            /// Replicas that count.
            counted: u32,
        },
        /// The engine's memory doesn't suffice.
        Memory {
            /// Megabytes that are free.
            free_mb: u64,
        },
        /// A table is full.
        Full,
    }
}
