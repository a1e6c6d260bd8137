//! Curves: fits of a quantity over the sizes of a sweep.

use crate::slopes::fit::Fit;
use crate::slopes::measure::{Measurements, Point, Sweep};
use crate::slopes::quantity::Quantity;
use crate::slopes::scenario::{SlopesScenario, Target};
use serde::Serialize;

/// A fit of one quantity over the sizes of one sweep.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    /// Sweep over which the quantity is fitted.
    pub sweep: Sweep,
    /// Fitted quantity.
    pub quantity: Quantity,
    /// Line and power law fitted to the medians of the quantity.
    pub fit: Fit,
    /// Value of the swept size at the target.
    pub target_size: u32,
    /// Value of the quantity at `target_size` by the better model, in the quantity's unit.
    pub at_target: f64,
}

/// Fits all quantities over all sweeps; a quantity with too few points in a sweep is left out.
pub(super) fn fit_curves(scenario: &SlopesScenario, measurements: &Measurements) -> Vec<Curve> {
    let mut curves = Vec::new();
    for (&sweep, points) in &measurements.sweeps {
        let target_size = target_size(sweep, &scenario.target);
        for quantity in Quantity::ALL {
            let Some(fit) = Fit::of(&medians_by_size(sweep, points, quantity)) else {
                continue;
            };
            curves.push(Curve {
                sweep,
                quantity,
                fit,
                target_size,
                at_target: fit.cost_at(f64::from(target_size)),
            });
        }
    }
    curves
}

/// Returns a pair (size, median of the quantity) for each point of a sweep at which the quantity was measured.
#[must_use]
pub fn medians_by_size(sweep: Sweep, points: &[Point], quantity: Quantity) -> Vec<(f64, f64)> {
    let mut medians = Vec::new();
    for point in points {
        if let Some(median) = point.median(quantity) {
            medians.push((f64::from(sweep.size(&point.setup)), median));
        }
    }
    medians
}

/// Returns the value of the swept size at the target.
fn target_size(sweep: Sweep, target: &Target) -> u32 {
    match sweep {
        Sweep::Backends => target.backends,
        Sweep::Tenants => target.tenants,
        Sweep::Classes => target.classes,
        Sweep::Proxies => target.proxies,
    }
}
