//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use crate::lock;

/// Writes lines with the time since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, replacing an earlier one.
    pub fn create(path: &str) -> Self {
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Self {
            began: Instant::now(),
            file: Mutex::new(file),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        // The verdict does not rest on the file.
        let _ = writeln!(lock(&self.file), "{at:8.3} {text}");
    }

    /// A line that is also printed.
    pub fn note(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

/// Ends the case with the status that says that it could not run. Processes end with their handles, so this is
/// only called before any was started, or by [`crate::node::Nodes::cannot_run`].
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}
