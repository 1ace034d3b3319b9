//! The real processes, and their use of processor time and memory.

use eyre::{Result, WrapErr, eyre};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tempfile::TempDir;

/// Secret of the links and token of operators.
pub const KEY: &str = "scale-bench-secret-of-all";

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Three control processes and a router; dropping it kills them.
pub struct Processes {
    children: Vec<(String, Child)>,
    links: Vec<SocketAddr>,
    http: Vec<SocketAddr>,
    folder: TempDir,
}

/// Processor time and memory of one process.
pub struct Usage {
    name: String,
    cpu_s: f64,
    memory_mb: f64,
}

impl Usage {
    /// Processor time since an earlier reading `before`, and memory now, as JSON.
    pub fn since(&self, before: &Usage, elapsed_s: f64) -> Value {
        let percent = (self.cpu_s - before.cpu_s) / elapsed_s * 100.0;
        json!({
            "name": self.name,
            "cpu_percent_of_a_core": super::round(percent),
            "memory_mb": super::round(self.memory_mb),
        })
    }
}

impl Processes {
    /// Starts the processes from the binaries of the same build.
    pub fn start() -> Result<Processes> {
        let folder = TempDir::new().wrap_err("create a temporary folder")?;
        let links: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect::<Result<_>>()?;
        let http: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect::<Result<_>>()?;
        let mut processes = Processes {
            children: Vec::new(),
            links,
            http,
            folder,
        };
        for n in 0..3 {
            processes.start_control(n)?;
        }
        processes.start_router()?;
        Ok(processes)
    }

    fn start_control(&mut self, n: usize) -> Result<()> {
        let name = format!("control-{n}");
        let settings = json!({
            "instance": name,
            "failure_domain": format!("domain-{n}"),
            "listen": self.http[n],
            "link": self.links[n],
            "peers": self.links,
            "voters": ["control-0", "control-1", "control-2"],
            "data_dir": self.path(&name),
            "keys": { "link": KEY, "operator": KEY },
            "log": "warn",
        });
        self.spawn("lovageplank-control", &name, &settings)
    }

    fn start_router(&mut self) -> Result<()> {
        let settings = json!({
            "instance": "real-router",
            "failure_domain": "domain-0",
            "listen": self.http[3],
            "peers": self.links,
            "keys": { "link": KEY, "operator": KEY },
            "log": "warn",
        });
        self.spawn("lovageplank-router", "router", &settings)
    }

    fn spawn(&mut self, binary: &str, name: &str, settings: &Value) -> Result<()> {
        let file = self.path(&format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string()).wrap_err("write settings")?;
        let child = Command::new(sibling_binary(binary)?)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .spawn()
            .wrap_err_with(|| format!("start {binary}; build it with cargo build --release"))?;
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Link addresses of the control processes.
    pub fn links(&self) -> Vec<SocketAddr> {
        self.links.clone()
    }

    /// The address of the first control process for operators' calls.
    pub fn http(&self) -> SocketAddr {
        self.http[0]
    }

    /// Processor time and memory of each process so far.
    pub fn usage(&self) -> Result<Vec<Usage>> {
        self.children
            .iter()
            .map(|(name, child)| usage(name, child.id()))
            .collect()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            // An error means that the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn usage(name: &str, pid: u32) -> Result<Usage> {
    let stat =
        std::fs::read_to_string(format!("/proc/{pid}/stat")).wrap_err("read /proc/PID/stat")?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let status =
        std::fs::read_to_string(format!("/proc/{pid}/status")).wrap_err("read /proc/PID/status")?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let rss_kb = line
        .and_then(|l| l.split_whitespace().nth(1))
        .and_then(|f| f.parse::<f64>().ok());
    Ok(Usage {
        name: name.to_owned(),
        // utime and stime are the 14th and 15th fields; the first two (process id and name) were
        // cut off.
        cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_S,
        memory_mb: rss_kb.ok_or_else(|| eyre!("/proc/PID/status has no VmRSS in kB"))? / 1_024.0,
    })
}

/// Path of another binary of the same build.
fn sibling_binary(binary: &str) -> Result<PathBuf> {
    let this_binary = std::env::current_exe().wrap_err("find this program")?;
    let folder = this_binary
        .parent()
        .and_then(Path::parent)
        .ok_or_else(|| eyre!("this program isn't in a target folder"))?;
    Ok(folder.join(binary))
}

fn free_address() -> Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).wrap_err("find a free port")?;
    listener.local_addr().wrap_err("find a free port")
}
