//! The record file: what was sent, answered and run, with the seconds since the start of the run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record file can't be created");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} {text}");
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.seconds(Instant::now()));
        self.line(text);
    }
}
