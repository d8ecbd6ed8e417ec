//! The record of a case: what was sent, answered and run, with the time since the case began.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, begun: Instant::now(), lines: Arc::default() })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.begun.elapsed().as_secs_f64();
        // The verdict does not depend on the file.
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
        self.lines.lock().unwrap().push(text.to_owned());
    }

    /// Whether a line with all of these words was written.
    pub fn has(&self, words: &[&str]) -> bool {
        let lines = self.lines.lock().unwrap();
        lines.iter().any(|line| words.iter().all(|word| line.contains(word)))
    }

    /// Number of lines with all of these words.
    pub fn count(&self, words: &[&str]) -> usize {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|line| words.iter().all(|word| line.contains(word))).count()
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}
