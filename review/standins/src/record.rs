//! What was sent, answered and run, with times since the start.

use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The file that a run writes.
pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds a line.
    pub fn line(&self, text: impl Display) {
        let mut file = self.file.lock().expect("not poisoned");
        // A record that can't be written shows as an incomplete one.
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
        let _ = file.flush();
    }
}
