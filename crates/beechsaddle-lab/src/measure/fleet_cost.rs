//! The `fleet_cost` module provides the resource usage of a running fleet over a time span.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::{ProcessCost, SlopeFit};
use crate::fleet::LabFleet;
use crate::key_values::KeyValues;
use crate::load::PlatformReader;
use crate::stand_in::platform::PlatformCounters;

/// The cost of a fleet: means over its routers, and platform calls and bytes per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetCost {
    /// Processor time of a router, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory of a router, in kibibytes.
    pub rss_kib: f64,
    /// Writes and deletes at the platform, per second.
    pub writes: f64,
    /// Reads, lists and watches at the platform, per second.
    pub reads: f64,
    /// Bytes of request and response bodies at the platform, per second.
    pub bytes: f64,
}

/// The size of a fleet in one dimension, and its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostPoint {
    /// The size in the dimension that is varied.
    pub x: f64,
    /// The cost at this size.
    pub cost: FleetCost,
}

/// Usage counters at one moment.
#[derive(Clone, Debug)]
pub struct CostReading {
    time: Instant,
    routers: Vec<ProcessCost>,
    platform: PlatformCounters,
}

impl CostReading {
    /// Reads the counters of all routers and of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn take(fleet: &LabFleet) -> eyre::Result<Self> {
        let platform = PlatformReader::new(fleet.platform().to_string());
        let processes = fleet.routers().values();
        let processes = processes.filter_map(|router| router.process.as_ref());
        Ok(CostReading {
            time: Instant::now(),
            routers: processes
                .filter_map(|process| ProcessCost::read(process.id()))
                .collect(),
            platform: platform.read_json("/counters").await?,
        })
    }

    /// Returns the cost since an earlier reading.
    pub fn since(&self, earlier: &CostReading) -> FleetCost {
        let seconds = (self.time - earlier.time).as_secs_f64();
        let routers = self.routers.len().max(1) as f64;
        let cpu_s: f64 = self
            .routers
            .iter()
            .zip(&earlier.routers)
            .map(|(after, before)| after.cpu_since(*before))
            .sum();
        let rss: u64 = self.routers.iter().map(|cost| cost.rss_kib).sum();
        let grown = |count: fn(&PlatformCounters) -> u64| {
            (count(&self.platform) - count(&earlier.platform)) as f64 / seconds
        };
        FleetCost {
            cpu_percent: 100.0 * cpu_s / seconds / routers,
            rss_kib: rss as f64 / routers,
            writes: grown(|counters| counters.writes + counters.deletes),
            reads: grown(|counters| counters.reads + counters.lists + counters.watches),
            bytes: grown(|counters| counters.bytes_in + counters.bytes_out),
        }
    }
}

impl FleetCost {
    /// Measures a fleet for a time span.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn over(fleet: &LabFleet, span: Duration) -> eyre::Result<Self> {
        let before = CostReading::take(fleet).await?;
        sleep(span).await;
        Ok(CostReading::take(fleet).await?.since(&before))
    }

    fn pairs(&self) -> KeyValues {
        KeyValues::new()
            .with_float("cpu_percent", self.cpu_percent)
            .with_float("rss_kib", self.rss_kib)
            .with_float("platform_writes_s", self.writes)
            .with_float("platform_reads_s", self.reads)
            .with_float("platform_bytes_s", self.bytes)
    }
}

/// The name of a cost and its accessor.
type CostPart = (&'static str, fn(&FleetCost) -> f64);

/// Returns a line for each point, and a linear fit of each cost by `per`.
pub fn cost_lines(per: &str, points: &[CostPoint]) -> Vec<KeyValues> {
    let costs: [CostPart; 5] = [
        ("cpu_percent", |cost| cost.cpu_percent),
        ("rss_kib", |cost| cost.rss_kib),
        ("platform_writes_s", |cost| cost.writes),
        ("platform_reads_s", |cost| cost.reads),
        ("platform_bytes_s", |cost| cost.bytes),
    ];
    let lines = points.iter().map(|point| {
        KeyValues::new()
            .with(per, point.x)
            .joined(point.cost.pairs())
    });
    let fits = costs.into_iter().filter_map(|(unit, value)| {
        let points: Vec<(f64, f64)> = points
            .iter()
            .map(|point| (point.x, value(&point.cost)))
            .collect();
        Some(SlopeFit::of(&points)?.pairs(unit, per))
    });
    lines.chain(fits).collect()
}
