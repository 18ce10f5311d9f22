//! What was sent, answered and run, written to `record.txt` in the case's folder.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run; clones share the file.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Starts the record in a folder.
    pub fn start(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Adds a line with its time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("a lock");
        let _ = writeln!(file, "{:8.3} s  {text}", self.seconds());
    }

    /// Adds a line and prints it.
    pub fn print(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().expect("a lock").flush();
    }
}
