//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A record in a file.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// A new record at a path.
    pub fn open(path: &Path) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        drop(self.file.lock().unwrap().write_all(line.as_bytes()));
    }
}
