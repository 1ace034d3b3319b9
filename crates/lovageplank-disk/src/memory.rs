//! Storage that doesn't outlive its process.

use crate::storage::Storage;
use std::collections::BTreeMap;
use std::io;

/// Files in memory, for a node that never votes and so needs no durable state.
#[derive(Debug, Default)]
pub struct MemoryStorage(BTreeMap<String, Vec<u8>>);

impl MemoryStorage {
    fn file(&mut self, file: &str) -> io::Result<&mut Vec<u8>> {
        self.0
            .get_mut(file)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Storage for MemoryStorage {
    fn lock(&mut self, _: &str) -> io::Result<bool> {
        Ok(true)
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.0.keys().cloned().collect())
    }

    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        self.file(file).cloned()
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let content = self.0.entry(file.to_owned()).or_default();
        content.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        let length = usize::try_from(length).map_err(io::Error::other)?;
        self.0.entry(file.to_owned()).or_default().resize(length, 0);
        Ok(())
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let content = std::mem::take(self.file(from)?);
        self.0.remove(from);
        self.0.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.file(file)?;
        self.0.remove(file);
        Ok(())
    }
}
