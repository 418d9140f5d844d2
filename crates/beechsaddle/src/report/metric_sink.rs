//! The `metric_sink` module provides the aggregation of counters and their sending to a StatsD
//! server.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use beechsaddle_core::report::{CounterName, GaugeName};
use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};

/// Aggregates counters and sends them on each flush.
pub(super) struct MetricSink {
    client: Option<StatsdClient>,
    counts: BTreeMap<CounterName, u64>,
    levels: BTreeMap<GaugeName, u64>,
}

impl MetricSink {
    /// Creates a sink that sends to a server, or drops all metrics if there is none.
    pub(super) fn try_new(statsd: Option<SocketAddr>, prefix: &str) -> io::Result<Self> {
        let client = match statsd {
            Some(address) => Some(connect(address, prefix)?),
            None => None,
        };
        Ok(MetricSink {
            client,
            counts: BTreeMap::new(),
            levels: BTreeMap::new(),
        })
    }

    pub(super) fn add(&mut self, counter: CounterName, amount: u64) {
        if self.client.is_none() {
            return;
        }
        let sum = self.counts.entry(counter).or_default();
        *sum = sum.saturating_add(amount);
    }

    pub(super) fn set(&mut self, gauge: GaugeName, level: u64) {
        if self.client.is_some() {
            self.levels.insert(gauge, level);
        }
    }

    /// Sends the counters and gauges that changed. Send errors are ignored, since UDP may lose
    /// packets anyway.
    pub(super) fn flush(&mut self) {
        let Some(client) = &self.client else {
            return;
        };
        for (counter, sum) in std::mem::take(&mut self.counts) {
            let _ = client.count(&counter.metric(), sum);
        }
        for (gauge, level) in std::mem::take(&mut self.levels) {
            let _ = client.gauge(gauge.metric(), level);
        }
        let _ = client.flush();
    }
}

fn connect(address: SocketAddr, prefix: &str) -> io::Result<StatsdClient> {
    let any: IpAddr = match address {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = UdpSocket::bind((any, 0))?;
    // A full socket buffer must drop metrics instead of blocking the log.
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(prefix, sink))
}
