//! Fits a straight line and a power law to costs over sizes, and selects the better of the two.
//!
//! Costs span several orders of magnitude, so both models are compared by relative error. The line minimises the sum
//! of `((a + b x - y) / y)^2`, which is least squares weighted by `1 / y^2`. The power law is the ordinary least
//! squares line through `(ln x, ln y)`.

use serde::Serialize;

/// Minimum number of points of a fit; a line or a power law fits any two points exactly.
const MIN_POINTS: usize = 3;

/// A straight line `intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Cost at size 0.
    pub intercept: f64,
    /// Added cost for each unit of size.
    pub slope: f64,
    /// Root mean square of the relative errors at the fitted points.
    pub relative_error: f64,
}

/// A power law `factor * x^exponent`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PowerLaw {
    /// Cost at size 1.
    pub factor: f64,
    /// Exponent of the size: the slope in a log-log plot.
    pub exponent: f64,
    /// Root mean square of the relative errors at the fitted points.
    pub relative_error: f64,
}

/// Kind of model.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Model {
    /// The straight line, [`Line`].
    Line,
    /// The power law, [`PowerLaw`].
    PowerLaw,
}

/// A line and a power law fitted to the same points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Fitted straight line.
    pub line: Line,
    /// Fitted power law.
    pub power_law: PowerLaw,
    /// Model with the smaller relative error; the line if both are equal.
    pub better: Model,
}

/// A point of a weighted least squares fit.
struct WeightedPoint {
    x: f64,
    y: f64,
    weight: f64,
}

/// Coefficients of `intercept + slope * x`.
struct Coefficients {
    intercept: f64,
    slope: f64,
}

impl Line {
    /// Returns the cost at size `x`.
    #[must_use]
    pub fn cost_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

impl PowerLaw {
    /// Returns the cost at size `x`.
    #[must_use]
    pub fn cost_at(&self, x: f64) -> f64 {
        self.factor * x.powf(self.exponent)
    }
}

impl Fit {
    /// Fits a line and a power law to pairs (size, cost). Pairs with a size or a cost of 0 or less are ignored. Returns
    /// `None` if fewer than three pairs remain or all have the same size.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let usable: Vec<(f64, f64)> = points
            .iter()
            .copied()
            .filter(|&(x, y)| x > 0.0 && y > 0.0)
            .collect();
        if usable.len() < MIN_POINTS {
            return None;
        }
        let line = fit_line(&usable)?;
        let power_law = fit_power_law(&usable)?;
        let better = if line.relative_error <= power_law.relative_error {
            Model::Line
        } else {
            Model::PowerLaw
        };
        Some(Self {
            line,
            power_law,
            better,
        })
    }

    /// Returns the cost at size `x` by the model with the smaller relative error.
    #[must_use]
    pub fn cost_at(&self, x: f64) -> f64 {
        match self.better {
            Model::Line => self.line.cost_at(x),
            Model::PowerLaw => self.power_law.cost_at(x),
        }
    }
}

fn fit_line(points: &[(f64, f64)]) -> Option<Line> {
    let weighted: Vec<WeightedPoint> = points
        .iter()
        .map(|&(x, y)| WeightedPoint {
            x,
            y,
            weight: 1.0 / (y * y),
        })
        .collect();
    let Coefficients { intercept, slope } = least_squares(&weighted)?;
    let relative_error = relative_error(points, |x| intercept + slope * x);
    Some(Line {
        intercept,
        slope,
        relative_error,
    })
}

fn fit_power_law(points: &[(f64, f64)]) -> Option<PowerLaw> {
    let logarithms: Vec<WeightedPoint> = points
        .iter()
        .map(|&(x, y)| WeightedPoint {
            x: x.ln(),
            y: y.ln(),
            weight: 1.0,
        })
        .collect();
    let Coefficients {
        intercept,
        slope: exponent,
    } = least_squares(&logarithms)?;
    let factor = intercept.exp();
    let relative_error = relative_error(points, |x| factor * x.powf(exponent));
    Some(PowerLaw {
        factor,
        exponent,
        relative_error,
    })
}

/// Fits a straight line by weighted least squares; `None` if all `x` are the same.
fn least_squares(points: &[WeightedPoint]) -> Option<Coefficients> {
    let total_weight: f64 = points.iter().map(|p| p.weight).sum();
    let mean_x = points.iter().map(|p| p.weight * p.x).sum::<f64>() / total_weight;
    let mean_y = points.iter().map(|p| p.weight * p.y).sum::<f64>() / total_weight;
    let variance: f64 = points
        .iter()
        .map(|p| p.weight * (p.x - mean_x).powi(2))
        .sum();
    let covariance: f64 = points
        .iter()
        .map(|p| p.weight * (p.x - mean_x) * (p.y - mean_y))
        .sum();
    if variance <= f64::EPSILON * total_weight * mean_x * mean_x {
        return None;
    }
    let slope = covariance / variance;
    Some(Coefficients {
        intercept: mean_y - slope * mean_x,
        slope,
    })
}

/// Returns the root mean square of the relative errors of a model.
fn relative_error(points: &[(f64, f64)], model: impl Fn(f64) -> f64) -> f64 {
    let squares: f64 = points
        .iter()
        .map(|&(x, y)| ((model(x) - y) / y).powi(2))
        .sum();
    (squares / points.len() as f64).sqrt()
}
