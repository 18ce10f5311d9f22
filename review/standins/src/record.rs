//! The record of a run: what was sent, answered and run, with times.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let at = self.now_s();
        let mut file = self.file.lock().expect("a lock");
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("a lock").flush();
    }
}
