//! A folder in memory on a simulated disk that fails as configured.

use lovageplank_core::prelude::*;
use lovageplank_disk::Storage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::sync::{Mutex, MutexGuard};

/// Bytes that the disk writes whole or not at all.
const SECTOR_BYTES: usize = 512;

/// Handle to a simulated disk; clones share it.
#[derive(Clone, Default)]
pub struct FaultyStorage(Arc<Mutex<Disk>>);

#[derive(Default)]
pub struct Disk {
    /// Files by name, as a running process reads them.
    files: BTreeMap<String, Arc<Mutex<File>>>,
    /// Files by name after a crash that loses all unsynced changes of the folder.
    durable: BTreeMap<String, Arc<Mutex<File>>>,
    /// Size of the disk in bytes; unlimited if `None`.
    pub capacity: Option<usize>,
    /// Number of calls that succeed before the process crashes; `None` for no crash.
    pub calls_before_crash: Option<usize>,
    pub fsync_fails: bool,
    pub calls: usize,
}

#[derive(Default)]
struct File {
    content: Vec<u8>,
    /// Content at the last sync, which survives a crash.
    durable: Vec<u8>,
}

impl FaultyStorage {
    pub fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().expect("no panic while locked")
    }

    /// Simulates a power failure; of the unsynced changes, a part chosen by the seed survives.
    pub fn crash(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut disk = self.disk();
        disk.calls_before_crash = None;
        if random.random() {
            disk.durable = disk.files.clone();
        }
        disk.files = disk.durable.clone();
        for file in disk.files.values() {
            file.lock()
                .expect("no panic while locked")
                .crash(&mut random);
        }
    }

    pub fn file_names(&self) -> Vec<String> {
        self.disk().files.keys().cloned().collect()
    }

    pub fn get(&self, file: &str) -> Vec<u8> {
        let disk = self.disk();
        let file = disk.files[file].lock().expect("no panic while locked");
        file.content.clone()
    }

    pub fn set(&self, name: &str, content: Vec<u8>) {
        let durable = content.clone();
        let file = Arc::new(Mutex::new(File { content, durable }));
        let mut disk = self.disk();
        disk.files.insert(name.to_owned(), Arc::clone(&file));
        disk.durable.insert(name.to_owned(), file);
    }

    /// An independent copy of the files, without the configured faults.
    pub fn copy(&self) -> FaultyStorage {
        let copy = FaultyStorage::default();
        for name in self.file_names() {
            copy.set(&name, self.get(&name));
        }
        copy
    }
}

impl File {
    fn crash(&mut self, random: &mut SmallRng) {
        if !self.content.starts_with(&self.durable) {
            // The file was truncated without a sync, so the synced content is restored.
            self.content = self.durable.clone();
            return;
        }
        let unsynced = self.content.len() - self.durable.len();
        let kept = self.durable.len() + random.random_range(0..=unsynced);
        self.content.truncate(kept);
        if random.random() {
            self.lose_sectors(random);
        }
        if random.random_range(0..4) == 0 && kept > self.durable.len() {
            // The new length reached the disk, but the last bytes did not.
            self.content[kept - 1] = 0;
            self.content.resize(kept + 40, 0);
        }
        self.durable = self.content.clone();
    }
}

impl File {
    /// Of what wasn't synced any sectors have not reached the disk, wherever the file ends.
    fn lose_sectors(&mut self, random: &mut SmallRng) {
        let mut from = self.durable.len();
        while from < self.content.len() {
            let to = ((from / SECTOR_BYTES + 1) * SECTOR_BYTES).min(self.content.len());
            if random.random() {
                self.content[from..to].fill(0);
            }
            from = to;
        }
    }
}

impl Disk {
    fn count_call(&mut self) -> io::Result<()> {
        self.calls += 1;
        match &mut self.calls_before_crash {
            Some(0) => Err(io::Error::other("the process has crashed")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn file(&self, file: &str) -> io::Result<Arc<Mutex<File>>> {
        self.files
            .get(file)
            .cloned()
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn used(&self) -> usize {
        let size =
            |file: &Arc<Mutex<File>>| file.lock().expect("no panic while locked").content.len();
        self.files.values().map(size).sum()
    }
}

impl Storage for FaultyStorage {
    fn lock(&mut self, _: &str) -> io::Result<bool> {
        self.disk().count_call()?;
        Ok(true)
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        self.disk().count_call()?;
        Ok(self.file_names())
    }

    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        let mut disk = self.disk();
        disk.count_call()?;
        let file = disk.file(file)?;
        let file = file.lock().expect("no panic while locked");
        Ok(file.content.clone())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        let alive = disk.count_call();
        let free_bytes = disk
            .capacity
            .map_or(usize::MAX, |all| all.saturating_sub(disk.used()));
        // A crash during a write leaves its first half.
        let written_before_crash = if alive.is_ok() {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        let written = written_before_crash.min(free_bytes);
        let file_content = Arc::clone(disk.files.entry(file.to_owned()).or_default());
        let mut file_content = file_content.lock().expect("no panic while locked");
        file_content.content.extend_from_slice(&bytes[..written]);
        alive?;
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_call()?;
        let file_content = Arc::clone(disk.files.entry(file.to_owned()).or_default());
        let length = usize::try_from(length).expect("fits the integer type");
        file_content
            .lock()
            .expect("no panic while locked")
            .content
            .truncate(length);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_call()?;
        if disk.fsync_fails {
            return Err(io::Error::other("the device is unavailable"));
        }
        let file = disk.file(file)?;
        let mut file = file.lock().expect("no panic while locked");
        let File { content, durable } = &mut *file;
        durable.clone_from(content);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_call()?;
        disk.durable = disk.files.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_call()?;
        let file = disk.file(from)?;
        disk.files.remove(from);
        disk.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_call()?;
        disk.file(file)?;
        disk.files.remove(file);
        Ok(())
    }
}
