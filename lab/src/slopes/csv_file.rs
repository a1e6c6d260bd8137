//! Writes the CSV file: one row for each quantity at each measured size.

use super::measure::{Measurements, Point};
use super::quantity::Unit;
use crate::error::LabError;
use serde::Serialize;
use std::path::Path;

/// A row of the CSV file; the field names are its column titles.
#[derive(Serialize)]
struct Row {
    sweep: String,
    backends: u32,
    proxies: u32,
    tenants: u32,
    classes: u32,
    requests_per_second: f64,
    quantity: String,
    unit: Unit,
    median: f64,
    #[serde(rename = "least")]
    min: f64,
    #[serde(rename = "greatest")]
    max: f64,
}

/// Writes the CSV file: the figures at all points of the sweeps and at the target.
///
/// # Errors
/// [`LabError::Unwritable`] if the file can't be written.
pub fn write(path: &Path, measurements: &Measurements) -> Result<(), LabError> {
    let unwritable = |source| LabError::Unwritable {
        path: path.to_owned(),
        source,
    };
    let mut writer = csv::Writer::from_path(path).map_err(|error| unwritable(error.into()))?;
    for row in rows(measurements) {
        writer
            .serialize(row)
            .map_err(|error| unwritable(error.into()))?;
    }
    writer.flush().map_err(unwritable)
}

fn rows(measurements: &Measurements) -> Vec<Row> {
    let mut rows = Vec::new();
    for (sweep, points) in &measurements.sweeps {
        let name = format!("{sweep:?}").to_lowercase();
        for point in points {
            rows.extend(point_rows(&name, point));
        }
    }
    rows.extend(point_rows("target", &measurements.target.mean));
    rows.extend(point_rows("target_hot", &measurements.target.hot));
    rows
}

fn point_rows(sweep: &str, point: &Point) -> Vec<Row> {
    let setup = point.setup;
    let mut rows = Vec::new();
    for (quantity, summary) in &point.figures {
        rows.push(Row {
            sweep: sweep.to_owned(),
            backends: setup.backends,
            proxies: setup.proxies,
            tenants: setup.tenants,
            classes: setup.classes,
            requests_per_second: setup.requests_per_second,
            quantity: quantity.key(),
            unit: quantity.unit(),
            median: summary.median,
            min: summary.min,
            max: summary.max,
        });
    }
    rows
}
