//! Tests of the edge that writes logs and metrics.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::UdpSocket;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beechsaddle::report::{ReportEdge, ReportOptions};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::{CounterName, GaugeName, LogLevel, ReportAction};

#[derive(Clone, Default)]
struct SharedText(Arc<Mutex<Vec<u8>>>);

impl SharedText {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().expect("not poisoned").clone();
        let text = String::from_utf8(bytes).expect("lines are UTF-8");
        text.lines().map(str::to_owned).collect()
    }
}

impl Write for SharedText {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut text = self.0.lock().expect("not poisoned");
        text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// A log writer that blocks until it is released.
struct BlockedWriter {
    started: Sender<()>,
    release: Receiver<()>,
    text: SharedText,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.started.send(());
        let _ = self.release.recv();
        self.text.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn without_time(line: &str) -> &str {
    let (time, rest) = line.split_once(' ').expect("a line has fields");
    assert!(time.starts_with("ts="), "{line}");
    rest
}

#[test]
fn report_log_one_line_per_event() {
    let text = SharedText::default();
    let options = ReportOptions::new("host-a@1").with_writer(text.clone());
    let (handle, thread) = ReportEdge::try_start(options).expect("starts");
    handle.log(
        LogLevel::Info,
        "call_refused",
        [
            ("call", "host-a@1#7".to_owned()),
            ("reason", "two words\nand a line".to_owned()),
        ],
    );
    drop(handle);
    thread.join().expect("ends");
    let lines = text.lines();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(
        without_time(&lines[0]),
        "level=info router=host-a@1 event=call_refused call=\"host-a@1#7\" \
         reason=\"two words\\nand a line\""
    );
}

#[test]
fn report_log_drops_lines_below_the_level() {
    let text = SharedText::default();
    let mut options = ReportOptions::new("").with_writer(text.clone());
    options.level = LogLevel::Warning;
    let (handle, thread) = ReportEdge::try_start(options).expect("starts");
    handle.log(LogLevel::Info, "unheard", []);
    handle.log(LogLevel::Error, "heard", []);
    drop(handle);
    thread.join().expect("ends");
    let lines = text.lines();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(without_time(&lines[0]), "level=error event=heard");
}

// The log's reader is blocked, as with a full pipe. The router must continue: sending a line never
// blocks, lines that do not fit are dropped, and the log reports their number once it is read
// again.
#[test]
fn report_send_full_ring_logs_dropped_count() {
    let text = SharedText::default();
    let (started, first_write) = channel();
    let (unblock, release) = channel();
    let mut options = ReportOptions::new("").with_writer(BlockedWriter {
        started,
        release,
        text: text.clone(),
    });
    options.ring_size = 4;
    let (handle, thread) = ReportEdge::try_start(options).expect("starts");
    handle.log(LogLevel::Info, "first", []);
    first_write
        .recv_timeout(Duration::from_secs(5))
        .expect("the thread writes");
    for _ in 0..10 {
        handle.log(LogLevel::Info, "later", []);
    }
    drop(unblock);
    drop(handle);
    thread.join().expect("ends");
    let lines = text.lines();
    assert_eq!(lines.len(), 6, "{lines:?}");
    assert_eq!(
        without_time(&lines[5]),
        "level=warning event=reports_dropped count=6"
    );
}

#[test]
fn report_count_sums_reach_statsd() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("binds");
    server
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("sets");
    let mut options = ReportOptions::new("").with_writer(io::sink());
    options.statsd = Some(server.local_addr().expect("bound"));
    let (handle, thread) = ReportEdge::try_start(options).expect("starts");
    handle.count(CounterName::Refused(RefusalReason::BudgetExhausted));
    handle.count(CounterName::Refused(RefusalReason::BudgetExhausted));
    handle.send(ReportAction::Add {
        counter: CounterName::GrantsTaken,
        amount: 3,
    });
    handle.send(ReportAction::Gauge {
        gauge: GaugeName::OpenCalls,
        level: 5,
    });
    drop(handle);
    thread.join().expect("ends");
    let mut bytes = [0; 1_500];
    let size = server.recv(&mut bytes).expect("a packet comes");
    let packet = String::from_utf8_lossy(&bytes[..size]);
    let metrics: BTreeSet<&str> = packet.lines().collect();
    assert_eq!(
        metrics,
        BTreeSet::from([
            "beechsaddle.refused.budget_exhausted:2|c",
            "beechsaddle.grants_taken:3|c",
            "beechsaddle.open_calls:5|g",
        ])
    );
}

#[test]
fn counter_names_match_the_documentation() {
    let page = include_str!("../../../docs/METRICS.md");
    let documented: Vec<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .collect();
    let counters = CounterName::all().into_iter().map(CounterName::metric);
    let gauges = GaugeName::ALL.iter().map(|gauge| gauge.metric().to_owned());
    let expected: Vec<String> = counters.chain(gauges).collect();
    assert_eq!(documented, expected);
    let distinct: BTreeSet<&String> = expected.iter().collect();
    assert_eq!(distinct.len(), expected.len(), "two counters of one name");
}
