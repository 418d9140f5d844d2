//! The `load_report` module provides the summary line of a run.

use hdrhistogram::Histogram;

use super::LoadOutcome;
use crate::key_values::KeyValues;

/// The reported quantiles, by label.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)];

/// Returns the counts and latencies of a run.
pub fn report_line(outcome: &LoadOutcome) -> KeyValues {
    let tally = &outcome.tally;
    let mut line = KeyValues::new()
        .with("sent", outcome.sent)
        .with("answered", tally.answered)
        .with("refused", tally.refusals());
    for (reason, count) in &tally.refused {
        line = line.with(format!("refused_{reason}"), count);
    }
    line.with("retried", tally.retried)
        .joined(quantile_pairs("first", &tally.first))
        .joined(quantile_pairs("whole", &tally.whole))
        .joined(quantile_pairs("gap", &tally.gap))
        .with_float("elapsed_s", outcome.elapsed.as_secs_f64())
        .with("lost", tally.lost)
        .with("crossed", tally.crossed)
        .with("short", tally.short)
}

fn quantile_pairs(name: &str, histogram: &Histogram<u64>) -> KeyValues {
    QUANTILES
        .iter()
        .fold(KeyValues::new(), |line, (label, quantile)| {
            let millis = histogram.value_at_quantile(*quantile) as f64 / 1_000.0;
            line.with_float(format!("{label}_{name}_ms"), millis)
        })
}
