//! The `routing_settings` module provides the `[routing]` table.

use crate::findings::{FindingList, TableReader};

/// The settings for probing and selecting targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingSettings {
    /// The interval at which a router probes a target.
    pub probe_ms: u64,
    /// The time limit of a probe.
    pub probe_timeout_ms: u64,
    /// The time limit for connecting to a target.
    pub connect_timeout_ms: u64,
    /// The maximum number of attempts of a repeatable call, including the first.
    pub attempts: u64,
    /// The maximum number of retries per hundred calls.
    pub retry_percent: u64,
    /// The smallest share of a service's targets that stays in use when others are ejected.
    pub floor_percent: u64,
    /// The duration of a target's first ejection.
    pub eject_ms: u64,
    /// How long a new target gets less than its share of calls.
    pub slow_start_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        RoutingSettings {
            probe_ms: 500,
            probe_timeout_ms: 1_000,
            connect_timeout_ms: 1_000,
            attempts: 3,
            retry_percent: 10,
            floor_percent: 50,
            eject_ms: 5_000,
            slow_start_ms: 10_000,
        }
    }
}

impl RoutingSettings {
    /// Reads the table. Absent keys have their defaults.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Self {
        let default = RoutingSettings::default();
        let settings = RoutingSettings {
            probe_ms: reader.read_u64_or("probe_ms", default.probe_ms, 50..=60_000, findings),
            probe_timeout_ms: reader.read_u64_or(
                "probe_timeout_ms",
                default.probe_timeout_ms,
                10..=60_000,
                findings,
            ),
            connect_timeout_ms: reader.read_u64_or(
                "connect_timeout_ms",
                default.connect_timeout_ms,
                10..=60_000,
                findings,
            ),
            attempts: reader.read_u64_or("attempts", default.attempts, 1..=10, findings),
            retry_percent: reader.read_u64_or(
                "retry_percent",
                default.retry_percent,
                0..=100,
                findings,
            ),
            floor_percent: reader.read_u64_or(
                "floor_percent",
                default.floor_percent,
                1..=100,
                findings,
            ),
            eject_ms: reader.read_u64_or("eject_ms", default.eject_ms, 100..=600_000, findings),
            slow_start_ms: reader.read_u64_or(
                "slow_start_ms",
                default.slow_start_ms,
                0..=600_000,
                findings,
            ),
        };
        reader.finish(findings);
        settings
    }
}
