//! The `report_options` module provides the options of the report edge.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use beechsaddle_core::report::LogLevel;

/// The capacity of the ring. At the 33 calls per second of a router at the planned size, with about
/// ten reports each, it covers twelve seconds of a blocked log reader.
const RING_SIZE: usize = 4_096;

/// The interval at which metrics are sent, in milliseconds. Counters are summed in between, so that
/// the traffic depends on the number of counters that change and not on the number of calls.
const FLUSH_MS: u64 = 1_000;

/// The options of the report edge.
pub struct ReportOptions {
    /// The lowest level that is logged.
    pub level: LogLevel,
    /// The address of the StatsD server, `None` to send no metrics.
    pub statsd: Option<SocketAddr>,
    /// The prefix of every metric's name.
    pub prefix: String,
    /// The router's name on each line, empty for none.
    pub router: String,
    /// The number of lines and counts that may wait to be written.
    pub ring_size: usize,
    /// The interval at which metrics are sent, in milliseconds.
    pub flush_ms: u64,
    /// The destination of log lines.
    pub writer: Box<dyn io::Write + Send>,
}

impl ReportOptions {
    /// Creates options that write lines of level info and above to standard error, and send no
    /// metrics.
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

    /// Sets the destination of log lines.
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
