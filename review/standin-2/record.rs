//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to a file and to standard output.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file, and replaces an earlier one.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Writes a line to the file and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.note(text);
    }

    /// Writes a line to the file only.
    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            // A record that can't be written shows as one that ends early.
            let _ = writeln!(file, "{at:8.3} {text}");
            let _ = file.flush();
        }
    }
}
