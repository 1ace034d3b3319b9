//! Runs a whole deployment as separate processes on loopback, from a folder of settings files.
//!
//! ```no_run
//! use lovageplank_standin::local::Config;
//! let deployment = Config::new("examples/haddad").start().unwrap();
//! println!("callers may connect to {}", deployment.routers()[0].address());
//! deployment.stop();
//! ```
//!
//! The folder holds one settings file for each process (`control-*.jsonc`, `router-*.jsonc`), the
//! settings tree (`tree.jsonc`) and the stand-ins for the backend servers (`backends.jsonc`). The
//! processes run the shipped binaries, unchanged, which must be in the folder of the running
//! program. Nothing but this launcher starts processes; it is for tests, measurements and manual
//! use. On real instances each daemon is started by the instance's own service manager.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use lovageplank_core::settings::{Edit, Version};
use lovageplank_wire::call::OperatorRequest;
use tempfile::TempDir;

pub use self::example::Example;
pub use self::operators::OperatorClient;
pub use self::process::Process;

mod example;
pub mod measure;
mod operators;
mod process;
mod start;

/// Timeout in milliseconds of each wait for the deployment: for the address of a stand-in, an
/// answer to an operator call, a settings version in force, the engines. Beyond it the wait fails.
const START_TIMEOUT_MS: u64 = 30_000;

/// Milliseconds within which a process must end after SIGTERM. Beyond it the process is killed when
/// its [`Process`] is dropped.
const STOP_TIMEOUT_MS: u64 = 45_000;

/// Milliseconds between two checks of a condition that is waited for.
const POLL_INTERVAL_MS: u64 = 20;

/// The deployment to start and the folder for its state.
#[derive(Clone, Debug)]
pub struct Config {
    example: PathBuf,
    data: Option<PathBuf>,
}

impl Config {
    /// Creates the configuration for the deployment in a folder, with its state in a temporary
    /// folder.
    pub fn new(example: impl Into<PathBuf>) -> Config {
        Config {
            example: example.into(),
            data: None,
        }
    }

    /// Sets the folder for state and logs, which is kept after the end. Relative data folders of
    /// the settings files are below it.
    #[must_use]
    pub fn data(mut self, folder: impl Into<PathBuf>) -> Config {
        self.data = Some(folder.into());
        self
    }

    /// Starts all processes and waits until the settings tree is in force at every router.
    ///
    /// Fails if a settings file is invalid, a process does not start, or the tree is not in force
    /// in time.
    pub fn start(self) -> Result<Deployment> {
        let example = Example::read(&self.example)?;
        let (folder, temporary) = if let Some(folder) = self.data {
            (folder, None)
        } else {
            let temporary = TempDir::new().wrap_err("create a temporary folder")?;
            (temporary.path().to_path_buf(), Some(temporary))
        };
        std::fs::create_dir_all(&folder)
            .wrap_err_with(|| format!("create {}", folder.display()))?;
        let folder = folder.canonicalize().wrap_err("resolve the data folder")?;
        let began = Instant::now();
        let mut deployment = Deployment {
            controls: Vec::new(),
            routers: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            store: None,
            operators: OperatorClient::new(Vec::new(), ""),
            start: Duration::ZERO,
            example,
            _temporary: temporary,
        };
        start::all(&mut deployment, &folder)?;
        deployment.apply()?;
        deployment.start = began.elapsed();
        Ok(deployment)
    }
}

/// A running deployment; dropping it kills its processes.
pub struct Deployment {
    controls: Vec<Process>,
    routers: Vec<Process>,
    engines: Vec<Process>,
    services: Vec<Process>,
    store: Option<Process>,
    operators: OperatorClient,
    start: Duration,
    example: Example,
    /// Declared last, since fields are dropped in order: the folder is removed after the processes
    /// have been killed.
    _temporary: Option<TempDir>,
}

impl Deployment {
    /// The control processes.
    pub fn controls(&self) -> &[Process] {
        &self.controls
    }

    /// The control processes, for tests that kill and restart them.
    pub fn controls_mut(&mut self) -> &mut [Process] {
        &mut self.controls
    }

    /// The routers.
    pub fn routers(&self) -> &[Process] {
        &self.routers
    }

