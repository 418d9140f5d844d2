//! The `loss_plot` module provides a plot of lost and late calls over time.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::LossReport;

/// The size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 360);

/// Draws the calls, lost calls and late calls of each second as an SVG file.
///
/// # Errors
///
/// If the file cannot be written.
pub fn plot_losses(report: &LossReport, path: &Path) -> Result<()> {
    let seconds = report.seconds();
    let first = seconds.keys().next().copied().unwrap_or(0);
    let last = seconds.keys().next_back().copied().unwrap_or(0);
    let max_calls = seconds.values().map(|sum| sum.calls).max().unwrap_or(0);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .caption(
            "calls a second: all, lost (red), late (orange)",
            ("sans-serif", 16),
        )
        .build_cartesian_2d(0..(last - first + 1), 0..(max_calls + 1))
        .map_err(|error| eyre!("{error}"))?;
    let mesh = chart.configure_mesh().x_desc("seconds").draw();
    mesh.map_err(|error| eyre!("{error}"))?;
    let lines = [
        (
            BLACK,
            seconds
                .iter()
                .map(|(at, sum)| (at - first, sum.calls))
                .collect::<Vec<_>>(),
        ),
        (
            RED,
            seconds
                .iter()
                .map(|(at, sum)| (at - first, sum.lost))
                .collect(),
        ),
        (
            RGBColor(230, 140, 0),
            seconds
                .iter()
                .map(|(at, sum)| (at - first, sum.late))
                .collect(),
        ),
    ];
    for (color, points) in lines {
        chart
            .draw_series(LineSeries::new(points, &color))
            .map_err(|error| eyre!("{error}"))?;
    }
    area.present().map_err(|error| eyre!("{error}"))
}
