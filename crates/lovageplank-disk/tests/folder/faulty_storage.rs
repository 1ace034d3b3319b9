//! A folder in memory whose disk fails as told.

use lovageplank_core::prelude::*;
use lovageplank_disk::Storage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::sync::{Mutex, MutexGuard};

/// A handle; clones share the disk.
#[derive(Clone, Default)]
pub struct FaultyStorage(Arc<Mutex<Disk>>);

#[derive(Default)]
pub struct Disk {
    /// Content by file, as running processes see it.
    files: BTreeMap<String, Arc<Mutex<File>>>,
    /// The names that a crash leaves.
    durable: BTreeMap<String, Arc<Mutex<File>>>,
    /// Bytes that fit on the disk.
    pub capacity: Option<usize>,
    /// Calls until the process dies.
    pub calls_before_crash: Option<usize>,
    pub fsync_fails: bool,
    pub calls: usize,
}

#[derive(Default)]
struct File {
    content: Vec<u8>,
    /// The content that a crash leaves for certain.
    durable: Vec<u8>,
}

impl FaultyStorage {
    pub fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().expect("no panic while locked")
    }

    /// The power fails: of what was not synced, a part that the seed chooses stays.
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

    /// A copy that shares nothing.
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
            // Truncated without a sync: the old content is back.
            self.content = self.durable.clone();
            return;
        }
        let unsynced = self.content.len() - self.durable.len();
        let kept = self.durable.len() + random.random_range(0..=unsynced);
        self.content.truncate(kept);
        if random.random_range(0..4) == 0 && kept > self.durable.len() {
            // The length was written, the last bytes were not.
            self.content[kept - 1] = 0;
            self.content.resize(kept + 40, 0);
        }
        self.durable = self.content.clone();
    }
}

impl Disk {
    fn count_call(&mut self) -> io::Result<()> {
        self.calls += 1;
        match &mut self.calls_before_crash {
            Some(0) => Err(io::Error::other("the process is dead")),
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
        // A process that dies in the middle of a write leaves a part of it.
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
        let length = usize::try_from(length).expect("small");
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
            return Err(io::Error::other("the device is gone"));
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
