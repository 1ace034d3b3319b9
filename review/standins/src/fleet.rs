//! The project's processes, and the platform that starts, stops and kills them.

use crate::record::Record;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const FRONT_PORT: u16 = 18_149;
pub const READY_PORT: u16 = 18_141;
pub const CONTROL_PORT: u16 = 18_144;
pub const DIRECTORY_PORT: u16 = 18_143;
/// First and last port for the processes' own traffic.
const PORT_RANGE: (u16, u16) = (17_380, 17_395);
/// Memory of a process in MB, as the sheet of the deployment has it.
pub const MEMORY_MB: u64 = 260;
const ZONES: [&str; 3] = ["amman-east", "amman-west", "salt"];
/// The commands of the deploy file.
const PROGRAM: &str = "target/release/lovageplank-platform";
const CONTROL_ARGS: [&str; 3] = ["control", "--metrics", "9464"];
const ENTRY_ARGS: [&str; 3] = ["entry", "--metrics", "9465"];
/// Time between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);

unsafe extern "C" {
    /// The C library's function that sends a signal.
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A role on a machine.
pub struct Process {
    /// Name of the machine and the role.
    pub name: String,
    pub ip: Ipv4Addr,
    args: [&'static str; 3],
    folder: PathBuf,
    root: PathBuf,
    settings: Mutex<String>,
    child: Mutex<Option<Child>>,
}

impl Process {
    /// Starts it, unless it runs.
    pub fn start(&self) -> io::Result<()> {
        let mut child = self.child.lock().expect("not poisoned");
        if child.is_some() {
            return Ok(());
        }
        let file = self.folder.join(format!("{}.toml", self.args[0]));
        fs::write(&file, &*self.settings.lock().expect("not poisoned"))?;
        let log = self.folder.join(format!("{}.log", self.args[0]));
        let log = fs::File::options().create(true).append(true).open(log)?;
        let started = Command::new(self.root.join(PROGRAM))
            .args(self.args)
            .env("LOVAGEPLANK_CONFIG", file)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *child = Some(started);
        Ok(())
    }

    /// Kills it, as a loss of its process does.
    pub fn kill(&self) {
        let child = self.child.lock().expect("not poisoned").take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Signals that stop and continue a process.
    #[cfg(target_os = "linux")]
    pub const STOP: i32 = 19;
    #[cfg(target_os = "linux")]
    pub const CONTINUE: i32 = 18;

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid().and_then(|pid| i32::try_from(pid).ok()) {
            // SAFETY: the call has no conditions; the process is a child that wasn't waited for.
            unsafe { kill(pid, signal) };
        }
    }

    /// The folder that the role keeps on the machine's disk.
    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    pub fn pid(&self) -> Option<u32> {
        let child = self.child.lock().expect("not poisoned");
        child.as_ref().map(Child::id)
    }

    /// Lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(self.folder.join(format!("{}.log", self.args[0])));
        let log = String::from_utf8_lossy(&log.unwrap_or_default()).into_owned();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Memory in bytes that it has in use.
    fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1_024)
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().expect("not poisoned");
        let ended = child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
        if ended {
            *child = None;
        }
        ended
    }
}

/// All machines of a small deployment: each runs both roles and has a disk.
pub struct Fleet {
    pub controls: Vec<Arc<Process>>,
    pub entries: Vec<Arc<Process>>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
    /// Ends of processes by themselves: the machine's number, the time and the memory in use.
    pub ends: Arc<Mutex<Vec<(usize, u64, u64)>>>,
    /// Most memory that each entry had in use.
    pub peaks: Arc<Mutex<Vec<u64>>>,
}

