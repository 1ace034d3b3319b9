//! One child process.

use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail, eyre};

use super::{POLL_INTERVAL_MS, START_TIMEOUT_MS, unspecified_address};

/// What a stand-in prints before its address.
const LISTENING: &str = "listening address=";

/// How a process is started, also after it ended.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name for messages and the log file.
    pub name: String,
    /// The binary.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Folder in which it runs, which also takes its log.
    pub folder: PathBuf,
    /// Where it serves HTTP; `None` where it prints its address.
    pub address: Option<SocketAddr>,
}

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    spec: Spec,
    address: SocketAddr,
    child: Child,
}

impl Process {
    /// Starts a process; one that prints its address is waited for.
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

    /// Its name.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Where it serves HTTP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The file that takes what it prints.
    pub fn log(&self) -> PathBuf {
        log(&self.spec)
    }

    /// Ends it at once, as a lost instance would end.
    pub fn kill(&mut self) {
        // Fails only if it has ended already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }

    /// Asks it by SIGTERM to stop gracefully.
    pub fn terminate(&mut self) {
        if let Ok(Some(_)) = self.child.try_wait() {
            return;
        }
        // The shell's own `kill`: the standard library sends only SIGKILL.
        let _status = Command::new("sh")
            .args(["-c", "kill -TERM \"$0\"", &self.id().to_string()])
            .status();
    }

    /// Waits for its end; the exit code, or `None` after a signal or when the time is up.
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

    /// Starts it again after its end.
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
                return address
                    .parse()
                    .map_err(|_| eyre!("{}: {address:?} is no address", self.name()));
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

/// In a process group of its own, so that Ctrl-C at the terminal reaches the launcher only.
fn spawn(spec: &Spec) -> Result<Child> {
    let out = File::options()
        .create(true)
        .append(true)
        .open(log(spec))
        .wrap_err_with(|| format!("open the log of {}", spec.name))?;
    let errors = out.try_clone().wrap_err("open the log")?;
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
