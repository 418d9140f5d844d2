//! The `log_book` module provides the lines of several routers' logs in the order of their times.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use super::LogEntry;

/// The lines of several logs.
#[derive(Clone, Debug, Default)]
pub struct LogBook {
    entries: Vec<LogEntry>,
    unreadable: u64,
}

impl LogBook {
    /// Adds a file's lines. A line that is none of a router's log is counted and passed over: logs are
    /// cut off where a process died, and collectors add their own.
    ///
    /// # Errors
    ///
    /// When the file cannot be read.
    pub fn try_add_file(&mut self, path: &Path) -> io::Result<()> {
        let mut reader = BufReader::new(File::open(path)?);
        let mut line = Vec::new();
        while reader.read_until(b'\n', &mut line)? > 0 {
            self.add_line(&String::from_utf8_lossy(&line));
            line.clear();
        }
        Ok(())
    }

    /// Adds a line.
    pub fn add_line(&mut self, line: &str) {
        if line.trim().is_empty() {
            return;
        }
        match LogEntry::read(line) {
            Some(entry) => self.entries.push(entry),
            None => self.unreadable += 1,
        }
    }

    /// Brings the lines into the order of their times; lines of one time stay as they were added.
    pub fn sort(&mut self) {
        self.entries.sort_by_key(|entry| entry.at_ms);
    }

    /// The lines.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// How many lines could not be read.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }
}
