//! The `load_plot` module provides the latency chart of a run.

use std::path::Path;

use eyre::eyre;
use hdrhistogram::Histogram;
use plotters::prelude::{
    BLUE, ChartBuilder, DrawingAreaErrorKind, DrawingBackend, GREEN, IntoDrawingArea, IntoLogRange,
    LineSeries, PathElement, RED, RGBColor, SVGBackend, WHITE,
};

use super::LoadOutcome;

/// The size of a chart in pixels.
const CHART_SIZE: (u32, u32) = (960, 540);

/// The highest quantile drawn. Beyond it a run of one minute has too few samples.
const LAST_QUANTILE: f64 = 0.9999;

/// Number of points of a curve.
const CURVE_POINTS: u32 = 200;

/// The lowest latency drawn, in milliseconds.
const LOWEST_MS: f64 = 0.1;

/// A curve: its label, its samples in microseconds and its colour.
type LatencyCurve<'a> = (&'static str, &'a Histogram<u64>, RGBColor);

/// Writes an SVG chart of the latencies of a run by quantile.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw_chart(outcome: &LoadOutcome, path: &Path) -> eyre::Result<()> {
    let tally = &outcome.tally;
    let curves = [
        ("to the first token", &tally.first, BLUE),
        ("to the whole answer", &tally.whole, RED),
        ("longest wait between tokens", &tally.gap, GREEN),
    ];
    // The errors of plotters borrow the path, so only their text can be returned.
    draw_curves(path, &curves).map_err(|error| eyre!("{}: {error}", path.display()))
}

fn draw_curves<'a>(
    path: &'a Path,
    curves: &[LatencyCurve<'_>],
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>> {
    let highest = curves.iter().map(|(_, samples, _)| samples.max()).max();
    let highest_ms = millis(highest.unwrap_or_default()).max(1.0);
    let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .caption(
            "Latency from the intended time of sending",
            ("sans-serif", 20),
        )
        .build_cartesian_2d(0.0..1.0, (LOWEST_MS..highest_ms).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("milliseconds")
        .draw()?;
    for (label, samples, colour) in curves {
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(curve_points(samples), colour))?
            .label(*label)
            .legend(move |(x, y)| legend_mark(x, y, colour));
    }
    chart.configure_series_labels().draw()?;
    root.present()
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
