//! Reads the files of a deployment's folder.

use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, bail, eyre};
use lovageplank_core::prelude::*;
use lovageplank_process::config::{self, DaemonKind};
use serde::de::DeserializeOwned;
use serde_json::Value;

record! { data =>
    /// Settings of the stand-in weight store.
    #[serde(deny_unknown_fields)]
    pub struct Store {
        /// Maximum number of model loads that may start per second.
        pub loads_per_second: f64,
        /// Number of simultaneous model loads that run at full speed.
        pub full_speed: u32,
        /// Duration of a load at full speed, in milliseconds.
        pub load_ms: u64,
    }
}

record! { data =>
    /// Settings of a stand-in engine.
    #[serde(deny_unknown_fields)]
    pub struct Engine {
        /// Unique name.
        pub id: Name,
        /// Failure domain of the backend server.
        pub failure_domain: Name,
        /// Service that the backend server provides.
        pub service: Name,
        /// Accelerator memory in megabytes.
        pub memory_mb: u64,
        /// Whether the engine refuses commands with outdated fencing tokens.
        pub fencing: bool,
        /// Models whose weights are cached on disk.
        #[serde(default)]
        pub on_disk: Vec<String>,
        /// Models whose weights are cached in host memory.
        #[serde(default)]
        pub in_memory: Vec<String>,
    }
}

record! { data =>
    /// Settings of a stand-in server of a plain service.
    #[serde(deny_unknown_fields)]
    pub struct Server {
        /// Unique name.
        pub id: Name,
        /// Failure domain of the backend server.
        pub failure_domain: Name,
        /// Service that the backend server provides.
        pub service: Name,
        /// Duration of a call in milliseconds.
        pub latency_ms: u64,
    }
}

record! { data =>
    /// The stand-ins for the weight store and the backend servers (`backends.jsonc`).
    #[serde(deny_unknown_fields)]
    pub struct Backends {
        /// The weight store.
        pub store: Store,
        /// The engines.
        pub engines: Vec<Engine>,
        /// The plain services.
        pub services: Vec<Server>,
    }
}

/// The settings file of a process, with its content.
#[derive(Clone, Debug)]
pub struct File {
    /// Absolute path.
    pub path: PathBuf,
    /// The checked settings.
    pub config: config::Config,
}

/// A deployment as described by the files of its folder.
#[derive(Clone, Debug)]
pub struct Example {
    /// Settings files of the control processes, sorted by name.
    pub controls: Vec<File>,
    /// Settings files of the routers, sorted by name.
    pub routers: Vec<File>,
    /// The settings tree.
    pub tree: Value,
    /// The stand-ins for the weight store and the backend servers.
    pub backends: Backends,
}

impl Example {
    /// Reads and checks all files of a folder.
    ///
    /// Fails if a file cannot be read or is invalid, with the file and the line in the error, or if
    /// there is no `control-*.jsonc` or no `router-*.jsonc`.
    pub fn read(folder: &Path) -> Result<Example> {
        let folder = folder
            .canonicalize()
            .wrap_err_with(|| format!("open {}", folder.display()))?;
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&folder).wrap_err("read the folder of the deployment")? {
            files.push(entry.wrap_err("read the folder of the deployment")?.path());
        }
        files.sort();
        let example = Example {
            controls: processes(&files, "control-", DaemonKind::Control)?,
            routers: processes(&files, "router-", DaemonKind::Router)?,
            tree: read(&folder.join("tree.jsonc"))?,
            backends: read(&folder.join("backends.jsonc"))?,
        };
        if example.controls.is_empty() || example.routers.is_empty() {
            bail!(
                "{} must contain at least one control-*.jsonc and one router-*.jsonc",
                folder.display()
            );
        }
        Ok(example)
    }
}

fn processes(files: &[PathBuf], prefix: &str, daemon: DaemonKind) -> Result<Vec<File>> {
    let matches = |file: &&PathBuf| {
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        name.starts_with(prefix) && name.ends_with(".jsonc")
    };
    let mut checked = Vec::new();
    for path in files.iter().filter(matches) {
        let config = config::read(path, daemon).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            eyre!("{}", lines.join("\n"))
        })?;
        checked.push(File {
            path: path.clone(),
            config,
        });
    }
    Ok(checked)
}

/// Reads and deserializes a file of JSON with comments.
fn read<T: DeserializeOwned>(file: &Path) -> Result<T> {
    let name = file.display();
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("read {name}"))?;
    let value = jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
        .map_err(|error| eyre!("{name}: {error}"))?;
    let value = value.ok_or_else(|| eyre!("{name} is empty"))?;
    serde_json::from_value(value).wrap_err_with(|| format!("{name}"))
}
