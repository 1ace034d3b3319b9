//! A child process of the launcher.

use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail, eyre};

use super::{POLL_INTERVAL_MS, START_TIMEOUT_MS, unspecified_address};

/// Start of the line in which a stand-in prints its address.
const LISTENING: &str = "listening address=";

/// How a process is started and restarted.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name of the process in error messages and of its log file.
    pub name: String,
    /// Path of the binary.
    pub program: PathBuf,
    /// Command-line arguments.
    pub arguments: Vec<String>,
    /// Working folder, which also holds the log file.
    pub folder: PathBuf,
    /// Address of its HTTP server; `None` if the process prints it.
    pub address: Option<SocketAddr>,
}

/// A child process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    spec: Spec,
    address: SocketAddr,
    child: Child,
}

impl Process {
    /// Starts a process. Without an address in `spec`, waits until the process has printed it;
    /// fails if it ends before or the time is up.
    pub fn start(spec: Spec) -> Result<Process> {
        let child = spawn(&spec)?;
        let mut process = Process {
            address: spec.address.unwrap_or(unspecified_address()),
            spec,
            child,
        };
        if process.spec.address.is_none() {
            process.address = process.printed_address()?;
        }
        Ok(process)
    }

    /// Name of the process.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Address of its HTTP server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Log file, with the standard output and standard error of the process.
    pub fn log(&self) -> PathBuf {
        log(&self.spec)
    }

    /// Kills the process by SIGKILL, as if its instance were lost, and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has ended already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }

    /// Sends SIGTERM, which stops the process gracefully, unless it has ended already.
    pub fn terminate(&mut self) {
        if let Ok(Some(_)) = self.child.try_wait() {
            return;
        }
        // Uses `kill` of the shell, since the standard library can only send SIGKILL.
        let _status = Command::new("sh")
            .args(["-c", "kill -TERM \"$0\"", &self.id().to_string()])
            .status();
    }

    /// Waits until the process ends. Returns its exit code, or `None` if it was ended by a signal
    /// or is still running after `within`.
    pub fn wait(&mut self, within: Duration) -> Option<i32> {
        let began = Instant::now();
        while began.elapsed() < within {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        None
    }

    /// Restarts the process with the same arguments; kills it first if it is running. An address
    /// that the process prints is not read again.
    pub fn restart(&mut self) -> Result<()> {
        self.kill();
        self.child = spawn(&self.spec)?;
        Ok(())
    }

    fn printed_address(&mut self) -> Result<SocketAddr> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(START_TIMEOUT_MS) {
            let text = std::fs::read_to_string(self.log()).unwrap_or_default();
            let line = text.lines().find_map(|line| line.strip_prefix(LISTENING));
            if let Some(address) = line {
                return address.parse().map_err(|_| {
                    eyre!(
                        "{}: {address:?} is not an address of the form IP:PORT",
                        self.name()
                    )
                });
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                bail!("{} ended with {status}: {text}", self.name());
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        bail!(
            "{} printed no address in {START_TIMEOUT_MS} ms",
            self.name()
        )
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn log(spec: &Spec) -> PathBuf {
    spec.folder.join(format!("{}.log", spec.name))
}

/// Starts the program in a process group of its own, so that Ctrl-C at the terminal reaches only
/// the launcher.
fn spawn(spec: &Spec) -> Result<Child> {
    let out = File::options()
        .create(true)
        .append(true)
        .open(log(spec))
        .wrap_err_with(|| format!("open the log of {}", spec.name))?;
    let errors = out
        .try_clone()
        .wrap_err("duplicate the handle of the log file")?;
    Command::new(&spec.program)
        .args(&spec.arguments)
        .current_dir(&spec.folder)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(errors)
        .process_group(0)
        .spawn()
        .wrap_err_with(|| {
            let program = spec.program.display();
            format!("start {program}; `cargo build --workspace` builds it")
        })
}
