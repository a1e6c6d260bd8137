//! Fits of a cost over a size: a straight line and a power law, and which of them describes it better.
//!
//! Costs span decades, so both models are judged by relative error: the line minimises the sum of
//! `((a + b x - y) / y)^2` (least squares weighted by `1 / y^2`), the power law is the ordinary least squares
//! line through `(ln x, ln y)`.

use serde::Serialize;

/// Points that a fit needs; any two lie on a line.
const MIN_POINTS: usize = 3;

/// A straight line `intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Cost at size 0.
    pub intercept: f64,
    /// Cost of one more.
    pub slope: f64,
    /// Root mean square of the relative errors.
    pub relative_error: f64,
}

/// A power law `factor * x^exponent`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PowerLaw {
    /// Cost at size 1.
    pub factor: f64,
    /// Slope in a log-log plot.
    pub exponent: f64,
    /// Root mean square of the relative errors.
    pub relative_error: f64,
}

/// The two models.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Model {
    /// [`Line`].
    Line,
    /// [`PowerLaw`].
    PowerLaw,
}

/// Both models of one curve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The straight line.
    pub line: Line,
    /// The power law.
    pub power_law: PowerLaw,
    /// The model of the smaller relative error.
    pub better: Model,
}

/// A pair of coefficients of `a + b x`.
struct Coefficients {
    intercept: f64,
    slope: f64,
}

impl Line {
    /// Returns the cost at size `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

impl PowerLaw {
    /// Returns the cost at size `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.factor * x.powf(self.exponent)
    }
}

impl Fit {
    /// Fits both models to points of (size, cost). `None` where fewer than three of them have a size and a
    /// cost above 0, or all have the same size.
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

    /// Returns the cost at size `x` by the better model.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        match self.better {
            Model::Line => self.line.at(x),
            Model::PowerLaw => self.power_law.at(x),
        }
    }
}

fn fit_line(points: &[(f64, f64)]) -> Option<Line> {
    let weighted: Vec<(f64, f64, f64)> =
        points.iter().map(|&(x, y)| (x, y, 1.0 / (y * y))).collect();
    let Coefficients { intercept, slope } = least_squares(&weighted)?;
    let relative_error = relative_error(points, |x| intercept + slope * x);
    Some(Line {
        intercept,
        slope,
        relative_error,
    })
}

fn fit_power_law(points: &[(f64, f64)]) -> Option<PowerLaw> {
    let logarithms: Vec<(f64, f64, f64)> =
        points.iter().map(|&(x, y)| (x.ln(), y.ln(), 1.0)).collect();
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

/// Weighted least squares over (x, y, weight); `None` where all x are the same.
fn least_squares(points: &[(f64, f64, f64)]) -> Option<Coefficients> {
    let weight: f64 = points.iter().map(|&(_, _, w)| w).sum();
    let mean_x = points.iter().map(|&(x, _, w)| w * x).sum::<f64>() / weight;
    let mean_y = points.iter().map(|&(_, y, w)| w * y).sum::<f64>() / weight;
    let variance: f64 = points
        .iter()
        .map(|&(x, _, w)| w * (x - mean_x).powi(2))
        .sum();
    let covariance: f64 = points
        .iter()
        .map(|&(x, y, w)| w * (x - mean_x) * (y - mean_y))
        .sum();
    if variance <= f64::EPSILON * weight * mean_x * mean_x {
        return None;
    }
    let slope = covariance / variance;
    Some(Coefficients {
        intercept: mean_y - slope * mean_x,
        slope,
    })
}

fn relative_error(points: &[(f64, f64)], model: impl Fn(f64) -> f64) -> f64 {
    let squares: f64 = points
        .iter()
        .map(|&(x, y)| ((model(x) - y) / y).powi(2))
        .sum();
    (squares / points.len() as f64).sqrt()
}