    /// The routers, for tests that stop and restart them.
    pub fn routers_mut(&mut self) -> &mut [Process] {
        &mut self.routers
    }

    /// The stand-in engines.
    pub fn engines(&self) -> &[Process] {
        &self.engines
    }

    /// The stand-in plain services.
    pub fn services(&self) -> &[Process] {
        &self.services
    }

    /// The stand-in weight store.
    pub fn store(&self) -> Option<&Process> {
        self.store.as_ref()
    }

    /// The settings files that the deployment was started from.
    pub fn example(&self) -> &Example {
        &self.example
    }

    /// The client for operator calls.
    pub fn operators(&self) -> &OperatorClient {
        &self.operators
    }

    /// Time from the start of the first process until the settings tree was in force at every
    /// router.
    pub fn start_time(&self) -> Duration {
        self.start
    }

    /// Addresses of the routers.
    pub fn router_addresses(&self) -> Vec<String> {
        addresses(&self.routers)
    }

    /// Addresses of the backend servers (engines, then plain services), for their records.
    pub fn backend_addresses(&self) -> Vec<String> {
        let mut all = addresses(&self.engines);
        all.extend(addresses(&self.services));
        all
    }

    /// Applies the settings tree, unless the data folder already holds one, and waits until it is
    /// in force.
    fn apply(&self) -> Result<()> {
        let status = self
            .operators
            .wait_for(&OperatorRequest::Status, START_TIMEOUT_MS)?;
        let base = status["settings_version"].as_u64().unwrap_or(0);
        if base > 0 {
            return self.wait_in_force(Version(base));
        }
        let change = OperatorRequest::Change {
            id: "first-tree".into(),
            base: Version(0),
            author: "lovageplank-local".into(),
            edits: vec![Edit {
                path: String::new(),
                value: Some(self.example.tree.clone()),
            }],
        };
        let answer = self.operators.wait_for(&change, START_TIMEOUT_MS)?;
        self.wait_in_force(Version(answer["version"].as_u64().unwrap_or(0)))
    }

    /// Waits until a settings version is in force at every router; fails on timeout.
    pub fn wait_in_force(&self, version: Version) -> Result<()> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(START_TIMEOUT_MS) {
            let answer = self.operators.call(&OperatorRequest::InForce { version });
            if answer.is_ok_and(|a| a["in_force"] == true) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        bail!(
            "version {} is not in force after {START_TIMEOUT_MS} ms",
            version.0
        )
    }

    /// Waits until the control group lists at least as many engines as the deployment has; fails on
    /// timeout.
    pub fn wait_for_engines(&self) -> Result<()> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(START_TIMEOUT_MS) {
            let engines = self
                .operators
                .call(&OperatorRequest::Engines)
                .unwrap_or_default();
            if engines.as_array().map_or(0, Vec::len) >= self.engines.len() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        bail!("the control group does not list all engines after {START_TIMEOUT_MS} ms")
    }

    /// Stops all processes gracefully: the routers first, then the backend servers, the control
    /// group and the weight store.
    pub fn stop(mut self) {
        let store = self.store.take();
        stop_all(&mut self.routers);
        stop_all(&mut self.engines);
        stop_all(&mut self.services);
        stop_all(&mut self.controls);
        stop_all(&mut store.into_iter().collect::<Vec<_>>());
    }
}

/// Sends SIGTERM to all processes, then waits for each. A process that does not end in time is
/// killed when it is dropped.
fn stop_all(processes: &mut [Process]) {
    for process in &mut *processes {
        process.terminate();
    }
    for process in processes {
        process.wait(Duration::from_millis(STOP_TIMEOUT_MS));
    }
}

fn addresses(processes: &[Process]) -> Vec<String> {
    let text = |p: &Process| p.address().to_string();
    processes.iter().map(text).collect()
}

/// Returns the folder of the binaries: that of the running program, or its parent if the program is
/// a test in cargo's `deps` folder.
pub fn programs() -> Result<PathBuf> {
    let current = std::env::current_exe().wrap_err("find the running program")?;
    let folder = current.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") {
        return Ok(folder.parent().unwrap_or(folder).to_path_buf());
    }
    Ok(folder.to_path_buf())
}

/// Returns a placeholder (port 0) for an address that is not known yet.
fn unspecified_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
