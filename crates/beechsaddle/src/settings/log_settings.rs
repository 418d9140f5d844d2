//! The `log_settings` module provides the `[log]` table.

use beechsaddle_core::report::LogLevel;

use crate::findings::{FindingList, TableReader};

/// The settings of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The lowest level that is logged.
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
    /// Reads the table. Absent keys have their defaults.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Self {
        let choices = [
            ("debug", LogLevel::Debug),
            ("info", LogLevel::Info),
            ("warning", LogLevel::Warning),
            ("error", LogLevel::Error),
        ];
        let level = reader.read_choice("level", &choices, findings);
        reader.finish(findings);
        LogSettings {
            level: level.unwrap_or(LogSettings::default().level),
        }
    }
}
