//! The `log_sink` module provides the writer of log lines.

use std::io::{self, LineWriter};
use std::time::{SystemTime, UNIX_EPOCH};

use beechsaddle_core::report::{LogLevel, LogLine};
use slog::{BorrowedKV, Drain, Level, OwnedKVList, Record, RecordStatic, o};
use slog_logfmt::Logfmt;

use super::line_fields::LineFields;

pub(super) struct LogSink {
    drain: Logfmt<LineWriter<Box<dyn io::Write + Send>>>,
    values: OwnedKVList,
    level: LogLevel,
    router: String,
}

impl LogSink {
    /// Creates a sink that drops lines below a level.
    pub(super) fn new(writer: Box<dyn io::Write + Send>, level: LogLevel, router: String) -> Self {
        // The formatter writes each field separately. Without line buffering, the lines of two
        // processes that share one standard error would be interleaved.
        let drain = Logfmt::new(LineWriter::new(writer)).no_prefix().build();
        LogSink {
            drain,
            values: OwnedKVList::from(o!()),
            level,
            router,
        }
    }

    /// Writes a line. Errors are ignored, since there is no other place to report them.
    pub(super) fn write(&self, line: &LogLine) {
        if line.level < self.level {
            return;
        }
        let fields = LineFields {
            time_ms: now_ms(),
            router: &self.router,
            line,
        };
        let static_record = RecordStatic {
            location: &LOCATION,
            tag: "",
            level: slog_level(line.level),
        };
        let record_values = BorrowedKV(&fields);
        let _ = self.drain.log(
            &Record::new(&static_record, &format_args!(""), record_values),
            &self.values,
        );
    }
}

// The code location is not printed, since the name of the event is unique and more specific.
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
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
