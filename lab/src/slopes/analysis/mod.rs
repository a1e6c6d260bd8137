//! Analyses the measurements: fits curves, extrapolates them to the target, and compares figures with their budgets.
//!
//! - [`curve`]: fits of a quantity over the sizes of a sweep.
//! - [`assessment`]: a figure at the target, its budget and the verdict.
//! - `assessor`: computes the assessed figures from measured and from fitted quantities.

pub mod assessment;
mod assessor;
pub mod curve;

use super::fit::Fit;
use super::measure::Measurements;
use super::scenario::SlopesScenario;
use assessment::Assessment;
use assessor::Assessor;
use curve::Curve;
use serde::Serialize;

/// Analysis of a run's measurements.
#[derive(Clone, Debug, Serialize)]
pub struct Analysis {
    /// Curves of each quantity over each sweep.
    pub curves: Vec<Curve>,
    /// Bytes of heap per open request, by the slope of a fitted line; `None` without enough measurements.
    pub bytes_per_open_request: Option<f64>,
    /// Figures at the target, compared with their budgets.
    pub assessments: Vec<Assessment>,
}

impl Analysis {
    /// Analyses the measurements of a scenario.
    #[must_use]
    pub fn of(scenario: &SlopesScenario, measurements: &Measurements) -> Self {
        let curves = curve::fit_curves(scenario, measurements);
        let assessor = Assessor {
            scenario,
            measurements,
            curves: &curves,
        };
        let assessments = assessor.assess_all();
        Self {
            curves,
            bytes_per_open_request: bytes_per_open_request(measurements),
            assessments,
        }
    }
}

/// Fits a line to the balancer's heap over the number of open requests and returns its slope in bytes per request;
/// `None` with too few measurements.
fn bytes_per_open_request(measurements: &Measurements) -> Option<f64> {
    let mut points = Vec::new();
    for memory in &measurements.open_request_memory {
        points.push((f64::from(memory.open_requests), memory.balancer_memory));
    }
    let fit = Fit::of(&points)?;
    Some(fit.line.slope)
}
