//! Measures commits per second, one by one and in batches, and the time to recover a log.
//!
//! ```text
//! cargo run --release -p lovageplank-disk --example commit_bench [FOLDER]
//! ```
//!
//! A single voter commits commands of 200 bytes to a data folder below `FOLDER`. The default is the
//! system's folder for temporary files, which may be in memory.

use lovageplank_core::consensus::{
    Config, Input, MemberInfo, Membership, Node, Output, SNAPSHOT_BYTES_MAX, StoredState,
};
use lovageplank_core::prelude::*;
use lovageplank_disk::Folder;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const COMMAND_BYTES: usize = 200;
const SINGLE_COMMITS: usize = 2_000;
const BATCH_COMMITS: usize = 20_000;
const BATCH_SIZES: [usize; 3] = [10, 100, 1_000];
const RECOVERED_ENTRIES: usize = 10_000;
const SNAPSHOT_BYTES: usize = SNAPSHOT_BYTES_MAX / 14;

struct Bench {
    node: Node,
    folder: Folder,
}

fn main() -> Result<(), Box<dyn Error>> {
    let parent = std::env::args_os().nth(1).map(PathBuf::from);
    let parent = parent.unwrap_or_else(std::env::temp_dir);
    let single = commit_rate(&parent, SINGLE_COMMITS, 1)?;
    println!("group=1 commits_per_s={single:.0}");
    for size in BATCH_SIZES {
        let rate = commit_rate(&parent, BATCH_COMMITS, size)?;
        let ratio = rate / single;
        println!("group={size} commits_per_s={rate:.0} ratio={ratio:.1}");
    }
    for snapshot in [false, true] {
        let (entries, time) = recovery_time(&parent, snapshot)?;
        let ms = time.as_secs_f64() * 1000.0;
        println!("recovery snapshot={snapshot} entries={entries} ms={ms:.1}");
    }
    Ok(())
}

fn commit_rate(parent: &Path, commits: usize, batch_size: usize) -> Result<f64, Box<dyn Error>> {
    let temporary = tempfile::tempdir_in(parent)?;
    let mut bench = Bench::open(temporary.path())?;
    let start = Instant::now();
    let mut applied = 0;
    while applied < commits {
        applied += bench.commit(batch_size)?;
    }
    Ok(f64::from(u32::try_from(applied)?) / start.elapsed().as_secs_f64())
}

fn recovery_time(parent: &Path, snapshot: bool) -> Result<(usize, Duration), Box<dyn Error>> {
    let temporary = tempfile::tempdir_in(parent)?;
    let mut bench = Bench::open(temporary.path())?;
    for _ in 0..RECOVERED_ENTRIES / 100 {
        bench.commit(100)?;
    }
    if snapshot {
        bench.snapshot()?;
    }
    drop(bench);
    let start = Instant::now();
    let (_, stored) = Folder::open(temporary.path())?;
    Ok((stored.entries.len(), start.elapsed()))
}

impl Bench {
    fn open(path: &Path) -> Result<Bench, Box<dyn Error>> {
        let (folder, stored): (Folder, StoredState) = Folder::open(path)?;
        let id = folder.id();
        let voters = Membership::default().with_voter(id, MemberInfo::new("bench", ""));
        let node = Node::new(Config::new(id, 1), stored, voters, 0);
        let mut bench = Bench { node, folder };
        bench.step(vec![Input::Tick])?;
        Ok(bench)
    }

    /// Steps the node with several inputs and makes its outputs durable as one batch. Returns the
    /// number of applied commands.
    fn step(&mut self, inputs: Vec<Input>) -> Result<usize, Box<dyn Error>> {
        let now = self.node.deadline();
        let mut outputs = Vec::new();
        for input in inputs {
            outputs.extend(self.node.step(now, input));
        }
        self.folder.stage(&outputs);
        self.folder.sync()?;
        let applied = |output: &&Output| matches!(output, Output::Apply(_));
        Ok(outputs.iter().filter(applied).count())
    }

    fn commit(&mut self, batch_size: usize) -> Result<usize, Box<dyn Error>> {
        let data = vec![7; COMMAND_BYTES];
        self.step(vec![Input::Propose { data }; batch_size])
    }

    fn snapshot(&mut self) -> Result<(), Box<dyn Error>> {
        let index = self.node.applied();
        let data = Arc::from(vec![7; SNAPSHOT_BYTES]);
        self.step(vec![Input::Snapshot { index, data }])?;
        Ok(())
    }
}
