//! The `metric_settings` module provides the `[metrics]` table.

use std::net::SocketAddr;

use crate::findings::{FindingList, TableReader};

/// Where metrics go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricSettings {
    /// The StatsD server; `None` sends no metrics.
    pub statsd: Option<SocketAddr>,
    /// The first part of every metric's name.
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
    /// Reads the table; absent keys keep their defaults.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Self {
        let default = MetricSettings::default();
        let statsd = reader.read_address("statsd", findings);
        let prefix = match reader.has("prefix") {
            true => reader.need_name("prefix", findings),
            false => reader.read_text("prefix", findings),
        };
        reader.finish(findings);
        MetricSettings {
            statsd,
            prefix: prefix.unwrap_or(default.prefix),
        }
    }
}
