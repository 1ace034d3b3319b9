//! Commands of the control group, and why one is refused.

use lovageplank_core::prelude::*;

use crate::http::Response;

record! { copy =>
    /// What a command wants.
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
        /// Names the command; a repeated one isn't executed again.
        pub command_id: Name,
        /// Grows with each decision about the model.
        pub fencing_token: u64,
        /// What is wanted.
        pub op: Op,
        /// The model; needed but for `set_role`.
        #[serde(default)]
        pub model: Option<Name>,
        /// The model's version.
        #[serde(default)]
        pub version: Option<Name>,
        /// The adapter, for the commands on one.
        #[serde(default)]
        pub adapter: Option<Name>,
        /// Accelerator memory that the model needs, in megabytes.
        #[serde(default)]
        pub memory_mb: Option<u64>,
        /// The role, for `set_role`.
        #[serde(default)]
        pub role: Option<Name>,
    }
}

impl Command {
    /// Reads a command and checks that it names what its `op` needs.
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

    /// Returns the model and version that it speaks of.
    pub fn replica_key(&self) -> (Name, Name) {
        let model = self.model.clone().unwrap_or_default();
        let version = self.version.clone().unwrap_or_default();
        (model, version)
    }
}

/// Why a command wasn't executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A higher fencing token was seen for this model.
    StaleToken {
        /// The highest token seen.
        highest: u64,
    },
    /// The replica doesn't fit.
    OutOfMemory {
        /// Memory that it needs, in megabytes.
        memory_mb: u64,
        /// Memory that is free, in megabytes.
        free_mb: u64,
    },
    /// The replica that the adapter belongs to isn't there.
    NotLoaded,
}

impl Refusal {
    /// Returns the HTTP answer.
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