impl Fleet {
    /// Starts machines at loopback addresses that follow from this process's id.
    pub fn start(root: &Path, folder: &Path, machines: u8) -> io::Result<Fleet> {
        let pid = std::process::id();
        let octet = |n: u32| u8::try_from(n % 250 + 2).unwrap_or(2);
        let ip = |host| Ipv4Addr::new(127, octet(pid), octet(pid / 250), host);
        let ips: Vec<Ipv4Addr> = (1..=machines).map(ip).collect();
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("{ip}:{CONTROL_PORT}"))
            .collect();
        let mut fleet = Fleet {
            controls: Vec::new(),
            entries: Vec::new(),
            folder: folder.to_owned(),
            is_over: Arc::default(),
            ends: Arc::default(),
            peaks: Arc::new(Mutex::new(vec![0; ips.len()])),
        };
        for (number, ip) in ips.into_iter().enumerate() {
            let zone = ZONES[number % ZONES.len()];
            let machine = format!("front-{zone}-{}", number / ZONES.len() + 1);
            let folder = folder.join(&machine);
            fs::create_dir_all(&folder)?;
            let process = |args: [&'static str; 3]| {
                let settings = settings(&machine, zone, ip, &seeds, &folder, args[0]);
                Arc::new(Process {
                    name: format!("{machine} {}", args[0]),
                    ip,
                    args,
                    folder: folder.clone(),
                    root: root.to_owned(),
                    settings: Mutex::new(settings),
                    child: Mutex::new(None),
                })
            };
            fleet.controls.push(process(CONTROL_ARGS));
            fleet.entries.push(process(ENTRY_ARGS));
        }
        for process in fleet.processes() {
            process.start()?;
            let mut settings = process.settings.lock().expect("not poisoned");
            *settings = settings.replace("first-start = true", "first-start = false");
        }
        Ok(fleet)
    }

    pub fn processes(&self) -> impl Iterator<Item = &Arc<Process>> {
        self.controls.iter().chain(&self.entries)
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let ips = self.controls.iter().map(|process| process.ip);
        ips.map(|ip| (ip, CONTROL_PORT).into()).collect()
    }

    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        let ips = self.entries.iter().map(|process| process.ip);
        ips.map(|ip| (ip, FRONT_PORT).into()).collect()
    }

    /// Does as the platform does with the entries: kills one that uses more than its memory, and starts
    /// again what has ended.
    pub fn watch_memory(&self, record: &Arc<Record>) {
        let (entries, record) = (self.entries.clone(), record.clone());
        let (is_over, ends, peaks) = (self.is_over.clone(), self.ends.clone(), self.peaks.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Acquire) {
                for (number, entry) in entries.iter().enumerate() {
                    let used = entry.memory().unwrap_or_default();
                    let peak = &mut peaks.lock().expect("not poisoned")[number];
                    *peak = used.max(*peak);
                    let is_over_limit = used > MEMORY_MB << 20;
                    if !is_over_limit && !entry.has_ended() {
                        continue;
                    }
                    let end = (number, record.now_ms(), used);
                    ends.lock().expect("not poisoned").push(end);
                    entry.kill();
                    record.line(format!(
                        "{} ended, with {} MB in use",
                        entry.name,
                        used >> 20
                    ));
                    let (entry, is_over) = (entry.clone(), is_over.clone());
                    thread::spawn(move || {
                        thread::sleep(RESTART_DELAY);
                        if !is_over.load(Ordering::Acquire) {
                            let _ = entry.start();
                        }
                    });
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    /// Ends all processes and removes their files.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Release);
        thread::sleep(RESTART_DELAY * 2);
        for process in self.processes() {
            process.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes() {
            process.kill();
        }
    }
}

fn settings(
    machine: &str,
    zone: &str,
    ip: Ipv4Addr,
    seeds: &[String],
    folder: &Path,
    role: &str,
) -> String {
    let (first, last) = PORT_RANGE;
    let data = match role {
        "control" => format!("data-dir = \"{}\"\n", folder.join("data").display()),
        _ => String::new(),
    };
    format!(
        "node = \"{machine}\"\nrole = \"{role}\"\nmachine-class = \"front\"\nserves = [\"front\",\"control\",\"directory\"]\n\
         ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"jordan\"\nport-range = [{first},{last}]\nseeds = {seeds:?}\n\
         first-start = true\ncounts-as-loss = true\n{data}discovery = \"registry\"\nentry = \"directory\"\nheartbeat-ms = 1200\n\
         config-mode = \"highest\"\n[zones]\namman-east = \"jordan\"\namman-west = \"jordan\"\nsalt = \"jordan\"\n\
         [listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\ncontrol = \"{ip}:{CONTROL_PORT}\"\n\
         directory = \"{ip}:{DIRECTORY_PORT}\"\n[limits]\ncpu-share = 0.45\ncores = 1\nmemory-mb = {MEMORY_MB}\nmax-fds = 4100\n\
         link-mbps = 1000.0\ndisk-mb = 64\n[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed-lag-s = 3\n\
         addr-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\n\
         config-apply-ms = 2000\nrollback-slack-ms = 250\nouter-ms = 5000\nbudget-ratio = 0.2\nbudget-window-s = 10\n\
         budget-extra = 60\nrecovery-s = 12\npass-ms = 120\nretry-after-s = 0\nfencing = false\nlease-ms = 3000\n\
         thaw-slack-ms = 300\nceiling-window-s = 5\nceiling-overage = 1.1\nttl_max_s = 5\n"
    )
}
