//! Commands to engines and their answers.

use crate::prelude::*;

record! { key =>
    /// Operation that an engine is to carry out.
    pub enum Op {
        /// Load a model.
        Load(Name),
        /// Unload a model.
        Unload(Name),
        /// Load an adapter of a loaded model; the first name is the model, the second the adapter.
        LoadAdapter(Name, Name),
        /// Unload an adapter of a model; the first name is the model, the second the adapter.
        UnloadAdapter(Name, Name),
    }
}

record! { key =>
    /// A command to one incarnation of an engine.
    pub struct Command {
        /// Name of the engine.
        pub server: Name,
        /// Incarnation of the engine: when its process started, in Unix milliseconds by its own
        /// clock.
        #[serde(rename = "born_ms")]
        pub incarnation: u64,
        /// Address that it listens on.
        pub address: Name,
        /// Number of commands that the engine must have accepted before this one. If it has
        /// accepted another number, it must refuse this one.
        pub expected: u64,
        /// Operation that the engine is to carry out.
        pub op: Op,
    }
}

record! { copy =>
    /// Answer of an engine to a command.
    pub enum Answer {
        /// The engine carries out the command.
        Accepted,
        /// Nothing is left to do: the state that the command should bring about exists. An engine
        /// also answers this when it has unloaded an adapter at once.
        Holds,
        /// Another command is in progress, or the engine has accepted another number of commands
        /// than `expected`.
        Conflict,
        /// The process at the address is another incarnation or another engine, or it refuses for
        /// another reason.
        Refused,
        /// There was no answer: the engine may carry out the command now or later.
        Unknown,
    }
}

impl Op {
    /// The model that is loaded or unloaded, or whose adapter is.
    pub fn model(&self) -> &Name {
        match self {
            Op::Load(model)
            | Op::Unload(model)
            | Op::LoadAdapter(model, _)
            | Op::UnloadAdapter(model, _) => model,
        }
    }

    /// The adapter, if one is loaded or unloaded.
    pub fn adapter(&self) -> Option<&Name> {
        match self {
            Op::Load(_) | Op::Unload(_) => None,
            Op::LoadAdapter(_, adapter) | Op::UnloadAdapter(_, adapter) => Some(adapter),
        }
    }

    /// Whether it loads a model or an adapter.
    pub fn loads(&self) -> bool {
        matches!(self, Op::Load(_) | Op::LoadAdapter(..))
    }
}
