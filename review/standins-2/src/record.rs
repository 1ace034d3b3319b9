//! What was sent, answered and run, with the time of each.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("create the record")),
        }
    }

    pub fn at(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.at().as_secs_f64();
        let mut file = self.file.lock().expect("no panic while it is held");
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }

    /// A line that is printed, too.
    pub fn say(&self, text: &str) {
        println!("{:8.3} s  {text}", self.at().as_secs_f64());
        self.line(text);
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
