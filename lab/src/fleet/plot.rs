//! Plots of the time series of a run, as an SVG file.

use super::report::{FleetReport, PolicyReport, TimeSeriesSecond};
use crate::error::LabError;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::io;
use std::path::Path;

/// Width and height of the image, pixels.
const SIZE: (u32, u32) = (900, 900);
/// Margin around each chart, pixels.
const MARGIN: u32 = 8;
/// Space for the labels of the vertical axis, pixels.
const LABEL_SPACE: u32 = 60;
/// Family and size of the font of titles.
const TITLE_FONT: (&str, u32) = ("sans-serif", 16);
/// Length of a policy's line in the legend, pixels.
const LEGEND_LENGTH: i32 = 16;
/// End of the vertical axis as a multiple of the greatest value.
const HEADROOM_FACTOR: f64 = 1.05;
/// Colors of the policies, in their order.
const COLORS: [RGBColor; 3] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A chart of one value of each second.
struct Chart {
    title: &'static str,
    /// Returns the plotted value of one second of the time series.
    value: fn(&TimeSeriesSecond) -> f64,
}

const CHARTS: [Chart; 3] = [
    Chart {
        title: "Answered within the latency objective, part of the calls made in that second",
        value: within_objective,
    },
    Chart {
        title: "Rejected, failed or timed out, part of the calls",
        value: not_served,
    },
    Chart {
        title: "Latency, 99th percentile, ms",
        value: |second| second.p99_ms,
    },
];

/// Returns a number of calls as a fraction of the calls made in a second.
fn fraction(count: u64, second: &TimeSeriesSecond) -> f64 {
    count as f64 / second.calls.offered.max(1) as f64
}

fn within_objective(second: &TimeSeriesSecond) -> f64 {
    fraction(second.calls.within_objective, second)
}

fn not_served(second: &TimeSeriesSecond) -> f64 {
    fraction(
        second.calls.rejected + second.calls.failed + second.calls.timed_out,
        second,
    )
}

/// Draws the time series of all policies to an SVG file.
///
/// # Errors
/// [`LabError::Unwritable`] if the file can't be written.
pub fn draw(report: &FleetReport, path: &Path) -> Result<(), LabError> {
    let unwritable = |error: Box<dyn Error>| LabError::Unwritable {
        path: path.to_owned(),
        source: io::Error::other(error.to_string()),
    };
    draw_charts(report, path).map_err(unwritable)
}

fn draw_charts(report: &FleetReport, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, chart) in root.split_evenly((CHARTS.len(), 1)).iter().zip(&CHARTS) {
        draw_chart(area, chart, &report.policies)?;
    }
    root.present()?;
    Ok(())
}

/// Returns the points of a policy's line: the value of each second, at the middle of the second.
fn points(report: &PolicyReport, chart: &Chart) -> impl Iterator<Item = (f64, f64)> {
    report
        .seconds
        .iter()
        .map(|second| (second.second as f64 + 0.5, (chart.value)(second)))
}

fn draw_chart(
    area: &Area<'_>,
    chart: &Chart,
    reports: &[PolicyReport],
) -> Result<(), Box<dyn Error>> {
    let seconds = reports
        .iter()
        .map(|report| report.seconds.len())
        .max()
        .unwrap_or_default();
    let values = reports
        .iter()
        .flat_map(|report| &report.seconds)
        .map(chart.value);
    // The range of an axis must not be empty, even if all values are 0.
    let greatest = values.fold(0.0_f64, f64::max).max(f64::EPSILON);
    let mut context = ChartBuilder::on(area)
        .margin(MARGIN)
        .caption(chart.title, TITLE_FONT)
        .x_label_area_size(LABEL_SPACE / 2)
        .y_label_area_size(LABEL_SPACE)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..greatest * HEADROOM_FACTOR)?;
    context.configure_mesh().x_desc("s").draw()?;
    for (report, color) in reports.iter().zip(COLORS.iter().cycle()) {
        let style = color.stroke_width(2);
        let line = context.draw_series(LineSeries::new(points(report, chart), style))?;
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + LEGEND_LENGTH, y)], style);
        line.label(report.policy.clone()).legend(legend);
    }
    context
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
