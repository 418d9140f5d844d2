//! The `report_edge` module provides the thread that writes logs and metrics.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use beechsaddle_core::report::{CounterName, LogLevel, LogLine, ReportAction};
use crossbeam_channel::{Receiver, RecvTimeoutError};

use super::log_sink::LogSink;
use super::metric_sink::MetricSink;
use super::{ReportHandle, ReportOptions};

/// Writes logs and metrics on its own thread until the last handle is dropped.
pub struct ReportEdge {
    ring: Receiver<ReportAction>,
    dropped: Arc<AtomicU64>,
    log: LogSink,
    metrics: MetricSink,
    flush_interval: Duration,
}

impl ReportEdge {
    /// Starts the thread. It ends, with everything written, once all handles are dropped.
    ///
    /// # Errors
    ///
    /// If the socket for metrics or the thread cannot be created.
    pub fn try_start(options: ReportOptions) -> io::Result<(ReportHandle, JoinHandle<()>)> {
        let (handle, ring) = ReportHandle::with_ring(options.ring_size);
        let edge = ReportEdge {
            ring,
            dropped: handle.dropped(),
            log: LogSink::new(options.writer, options.level, options.router),
            metrics: MetricSink::try_new(options.statsd, &options.prefix)?,
            flush_interval: Duration::from_millis(options.flush_ms.max(1)),
        };
        let thread = Builder::new()
            .name("report".to_owned())
            .spawn(move || edge.run())?;
        Ok((handle, thread))
    }

    fn run(mut self) {
        let mut flush_at = Instant::now() + self.flush_interval;
        loop {
            match self.ring.recv_deadline(flush_at) {
                Ok(action) => self.handle(action),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            if Instant::now() >= flush_at {
                self.flush();
                flush_at = Instant::now() + self.flush_interval;
            }
        }
        self.flush();
    }

    fn handle(&mut self, action: ReportAction) {
        match action {
            ReportAction::Log(line) => self.log.write(&line),
            ReportAction::Count(counter) => self.metrics.add(counter, 1),
            ReportAction::Add { counter, amount } => self.metrics.add(counter, amount),
            ReportAction::Gauge { gauge, level } => self.metrics.set(gauge, level),
        }
    }

    fn flush(&mut self) {
        self.log_dropped();
        self.metrics.flush();
    }

    // A gap in the log would look like an idle router. The line with the number of dropped reports
    // is written by this thread directly and needs no slot in the full ring.
    fn log_dropped(&mut self) {
        let count = ReportHandle::take_dropped(&self.dropped);
        if count == 0 {
            return;
        }
        self.metrics.add(CounterName::RingFull, count);
        self.log.write(&LogLine {
            level: LogLevel::Warning,
            event: "reports_dropped",
            fields: vec![("count", count.to_string())],
        });
    }
}
