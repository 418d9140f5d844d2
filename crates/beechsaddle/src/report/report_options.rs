//! The `report_options` module provides where log lines and metrics go.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use beechsaddle_core::report::LogLevel;

/// How many lines and counts may wait. At the 33 calls a second that a router has at the planned
/// size, with some ten reports each, this is twelve seconds of a blocked log reader.
const RING_SIZE: usize = 4_096;

/// How often metrics are sent, in milliseconds. Counts are summed in between, so that their bytes
/// depend on how many counters move and not on how many calls there are.
const FLUSH_MS: u64 = 1_000;

/// Where log lines and metrics go.
pub struct ReportOptions {
    /// Lines that matter less are dropped.
    pub level: LogLevel,
    /// The StatsD server; `None` sends no metrics.
    pub statsd: Option<SocketAddr>,
    /// The first part of every metric's name.
    pub prefix: String,
    /// The router's name on each line; empty for none.
    pub router: String,
    /// How many lines and counts may wait to be written.
    pub ring_size: usize,
    /// How often metrics are sent, in milliseconds.
    pub flush_ms: u64,
    /// Where lines go.
    pub writer: Box<dyn io::Write + Send>,
}

impl ReportOptions {
    /// Lines of level info and above to standard error, and no metrics.
    pub fn new(router: impl Into<String>) -> Self {
        ReportOptions {
            level: LogLevel::Info,
            statsd: None,
            prefix: "beechsaddle".to_owned(),
            router: router.into(),
            ring_size: RING_SIZE,
            flush_ms: FLUSH_MS,
            writer: Box::new(io::stderr()),
        }
    }

    /// Sends lines elsewhere.
    #[must_use]
    pub fn with_writer(mut self, writer: impl io::Write + Send + 'static) -> Self {
        self.writer = Box::new(writer);
        self
    }
}

impl fmt::Debug for ReportOptions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ReportOptions")
            .field("level", &self.level)
            .field("statsd", &self.statsd)
            .field("router", &self.router)
            .finish_non_exhaustive()
    }
}
