//! The `log_settings` module provides the `[log]` table.

use beechsaddle_core::report::LogLevel;

use crate::findings::{FindingList, TableReader};

/// What is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Lines that matter less are dropped.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            level: LogLevel::Info,
        }
    }
}

impl LogSettings {
    /// Reads the table; absent keys keep their defaults.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Self {
        let words = [
            ("debug", LogLevel::Debug),
            ("info", LogLevel::Info),
            ("warning", LogLevel::Warning),
            ("error", LogLevel::Error),
        ];
        let level = reader.read_word("level", &words, findings);
        reader.finish(findings);
        LogSettings {
            level: level.unwrap_or(LogSettings::default().level),
        }
    }
}
