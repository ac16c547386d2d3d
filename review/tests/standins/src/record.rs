//! Provides the record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A `Record` is the file `record.txt` of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    /// Create the file. Its times are in milliseconds from now.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            started: Instant::now(),
        })
    }

    /// Add a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let millis = self.started.elapsed().as_secs_f64() * 1_000.0;
        let _ = writeln!(file, "{millis:10.1} {text}");
    }

    /// Write all lines to the file.
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
