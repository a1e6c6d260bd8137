//! Plots costs over the number of backends as an SVG file with logarithmic axes.

use super::analysis::curve::medians_by_size;
use super::measure::{Measurements, Sweep};
use super::quantity::Quantity;
use crate::error::LabError;
use plotters::prelude::*;
use std::io;
use std::path::Path;

/// Width and height of the picture, pixels.
const PICTURE_SIZE: (u32, u32) = (960, 640);
/// Radius of the circle that marks a point, pixels.
const POINT_RADIUS: u32 = 3;
/// Width of the line of a curve, pixels.
const LINE_WIDTH: u32 = 2;
/// Margin around the chart, pixels.
const PICTURE_MARGIN: u32 = 15;
/// Font family and size of the caption.
const CAPTION_FONT: (&str, u32) = ("sans-serif", 20);
/// Space for the labels of the axes, pixels.
const LABEL_SPACE: u32 = 60;
/// Factor by which an axis extends beyond its smallest and its largest value.
const AXIS_MARGIN: f64 = 1.5;

/// Quantities that are plotted, in the order of the legend.
const PLOTTED_QUANTITIES: [Quantity; 7] = [
    Quantity::Request,
    Quantity::RequestEnd,
    Quantity::Entry,
    Quantity::EntryFromText,
    Quantity::ZoneDelta,
    Quantity::ListUnchanged,
    Quantity::ListUnchangedFromText,
];

/// A chart with two logarithmic axes.
type LogChart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<LogCoord<f64>, LogCoord<f64>>>;

/// A curve of the plot and its label in the legend.
struct PlottedCurve {
    label: &'static str,
    /// Pairs (number of backends, cost in nanoseconds).
    points: Vec<(f64, f64)>,
}

/// Plots the sweep over backends to an SVG file.
///
/// # Errors
/// [`LabError::Unwritable`] if the file can't be written.
pub fn write(path: &Path, measurements: &Measurements) -> Result<(), LabError> {
    draw(path, &curves(measurements)).map_err(|error| LabError::Unwritable {
        path: path.to_owned(),
        source: io::Error::other(error.to_string()),
    })
}

fn curves(measurements: &Measurements) -> Vec<PlottedCurve> {
    let Some(points) = measurements.sweeps.get(&Sweep::Backends) else {
        return Vec::new();
    };
    let mut curves = Vec::new();
    for quantity in PLOTTED_QUANTITIES {
        let mut points = medians_by_size(Sweep::Backends, points, quantity);
        // A logarithmic axis can't show 0.
        points.retain(|&(_, cost)| cost > 0.0);
        curves.push(PlottedCurve {
            label: quantity.label(),
            points,
        });
    }
    curves
}

/// Draws the chart with its axes, curves and legend.
fn draw(path: &Path, curves: &[PlottedCurve]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PICTURE_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let backends_axis = axis_range(curves, |point| point.0);
    let cost_axis = axis_range(curves, |point| point.1);
    let mut chart = ChartBuilder::on(&area)
        .caption("Processor time by number of backends", CAPTION_FONT)
        .margin(PICTURE_MARGIN)
        .x_label_area_size(LABEL_SPACE)
        .y_label_area_size(LABEL_SPACE)
        .build_cartesian_2d(backends_axis.log_scale(), cost_axis.log_scale())?;
    chart
        .configure_mesh()
        .x_desc("backends")
        .y_desc("nanoseconds")
        .draw()?;
    for (number, curve) in curves.iter().enumerate() {
        draw_curve(&mut chart, curve, Palette99::pick(number).to_rgba())?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Draws the line and the points of a curve, and its entry in the legend.
fn draw_curve(
    chart: &mut LogChart<'_>,
    curve: &PlottedCurve,
    color: RGBAColor,
) -> Result<(), Box<dyn std::error::Error>> {
    let line = LineSeries::new(curve.points.iter().copied(), color.stroke_width(LINE_WIDTH));
    chart.draw_series(line)?;
    let circle = move |point| Circle::new(point, POINT_RADIUS, color.filled());
    chart
        .draw_series(curve.points.iter().copied().map(circle))?
        .label(curve.label)
        .legend(move |point| Circle::new(point, POINT_RADIUS, color.filled()));
    Ok(())
}

/// Returns the range of an axis that contains all points; 1 to 10 without points.
fn axis_range(
    curves: &[PlottedCurve],
    coordinate: impl Fn(&(f64, f64)) -> f64,
) -> std::ops::Range<f64> {
    let values: Vec<f64> = curves
        .iter()
        .flat_map(|curve| &curve.points)
        .map(coordinate)
        .collect();
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(0.0, f64::max);
    if values.is_empty() {
        1.0..10.0
    } else {
        min / AXIS_MARGIN..max * AXIS_MARGIN
    }
}
