//! The record of a case: one line for each thing sent, answered or run, with its time.

use parking_lot::Mutex;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

/// Writes lines with the milliseconds since the start of the case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let _ = self.file.lock().write_all(line.as_bytes());
    }
}
