//! Quantities fitted over a sweep.

use crate::slopes::fit::Fit;
use crate::slopes::measure::{Measurements, Point, Sweep};
use crate::slopes::quantity::Quantity;
use crate::slopes::scenario::{SlopesScenario, Target};
use serde::Serialize;

/// A quantity fitted over a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    /// What was swept.
    pub sweep: Sweep,
    /// What was measured.
    pub quantity: Quantity,
    /// Both models.
    pub fit: Fit,
    /// The swept number at the target.
    pub target_size: u32,
    /// The value there, by the better model.
    pub at_target: f64,
}

/// Fits all quantities over all sweeps; those with too few points are left out.
pub(super) fn curves(scenario: &SlopesScenario, measurements: &Measurements) -> Vec<Curve> {
    let mut curves = Vec::new();
    for (&sweep, points) in &measurements.sweeps {
        let target_size = target_size(sweep, &scenario.target);
        for quantity in Quantity::ALL {
            let Some(fit) = Fit::of(&series(sweep, points, quantity)) else {
                continue;
            };
            curves.push(Curve {
                sweep,
                quantity,
                fit,
                target_size,
                at_target: fit.at(f64::from(target_size)),
            });
        }
    }
    curves
}

/// Returns the medians of a quantity over a sweep, as points of (size, median).
#[must_use]
pub fn series(sweep: Sweep, points: &[Point], quantity: Quantity) -> Vec<(f64, f64)> {
    let mut series = Vec::new();
    for point in points {
        if let Some(median) = point.median(quantity) {
            series.push((f64::from(sweep.size(&point.setup)), median));
        }
    }
    series
}

fn target_size(sweep: Sweep, target: &Target) -> u32 {
    match sweep {
        Sweep::Backends => target.backends,
        Sweep::Tenants => target.tenants,
        Sweep::Classes => target.classes,
        Sweep::Proxies => target.proxies,
    }
}
