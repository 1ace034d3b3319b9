//! All machines lose power shortly after a change of the configuration was sent, and the writes that their
//! disks had not synced are torn.

use crate::Verdict;
use crate::fleet::{Fleet, Process};
use crate::http;
use crate::operator;
use crate::record::Record;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: u8 = 3;
/// Routes of the configuration: the most that the sheet adds at once.
const ROUTES: usize = 350;
/// Pause between two changes, as in the sheet's storms.
const CHANGE_GAP: Duration = Duration::from_millis(330);
/// Time in which the moment for the loss of power is looked for.
const SEARCH: Duration = Duration::from_secs(50);
/// Time without power.
const DOWN: Duration = Duration::from_millis(1_200);
/// Pause before an ended process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time after which service must be back (`recovery-s`), and for which the operator asks after that.
const RECOVERY: Duration = Duration::from_secs(12);
const ASKING: Duration = Duration::from_secs(20);
/// Bytes that a disk writes at once or not at all.
const BLOCK_BYTES: usize = 4_096;
/// Bytes of a frame of the log before its payload, and after it.
const FRAME_HEADER_BYTES: usize = 12;
const FRAME_END_BYTES: usize = 1;

/// Plays the case. `trouble` is 0 without the loss of power, and `whole` with one that tears no write.
pub fn play(root: &Path, folder: &Path, trouble: &str) -> Result<Verdict, String> {
    let record = Record::create(&folder.join("record.txt")).map_err(|e| e.to_string())?;
    let record = Arc::new(record);
    let state = std::env::temp_dir().join(format!("review-power-{}", std::process::id()));
    let fleet = Fleet::start(root, &state, MACHINES).map_err(|e| e.to_string())?;
    let verdict = run(&fleet, &record, trouble);
    fleet.stop();
    verdict
}

fn run(fleet: &Fleet, record: &Arc<Record>, trouble: &str) -> Result<Verdict, String> {
    let controls = fleet.control_addresses();
    let first = operator::call(
        &controls,
        "PUT",
        &operator::large_configuration(1, ROUTES),
        Duration::from_secs(20),
    );
    if first.is_none_or(|answer| answer.status() != 200) {
        return Err("the first configuration wasn't acknowledged".into());
    }
    record.line("version 1 acknowledged");
    thread::sleep(Duration::from_secs(4));

    let acknowledged = Arc::new(AtomicU64::new(1));
    let is_over = Arc::new(AtomicBool::new(false));
    let changes = send_changes(&controls, &acknowledged, &is_over, record);
    let loss = if trouble == "0" {
        thread::sleep(Duration::from_secs(10));
        None
    } else {
        Some(lose_power(fleet, record, trouble != "whole")?)
    };
    is_over.store(true, Ordering::Release);
    let _ = changes.recv_timeout(Duration::from_secs(5));
    let newest = acknowledged.load(Ordering::Acquire);
    record.line(format!("the newest acknowledged version is {newest}"));
    if loss.is_some() {
        thread::sleep(DOWN);
        keep_started(fleet, record, RECOVERY);
    }
    Ok(read_back(fleet, record, &controls, newest))
}

