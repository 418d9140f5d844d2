//! The `load_plot` module provides the chart of a run.

use std::path::Path;

use eyre::eyre;
use hdrhistogram::Histogram;
use plotters::prelude::{
    BLUE, ChartBuilder, GREEN, IntoDrawingArea, IntoLogRange, LineSeries, PathElement, RED,
    RGBColor, SVGBackend, WHITE,
};

use super::LoadOutcome;

/// The size of a chart in pixels.
const CHART_SIZE: (u32, u32) = (960, 540);

/// The last quantile drawn; beyond it a run of a minute has few samples.
const LAST_QUANTILE: f64 = 0.9999;

/// How many points a curve has.
const CURVE_POINTS: u32 = 200;

/// Draws the latencies of a run over their quantiles into an SVG file.
///
/// # Errors
///
/// When the file cannot be written.
pub fn draw_chart(outcome: &LoadOutcome, path: &Path) -> eyre::Result<()> {
    let tally = &outcome.tally;
    let curves = [
        ("to the first token", &tally.first, BLUE),
        ("to the whole answer", &tally.whole, RED),
        ("longest wait between tokens", &tally.gap, GREEN),
    ];
    let highest = millis(tally.whole.max().max(tally.first.max())).max(1.0);
    let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .caption(
            "Latency from the intended time of sending",
            ("sans-serif", 20),
        )
        .build_cartesian_2d(0.0..1.0, (0.1..highest).log_scale())
        .map_err(|error| eyre!("{error}"))?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("milliseconds")
        .draw()
        .map_err(|error| eyre!("{error}"))?;
    for (label, histogram, colour) in curves {
        let points = curve_points(histogram);
        chart
            .draw_series(LineSeries::new(points, colour))
            .map_err(|error| eyre!("{error}"))?
            .label(label)
            .legend(move |(x, y)| legend_mark(x, y, colour));
    }
    chart
        .configure_series_labels()
        .draw()
        .map_err(|error| eyre!("{error}"))?;
    root.present().map_err(|error| eyre!("{error}"))
}

fn curve_points(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    if histogram.is_empty() {
        return Vec::new();
    }
    (0..=CURVE_POINTS)
        .map(|step| LAST_QUANTILE * f64::from(step) / f64::from(CURVE_POINTS))
        .map(|quantile| (quantile, millis(histogram.value_at_quantile(quantile))))
        .collect()
}

fn legend_mark(x: i32, y: i32, colour: RGBColor) -> PathElement<(i32, i32)> {
    PathElement::new(vec![(x, y), (x + 16, y)], colour)
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
