//! Starts the processes of a deployment in the order of their dependencies.

use std::path::{Path, PathBuf};

use eyre::Result;

use super::example::{Engine, File, Server, Store};
use super::process::{Process, Spec};
use super::{Deployment, OperatorClient, addresses, programs};

/// Starts the control group, the routers, the weight store and the backend servers.
pub fn all(deployment: &mut Deployment, folder: &Path) -> Result<()> {
    let example = deployment.example.clone();
    let starter = Starter {
        programs: programs()?,
        folder: folder.to_path_buf(),
    };
    for file in &example.controls {
        let process = starter.daemon("lovageplank-control", file)?;
        deployment.controls.push(process);
    }
    for file in &example.routers {
        let process = starter.daemon("lovageplank-router", file)?;
        deployment.routers.push(process);
    }
    let token = example.routers[0].config.operator_key.as_str();
    deployment.operators = OperatorClient::new(addresses(&deployment.routers), token);
    let store = starter.store(&example.backends.store)?;
    let store_address = store.address().to_string();
    deployment.store = Some(store);
    let instances = addresses(&deployment.routers);
    for (n, engine) in example.backends.engines.iter().enumerate() {
        let to = rotated(&instances, n);
        let process = starter.engine(engine, &store_address, &to)?;
        deployment.engines.push(process);
    }
    for (n, server) in example.backends.services.iter().enumerate() {
        let to = rotated(&instances, n);
        deployment.services.push(starter.server(server, &to)?);
    }
    Ok(())
}

/// Folder of the binaries, and working folder of the processes.
struct Starter {
    programs: PathBuf,
    folder: PathBuf,
}

impl Starter {
    fn daemon(&self, program: &str, file: &File) -> Result<Process> {
        Process::start(Spec {
            name: file.config.instance.to_string(),
            program: self.programs.join(program),
            arguments: vec!["--config".into(), file.path.display().to_string()],
            folder: self.folder.clone(),
            address: Some(file.config.listen),
        })
    }

    fn store(&self, store: &Store) -> Result<Process> {
        let arguments = vec![
            option("loads-per-s", store.loads_per_second),
            option("full-speed", store.full_speed),
            option("load-ms", store.load_ms),
        ];
        self.stand_in("lovageplank-weight-store", "weight-store", arguments)
    }

    fn engine(&self, engine: &Engine, store: &str, announce_to: &str) -> Result<Process> {
        let mut arguments = vec![
            option("id", &engine.id),
            option("failure-domain", &engine.failure_domain),
            option("service", &engine.service),
            option("memory-mb", engine.memory_mb),
            option("store", store),
            option("announce-to", announce_to),
        ];
        if !engine.on_disk.is_empty() {
            arguments.push(option("on-disk", engine.on_disk.join(",")));
        }
        if !engine.in_memory.is_empty() {
            arguments.push(option("in-memory", engine.in_memory.join(",")));
        }
        if !engine.fencing {
            arguments.push(["--no-fencing".into(), String::new()]);
        }
        self.stand_in("lovageplank-engine", &engine.id, arguments)
    }

    fn server(&self, server: &Server, announce_to: &str) -> Result<Process> {
        let arguments = vec![
            option("id", &server.id),
            option("failure-domain", &server.failure_domain),
            option("service", &server.service),
            option("latency-ms", server.latency_ms),
            option("announce-to", announce_to),
        ];
        self.stand_in("lovageplank-plain-service", &server.id, arguments)
    }

    fn stand_in(&self, program: &str, name: &str, options: Vec<[String; 2]>) -> Result<Process> {
        let words = options.into_iter().flatten();
        Process::start(Spec {
            name: name.to_owned(),
            program: self.programs.join(program),
            arguments: words.filter(|word| !word.is_empty()).collect(),
            folder: self.folder.clone(),
            address: None,
        })
    }
}

fn option(name: &str, value: impl std::fmt::Display) -> [String; 2] {
    [format!("--{name}"), value.to_string()]
}

/// Returns the instances as a comma-separated list that starts with the nth. A backend server stays
/// with the first instance that answers, so that rotated lists spread the servers over the
/// instances.
fn rotated(instances: &[String], n: usize) -> String {
    let mut list = instances.to_vec();
    list.rotate_left(n % instances.len());
    list.join(",")
}
