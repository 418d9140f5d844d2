//! The `log_sink` module provides the writer of log lines.

use std::io::{self, LineWriter};
use std::time::{SystemTime, UNIX_EPOCH};

use beechsaddle_core::report::{LogLevel, LogLine};
use slog::{BorrowedKV, Drain, Level, OwnedKVList, Record, RecordStatic, o};
use slog_logfmt::Logfmt;

use super::line_fields::LineFields;

/// Writes log lines.
pub(super) struct LogSink {
    drain: Logfmt<LineWriter<Box<dyn io::Write + Send>>>,
    values: OwnedKVList,
    level: LogLevel,
    router: String,
}

impl LogSink {
    /// A sink that drops lines below a level.
    pub(super) fn new(writer: Box<dyn io::Write + Send>, level: LogLevel, router: String) -> Self {
        // The formatter writes each field by itself. Without a buffer for the line, two processes
        // that share one standard error would mix their lines.
        let drain = Logfmt::new(LineWriter::new(writer)).no_prefix().build();
        LogSink {
            drain,
            values: OwnedKVList::from(o!()),
            level,
            router,
        }
    }

    /// Writes a line. A line that cannot be written is lost: there is nowhere else to tell of it.
    pub(super) fn write(&self, line: &LogLine) {
        if line.level < self.level {
            return;
        }
        let fields = LineFields {
            time_ms: now_ms(),
            router: &self.router,
            line,
        };
        let place = RecordStatic {
            location: &LOCATION,
            tag: "",
            level: slog_level(line.level),
        };
        let record_values = BorrowedKV(&fields);
        let _ = self.drain.log(
            &Record::new(&place, &format_args!(""), record_values),
            &self.values,
        );
    }
}

// The place in the code is not printed; an event's name is unique and says more.
static LOCATION: slog::RecordLocation = slog::RecordLocation {
    file: file!(),
    line: 0,
    column: 0,
    function: "",
    module: module_path!(),
};

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}

fn now_ms() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH);
    span.map_or(0, |span| span.as_millis() as u64)
}
