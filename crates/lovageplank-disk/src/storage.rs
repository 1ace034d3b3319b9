//! Access to the files of a data folder.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder of files without subfolders. [`Directory`] is the implementation on the file system;
/// tests use others to inject faults.
pub trait Storage: Send {
    /// Locks the folder exclusively until the storage is dropped. Returns false if another process
    /// has locked it.
    fn lock(&mut self, file: &str) -> io::Result<bool>;
    /// Names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// The whole content of a file.
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it is missing. After an error a part of the bytes may
    /// have been written.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length in bytes; creates an empty file if it is missing.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, file: &str) -> io::Result<()>;
    /// Makes creations, renames and removals durable.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file; replaces a file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}

/// A folder on the file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    lock: Option<File>,
    /// Files open for appending.
    open: BTreeMap<String, File>,
}

impl Directory {
    /// Returns the folder at a path and creates it if it is missing.
    pub fn new(path: impl Into<PathBuf>) -> io::Result<Directory> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        // The parent's directory entry for a new folder must be durable, too.
        let parent = match path.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => parent,
            _ => Path::new("."),
        };
        File::open(parent)?.sync_all()?;
        Ok(Directory {
            path,
            lock: None,
            open: BTreeMap::new(),
        })
    }

    fn appender(&mut self, file: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(file) {
            let opened = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(file))?;
            self.open.insert(file.to_owned(), opened);
        }
        self.open
            .get_mut(file)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Storage for Directory {
    fn lock(&mut self, file: &str) -> io::Result<bool> {
        let opened = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.path.join(file))?;
        match opened.try_lock() {
            Ok(()) => {
                self.lock = Some(opened);
                Ok(true)
            }
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(file))
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.appender(file)?.write_all(bytes)
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.appender(file)?.set_len(length)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.appender(file)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.open.remove(file);
        fs::remove_file(self.path.join(file))
    }
}
