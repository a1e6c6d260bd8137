//! The log-log plot of costs over the number of backends, as SVG.

use super::analysis::series;
use super::measure::{Measurements, Sweep};
use super::quantity::Quantity;
use crate::error::LabError;
use plotters::prelude::*;
use std::io;
use std::path::Path;

/// Width and height of the picture, pixels.
const PICTURE_SIZE: (u32, u32) = (960, 640);
/// Radius of a point, pixels.
const POINT_RADIUS: u32 = 3;
/// Room for the labels of the axes, pixels.
const LABEL_ROOM: u32 = 60;
/// Factors by which the axes reach beyond the curves.
const AXIS_MARGIN: f64 = 1.5;

/// The curves of the plot.
const PLOTTED: [Quantity; 7] = [
    Quantity::Request,
    Quantity::RequestEnd,
    Quantity::Entry,
    Quantity::EntryFromText,
    Quantity::ZoneDelta,
    Quantity::ListUnchanged,
    Quantity::ListUnchangedFromText,
];

/// One curve with its name.
struct Curve {
    label: &'static str,
    points: Vec<(f64, f64)>,
}

/// Draws the sweep over backends.
///
/// # Errors
/// [`LabError::Unwritable`] where the file can't be written.
pub fn write(path: &Path, measured: &Measurements) -> Result<(), LabError> {
    let points = measured
        .sweeps
        .get(&Sweep::Backends)
        .map_or(&[][..], Vec::as_slice);
    let curves: Vec<Curve> = PLOTTED
        .iter()
        .map(|&quantity| Curve {
            label: quantity.label(),
            points: series(Sweep::Backends, points, quantity)
                .into_iter()
                .filter(|&(_, cost)| cost > 0.0)
                .collect(),
        })
        .collect();
    draw(path, &curves).map_err(|error| LabError::Unwritable {
        path: path.to_owned(),
        source: io::Error::other(error.to_string()),
    })
}

fn draw(path: &Path, curves: &[Curve]) -> Result<(), Box<dyn std::error::Error>> {
    let backend = SVGBackend::new(path, PICTURE_SIZE);
    let area = backend.into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Processor time by number of backends", ("sans-serif", 20))
        .margin(15)
        .x_label_area_size(LABEL_ROOM)
        .y_label_area_size(LABEL_ROOM)
        .build_cartesian_2d(
            span(curves, |point| point.0).log_scale(),
            span(curves, |point| point.1).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("backends")
        .y_desc("nanoseconds")
        .draw()?;
    for (number, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart.draw_series(LineSeries::new(
            curve.points.iter().copied(),
            color.stroke_width(2),
        ))?;
        chart
            .draw_series(
                curve
                    .points
                    .iter()
                    .map(|&at| Circle::new(at, POINT_RADIUS, color.filled())),
            )?
            .label(curve.label)
            .legend(move |at| Circle::new(at, POINT_RADIUS, color.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// The range of an axis that holds all points.
fn span(curves: &[Curve], coordinate: impl Fn(&(f64, f64)) -> f64) -> std::ops::Range<f64> {
    let values: Vec<f64> = curves
        .iter()
        .flat_map(|curve| &curve.points)
        .map(coordinate)
        .collect();
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let greatest = values.iter().copied().fold(0.0, f64::max);
    if values.is_empty() {
        1.0..10.0
    } else {
        least / AXIS_MARGIN..greatest * AXIS_MARGIN
    }
}
