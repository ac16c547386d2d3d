//! Provides the record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A `Record` is the record of a case, one line for each event.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        let span = at.saturating_duration_since(self.began).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{span:9.3} {text}");
    }

    /// Note a line that is also printed.
    pub fn conclude(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}
