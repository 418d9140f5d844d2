//! The `metric_settings` module provides the `[metrics]` table.

use std::net::SocketAddr;

use crate::findings::{FindingList, TableReader};

/// The destination and prefix of metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricSettings {
    /// The address of the StatsD server, `None` to send no metrics.
    pub statsd: Option<SocketAddr>,
    /// The prefix of every metric's name.
    pub prefix: String,
}

impl Default for MetricSettings {
    fn default() -> Self {
        MetricSettings {
            statsd: None,
            prefix: "beechsaddle".to_string(),
        }
    }
}

impl MetricSettings {
    /// Reads the table. Absent keys have their defaults.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Self {
        let default = MetricSettings::default();
        let statsd = reader.read_address("statsd", findings);
        let prefix = match reader.has("prefix") {
            true => reader.require_name("prefix", findings),
            false => reader.read_text("prefix", findings),
        };
        reader.finish(findings);
        MetricSettings {
            statsd,
            prefix: prefix.unwrap_or(default.prefix),
        }
    }
}
