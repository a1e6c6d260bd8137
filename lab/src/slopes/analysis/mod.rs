//! What the measurements say: fitted curves with their value at the target, and each figure beside its
//! budget.
//!
//! - [`curve`]: quantities fitted over a sweep.
//! - [`assessment`]: a figure at the target, its budget and the verdict.
//! - `assessor`: the assessed figures, made of measured and of fitted quantities.

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

/// The analysis of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Analysis {
    /// Fitted curves.
    pub curves: Vec<Curve>,
    /// Bytes of heap for one more open request, by a straight line.
    pub bytes_per_open_request: Option<f64>,
    /// Figures at the target beside their budgets.
    pub assessments: Vec<Assessment>,
}

impl Analysis {
    /// Analyses the measurements of a scenario.
    #[must_use]
    pub fn of(scenario: &SlopesScenario, measurements: &Measurements) -> Self {
        let curves = curve::curves(scenario, measurements);
        let assessor = Assessor {
            scenario,
            measurements,
            curves: &curves,
        };
        let assessments = assessor.assessments();
        Self {
            curves,
            bytes_per_open_request: bytes_per_open_request(measurements),
            assessments,
        }
    }
}

fn bytes_per_open_request(measurements: &Measurements) -> Option<f64> {
    let mut points = Vec::new();
    for memory in &measurements.open_request_memory {
        points.push((f64::from(memory.open_requests), memory.balancer_memory));
    }
    let fit = Fit::of(&points)?;
    Some(fit.line.slope)
}
