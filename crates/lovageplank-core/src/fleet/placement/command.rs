//! Commands to engines and their answers.

use crate::prelude::*;

record! { key =>
    /// Operation that an engine is to carry out.
    pub enum Op {
        /// Load a model.
        Load(Name),
        /// Unload a model.
        Unload(Name),
        /// Load an adapter of a loaded model.
        LoadAdapter(Name, Name),
        /// Unload an adapter of a model.
        UnloadAdapter(Name, Name),
    }
}

record! { key =>
    /// A command to one incarnation of an engine.
    pub struct Command {
        /// The engine.
        pub server: Name,
        /// Its incarnation.
        #[serde(rename = "born_ms")]
        pub incarnation: u64,
        /// Address that it listens on.
        pub address: Name,
        /// Number of commands that it has accepted before; with another number it must refuse.
        pub expected: u64,
        /// The operation.
        pub op: Op,
    }
}

record! { copy =>
    /// Answer of an engine to a command.
    pub enum Answer {
        /// It carries out the command.
        Accepted,
        /// The state that the command asks for is there already.
        Holds,
        /// Another command is in progress, or it has accepted another number of commands.
        Conflict,
        /// It is another incarnation or engine, or refuses for another reason.
        Refused,
        /// There was no answer: it may carry out the command now or later.
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

    /// Whether it loads something.
    pub fn loads(&self) -> bool {
        matches!(self, Op::Load(_) | Op::LoadAdapter(..))
    }
}
