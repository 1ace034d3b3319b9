//! Commands to engines and their answers.

use crate::prelude::*;

record! { key =>
    /// What an engine is to do.
    pub enum Op {
        /// Load a model.
        Load(Name),
        /// Unload a model.
        Unload(Name),
        /// Load an adapter of a model that is held.
        LoadAdapter(Name, Name),
        /// Unload an adapter.
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
        /// Where it listens.
        pub address: Name,
        /// Commands that it has accepted before; with another number it must refuse.
        pub expected: u64,
        /// What it is to do.
        pub op: Op,
    }
}

record! { copy =>
    /// How an engine answered a command.
    pub enum Answer {
        /// It carries the command out.
        Accepted,
        /// What the command asks for already holds.
        Holds,
        /// Another command is in progress, or it has accepted another number of commands.
        Conflict,
        /// It is another engine, or refuses for another reason.
        Refused,
        /// No answer: it may carry the command out now or later.
        Unknown,
    }
}

impl Op {
    /// The model concerned.
    pub fn model(&self) -> &Name {
        match self {
            Op::Load(model)
            | Op::Unload(model)
            | Op::LoadAdapter(model, _)
            | Op::UnloadAdapter(model, _) => model,
        }
    }

    /// The adapter concerned, if one is.
    pub fn adapter(&self) -> Option<&Name> {
        match self {
            Op::Load(_) | Op::Unload(_) => None,
            Op::LoadAdapter(_, adapter) | Op::UnloadAdapter(_, adapter) => Some(adapter),
        }
    }

    /// Whether the engine brings something in.
    pub fn loads(&self) -> bool {
        matches!(self, Op::Load(_) | Op::LoadAdapter(..))
    }
}
