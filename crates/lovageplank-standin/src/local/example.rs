//! The files of a deployment's folder.

use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, bail, eyre};
use lovageplank_core::prelude::*;
use lovageplank_process::config::{self, DaemonKind};
use serde::de::DeserializeOwned;
use serde_json::Value;

record! { data =>
    /// The stand-in weight store.
    #[serde(deny_unknown_fields)]
    pub struct Store {
        /// Loads of models that may start in a second.
        pub loads_per_second: f64,
        /// Loads of models at full speed.
        pub full_speed: u32,
        /// Milliseconds of a load at full speed.
        pub load_ms: u64,
    }
}

record! { data =>
    /// A stand-in engine.
    #[serde(deny_unknown_fields)]
    pub struct Engine {
        /// Unique name.
        pub id: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// The service that it serves.
        pub service: Name,
        /// Memory of its accelerator in megabytes.
        pub memory_mb: u64,
        /// Whether it refuses commands with old fencing tokens.
        pub fencing: bool,
        /// Models whose weights its disk holds.
        #[serde(default)]
        pub on_disk: Vec<String>,
        /// Models whose weights its main memory holds.
        #[serde(default)]
        pub in_memory: Vec<String>,
    }
}

record! { data =>
    /// A stand-in server of a plain service.
    #[serde(deny_unknown_fields)]
    pub struct Server {
        /// Unique name.
        pub id: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// The service that it serves.
        pub service: Name,
        /// Milliseconds that a call runs.
        pub latency_ms: u64,
    }
}

record! { data =>
    /// What stands in for the backend servers.
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

/// A process's settings file and what stands in it.
#[derive(Clone, Debug)]
pub struct File {
    /// Absolute path.
    pub path: PathBuf,
    /// The checked settings.
    pub config: config::Config,
}

/// A deployment as its files describe it.
#[derive(Clone, Debug)]
pub struct Example {
    /// Files of the control processes, by name.
    pub controls: Vec<File>,
    /// Files of the routers, by name.
    pub routers: Vec<File>,
    /// The settings tree.
    pub tree: Value,
    /// The stand-ins.
    pub backends: Backends,
}

impl Example {
    /// Reads and checks all files of a folder; the error names the file and the line.
    pub fn read(folder: &Path) -> Result<Example> {
        let folder = folder
            .canonicalize()
            .wrap_err_with(|| format!("open {}", folder.display()))?;
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&folder).wrap_err("read the folder")? {
            files.push(entry.wrap_err("read the folder")?.path());
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
                "{} needs control-*.jsonc and router-*.jsonc",
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

/// Reads a file of JSON with comments.
fn read<T: DeserializeOwned>(file: &Path) -> Result<T> {
    let name = file.display();
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("read {name}"))?;
    let value = jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
        .map_err(|error| eyre!("{name}: {error}"))?;
    let value = value.ok_or_else(|| eyre!("{name} is empty"))?;
    serde_json::from_value(value).wrap_err_with(|| format!("{name}"))
}
