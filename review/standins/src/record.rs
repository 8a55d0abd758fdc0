//! The record of a case: what was sent, answered and run.

use std::{fs, io, io::Write as _, path, sync::Mutex, time};

/// File with one line for each event, with seconds since the start of the case.
pub struct Record {
    file: Mutex<fs::File>,
    started: time::Instant,
}

impl Record {
    /// Creates the file anew.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn create(path: &path::Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(fs::File::create(path)?),
            started: time::Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panicked");
        writeln!(file, "{at:8.3} {text}").expect("the record is written");
    }
}
