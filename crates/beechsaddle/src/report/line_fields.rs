//! The `line_fields` module provides the keys and values of a log line.

use beechsaddle_core::report::{LogLevel, LogLine};
use slog::{KV, Record, Serializer};

/// The keys and values of a log line, in the order in which they are written.
pub(super) struct LineFields<'a> {
    /// The time, in milliseconds since the Unix epoch.
    pub(super) time_ms: u64,
    /// The router that logs, empty for none.
    pub(super) router: &'a str,
    /// The event and its fields.
    pub(super) line: &'a LogLine,
}

impl KV for LineFields<'_> {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u64("ts", self.time_ms)?;
        serializer.emit_str("level", level_name(self.line.level))?;
        if !self.router.is_empty() {
            serializer.emit_str("router", self.router)?;
        }
        serializer.emit_str("event", self.line.event)?;
        for (key, value) in &self.line.fields {
            serializer.emit_str(key, value)?;
        }
        Ok(())
    }
}

fn level_name(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Debug => "debug",
        LogLevel::Info => "info",
        LogLevel::Warning => "warning",
        LogLevel::Error => "error",
    }
}
