//! The `log_index` module provides the lines of several routers' logs, ordered by time.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use super::LogEntry;

/// The parsed lines of several logs.
#[derive(Clone, Debug, Default)]
pub struct LogIndex {
    entries: Vec<LogEntry>,
    unreadable: u64,
}

impl LogIndex {
    /// Adds the lines of a file. Lines that are not in a router's format are counted and skipped:
    /// logs are truncated where a process died, and collectors add lines of their own.
    ///
    /// # Errors
    ///
    /// If the file cannot be read.
    pub fn try_add_file(&mut self, path: &Path) -> io::Result<()> {
        let mut reader = BufReader::new(File::open(path)?);
        let mut line = Vec::new();
        while reader.read_until(b'\n', &mut line)? > 0 {
            self.add_line(&String::from_utf8_lossy(&line));
            line.clear();
        }
        Ok(())
    }

    pub fn add_line(&mut self, line: &str) {
        if line.trim().is_empty() {
            return;
        }
        match LogEntry::read(line) {
            Some(entry) => self.entries.push(entry),
            None => self.unreadable += 1,
        }
    }

    /// Sorts the lines by time. Lines with the same time keep their order.
    pub fn sort(&mut self) {
        self.entries.sort_by_key(|entry| entry.at_ms);
    }

    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Returns the number of lines that could not be parsed.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }
}