/// Sends one change after another until told to stop; then the channel closes.
fn send_changes(
    controls: &[SocketAddr],
    acknowledged: &Arc<AtomicU64>,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> mpsc::Receiver<()> {
    let (done, receiver) = mpsc::channel();
    let (controls, acknowledged) = (controls.to_vec(), acknowledged.clone());
    let (is_over, record) = (is_over.clone(), record.clone());
    thread::spawn(move || {
        let _done = done;
        for version in 2.. {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            record.line(format!("operator sends version {version}"));
            let body = operator::large_configuration(version, ROUTES);
            let answer = operator::call(&controls, "PUT", &body, Duration::from_secs(2));
            if answer.is_some_and(|answer| answer.status() == 200) {
                acknowledged.store(version, Ordering::Release);
                record.line(format!("version {version} acknowledged"));
            }
            thread::sleep(CHANGE_GAP);
        }
    });
    receiver
}

/// A thread that writes a log, as the kernel shows it.
struct Voter {
    process: Arc<Process>,
    folder: PathBuf,
    task: PathBuf,
}

impl Voter {
    fn of(process: &Arc<Process>) -> Result<Voter, String> {
        let pid = process.pid().ok_or("a process doesn't run")?;
        let tasks = fs::read_dir(format!("/proc/{pid}/task")).map_err(|e| e.to_string())?;
        for task in tasks.flatten() {
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            if name.trim() == "voter" {
                return Ok(Voter {
                    process: process.clone(),
                    folder: process.data_folder(),
                    task: task.path(),
                });
            }
        }
        Err("a process has no thread that writes the log".into())
    }

    /// Where the thread will go on after the call to sync a file that it is in; `None` outside of such a call.
    fn syncing_at(&self) -> Option<String> {
        let call = fs::read_to_string(self.task.join("syscall")).ok()?;
        let mut words = call.split_whitespace();
        let is_sync = words.next() == Some(FDATASYNC);
        words.last().filter(|_| is_sync).map(str::to_owned)
    }

    /// Where the thread will go on, if it is stopped.
    fn stopped_at(&self) -> Option<String> {
        let stat = fs::read_to_string(self.task.join("stat")).ok()?;
        let is_stopped = stat.rsplit(')').next()?.trim_start().starts_with('T');
        let call = fs::read_to_string(self.task.join("syscall")).ok()?;
        call.split_whitespace()
            .last()
            .filter(|_| is_stopped)
            .map(str::to_owned)
    }

    /// The newest file of the log.
    fn log(&self) -> io::Result<PathBuf> {
        let files = fs::read_dir(&self.folder)?
            .flatten()
            .map(|file| file.path());
        let logs = files.filter(|f| {
            f.file_name()
                .is_some_and(|n| n.to_string_lossy().starts_with("log-"))
        });
        logs.max().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// Number of the call that makes the content of a file durable.
#[cfg(target_arch = "aarch64")]
const FDATASYNC: &str = "83";
#[cfg(target_arch = "x86_64")]
const FDATASYNC: &str = "75";

/// Waits until two of the processes are about to sync what they have written, and takes the power off all machines
/// then. What these two have written since their last sync is torn.
fn lose_power(fleet: &Fleet, record: &Record, is_torn: bool) -> Result<(), String> {
    let voters: Result<Vec<Voter>, String> = fleet.controls.iter().map(Voter::of).collect();
    let voters = voters?;
    let until = Instant::now() + SEARCH;
    while Instant::now() < until {
        let syncing: Vec<(&Voter, String)> = voters
            .iter()
            .filter_map(|voter| Some((voter, voter.syncing_at()?)))
            .collect();
        if syncing.len() != 2 {
            continue;
        }
        for process in fleet.processes() {
            process.signal(Process::STOP);
        }
        thread::sleep(Duration::from_millis(2));
        // The thread has done nothing since it called for the sync, so nobody has seen an effect of it.
        let is_before_end = syncing
            .iter()
            .all(|(voter, at)| voter.stopped_at().as_ref() == Some(at));
        let writes: Vec<Option<Write>> =
            syncing.iter().map(|(voter, _)| last_write(voter)).collect();
        if is_before_end
            && writes
                .iter()
                .all(|write| write.as_ref().is_some_and(Write::spans_blocks))
        {
            record.line("all machines lose power");
            for process in fleet.processes() {
                process.kill();
            }
            for ((voter, _), write) in syncing.iter().zip(writes.into_iter().flatten()) {
                let (from, to, name) = (write.from, write.to, &voter.process.name);
                record.line(format!(
                    "{name} had written bytes {from} to {to} of its log, and not synced them"
                ));
                if is_torn {
                    write.tear().map_err(|e| e.to_string())?;
                }
            }
            return Ok(());
        }
        for process in fleet.processes() {
            process.signal(Process::CONTINUE);
        }
    }
    Err("no moment was found at which two processes were about to sync".into())
}

/// The bytes of a file that the last write has added.
struct Write {
    file: PathBuf,
    from: usize,
    to: usize,
}

impl Write {
    /// The end of the first block that it reaches into.
    fn first_block_end(&self) -> usize {
        (self.from / BLOCK_BYTES + 1) * BLOCK_BYTES
    }

    fn spans_blocks(&self) -> bool {
        self.to > self.first_block_end()
    }

    /// Leaves out its part of the first block, as if that had not reached the disk. The rest has.
    fn tear(&self) -> io::Result<()> {
        let mut bytes = fs::read(&self.file)?;
        bytes[self.from..self.first_block_end()].fill(0);
        fs::write(&self.file, bytes)
    }
}

/// The last frame of the log, which is one write.
fn last_write(voter: &Voter) -> Option<Write> {
    let file = voter.log().ok()?;
    let bytes = fs::read(&file).ok()?;
    let (mut from, mut to) = (0, 0);
    while to < bytes.len() {
        from = to;
        let length = bytes.get(from..from + 4)?.try_into().ok()?;
        let length = usize::try_from(u32::from_le_bytes(length)).ok()?;
        to = from + FRAME_HEADER_BYTES + length + FRAME_END_BYTES;
    }
    (to == bytes.len()).then_some(Write { file, from, to })
}

/// Starts the processes, and again each that ends, as the platform does.
fn keep_started(fleet: &Fleet, record: &Record, length: Duration) {
    let until = Instant::now() + length;
    record.line("the machines have power again");
    for process in fleet.processes() {
        let _ = process.start();
    }
    while Instant::now() < until {
        thread::sleep(RESTART_DELAY);
        for process in fleet.processes().filter(|process| process.has_ended()) {
            record.line(format!("{} ended by itself", process.name));
            let _ = process.start();
        }
    }
}

/// The rule CONFIG: read back at the end of the day, the configuration is older than the newest acknowledged version,
/// or doesn't come.
fn read_back(fleet: &Fleet, record: &Record, controls: &[SocketAddr], newest: u64) -> Verdict {
    let until = Instant::now() + ASKING;
    let mut answers = 0;
    while Instant::now() < until {
        for control in controls {
            let answer = http::call(*control, "GET", "/lovageplank/config", "");
            let status = answer.as_ref().map_or(0, http::Message::status);
            answers += 1;
            let version = answer
                .ok()
                .filter(|_| status == 200)
                .and_then(|answer| operator::version(&answer.text()));
            if let Some(version) = version {
                record.line(format!("{control} answers a read with version {version}"));
                let is_broken = version < newest;
                record.line(if is_broken {
                    "CONFIG is broken"
                } else {
                    "CONFIG held"
                });
                return if is_broken {
                    Verdict::Broken
                } else {
                    Verdict::Held
                };
            }
            if answers % 30 == 1 {
                record.line(format!("{control} answers a read with {status}"));
            }
        }
        for process in fleet.processes().filter(|process| process.has_ended()) {
            record.line(format!("{} ended by itself", process.name));
            let _ = process.start();
        }
        thread::sleep(Duration::from_millis(200));
    }
    for process in &fleet.controls {
        let reasons = process.log_lines("damaged");
        let reason = reasons
            .last()
            .map_or("no damage in its log", |reason| reason.trim());
        record.line(format!("{}: {reason}", process.name));
    }
    record.line(format!(
        "{answers} reads, and the configuration didn't come: CONFIG is broken"
    ));
    Verdict::Broken
}
