//! Commands of the control group, and the reasons to refuse one.

use lovageplank_core::prelude::*;

use crate::http::Response;

record! { copy =>
    /// The operation of a command.
    #[serde(rename_all = "snake_case")]
    pub enum Op {
        /// Load a model's version.
        Load,
        /// Unload a model's version.
        Unload,
        /// Load an adapter onto a replica.
        LoadAdapter,
        /// Unload an adapter from a replica.
        UnloadAdapter,
        /// Change the engine's role.
        SetRole,
    }
}

record! { key =>
    /// The body of `POST /commands`.
    #[serde(deny_unknown_fields)]
    pub struct Command {
        /// Unique id of the command; a command with a known id isn't executed again.
        pub command_id: Name,
        /// Fencing token, which grows with each decision about the model.
        pub fencing_token: u64,
        /// The operation.
        pub op: Op,
        /// The model; required by all operations except `set_role`.
        #[serde(default)]
        pub model: Option<Name>,
        /// The model's version.
        #[serde(default)]
        pub version: Option<Name>,
        /// The adapter; required by `load_adapter` and `unload_adapter`.
        #[serde(default)]
        pub adapter: Option<Name>,
        /// Accelerator memory that the model needs, in megabytes.
        #[serde(default)]
        pub memory_mb: Option<u64>,
        /// The role; required by `set_role`.
        #[serde(default)]
        pub role: Option<Name>,
    }
}

impl Command {
    /// Parses a command and checks that it has the fields that its `op` requires.
    ///
    /// Errors: the body isn't a valid command, or a required field is missing.
    pub fn parse(body: &[u8]) -> Result<Command, String> {
        let command: Command = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let needs = match command.op {
            Op::Load | Op::Unload => vec![("model", &command.model)],
            Op::LoadAdapter | Op::UnloadAdapter => {
                vec![("model", &command.model), ("adapter", &command.adapter)]
            }
            Op::SetRole => vec![("role", &command.role)],
        };
        for (field, value) in needs {
            if value.is_none() {
                return Err(format!("op {:?} needs \"{field}\"", command.op));
            }
        }
        Ok(command)
    }

    /// Returns the model and version that the command applies to; a missing one is empty.
    pub fn replica_key(&self) -> (Name, Name) {
        let model = self.model.clone().unwrap_or_default();
        let version = self.version.clone().unwrap_or_default();
        (model, version)
    }
}

/// The reason why a command wasn't executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The command's fencing token is lower than the highest one received for the model.
    StaleToken {
        /// The highest token received for the model.
        highest: u64,
    },
    /// The replica needs more memory than is free.
    OutOfMemory {
        /// Memory that the replica needs, in megabytes.
        memory_mb: u64,
        /// Free memory, in megabytes.
        free_mb: u64,
    },
    /// The replica that the adapter belongs to isn't on this engine.
    NotLoaded,
}

impl Refusal {
    /// Returns the HTTP response that reports the refusal.
    pub fn response(&self) -> Response {
        match self {
            Refusal::StaleToken { highest } => {
                let message = format!("the highest fencing token seen is {highest}");
                Response::error(409, "stale_token", &message)
            }
            Refusal::OutOfMemory { memory_mb, free_mb } => {
                let message = format!("{memory_mb} MB wanted, {free_mb} MB free");
                Response::error(507, "out_of_memory", &message)
            }
            Refusal::NotLoaded => {
                Response::error(404, "model_not_loaded", "the replica isn't on this engine")
            }
        }
    }
}
