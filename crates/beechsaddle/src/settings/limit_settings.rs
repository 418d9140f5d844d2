//! The `limit_settings` module provides the `[limits]` table.

use crate::findings::{FindingList, TableReader};

/// The limits that a router sets for its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The largest request head, in bytes.
    pub header_bytes: u64,
    /// The time limit for receiving the head of a request.
    pub header_timeout_ms: u64,
    /// The time limit for receiving the body of a request.
    pub body_timeout_ms: u64,
    /// How long a connection without a request stays open.
    pub idle_timeout_ms: u64,
    /// How long a caller may leave a response unread before its call is cancelled.
    pub write_timeout_ms: u64,
    /// The maximum number of caller connections at a time.
    pub connections: u64,
    /// The maximum number of calls at a time.
    pub calls: u64,
    /// How long a graceful shutdown waits for open calls.
    pub drain_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            body_bytes: 4_194_304,
            header_bytes: 32_768,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            idle_timeout_ms: 60_000,
            write_timeout_ms: 60_000,
            connections: 4_096,
            calls: 2_048,
            drain_ms: 900_000,
        }
    }
}

impl LimitSettings {
    /// Reads the table. Absent keys have their defaults.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Self {
        let default = LimitSettings::default();
        let settings = LimitSettings {
            body_bytes: reader.read_u64_or(
                "body_bytes",
                default.body_bytes,
                1_024..=67_108_864,
                findings,
            ),
            header_bytes: reader.read_u64_or(
                "header_bytes",
                default.header_bytes,
                1_024..=1_048_576,
                findings,
            ),
            header_timeout_ms: read_duration(
                reader,
                "header_timeout_ms",
                default.header_timeout_ms,
                findings,
            ),
            body_timeout_ms: read_duration(
                reader,
                "body_timeout_ms",
                default.body_timeout_ms,
                findings,
            ),
            idle_timeout_ms: read_duration(
                reader,
                "idle_timeout_ms",
                default.idle_timeout_ms,
                findings,
            ),
            write_timeout_ms: read_duration(
                reader,
                "write_timeout_ms",
                default.write_timeout_ms,
                findings,
            ),
            connections: reader.read_u64_or(
                "connections",
                default.connections,
                1..=1_000_000,
                findings,
            ),
            calls: reader.read_u64_or("calls", default.calls, 1..=1_000_000, findings),
            drain_ms: read_duration(reader, "drain_ms", default.drain_ms, findings),
        };
        reader.finish(findings);
        settings
    }
}

/// The longest time limit: one day.
const DURATION_MAX_MS: u64 = 86_400_000;

fn read_duration(
    reader: &TableReader<'_>,
    key: &str,
    default: u64,
    findings: &mut FindingList,
) -> u64 {
    reader.read_u64_or(key, default, 100..=DURATION_MAX_MS, findings)
}
