//! Assessments: figures at the target size of the fleet, compared with their budgets.

use serde::Serialize;

/// Unit of an [`Assessment`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FigureUnit {
    /// Milliseconds.
    Milliseconds,
    /// Percent of a core.
    PercentOfCore,
    /// Megabytes.
    Megabytes,
    /// Bytes per second.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// Number of file descriptors.
    Descriptors,
    /// Ratio of two costs.
    Times,
}

impl FigureUnit {
    /// Returns the abbreviation of the unit in reports.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Milliseconds => "ms",
            Self::PercentOfCore => "% of a core",
            Self::Megabytes => "MB",
            Self::BytesPerSecond => "B/s",
            Self::Seconds => "s",
            Self::Descriptors => "descriptors",
            Self::Times => "times",
        }
    }
}

/// Result of comparing a figure with its budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The figure is at most the budget.
    Within,
    /// The figure exceeds the budget; holds the figure as a multiple of the budget.
    Over(f64),
    /// The figure has no budget.
    Unlimited,
    /// The figure was neither measured nor fitted.
    NotMeasured,
}

/// A figure at the target, compared with its budget.
#[derive(Clone, Debug, Serialize)]
pub struct Assessment {
    /// Name of the figure in reports.
    pub name: &'static str,
    /// Figure measured at the target size; `None` if it was not measured.
    pub measured: Option<f64>,
    /// Figure extrapolated to the target size by the fits; `None` without a fit.
    pub fitted: Option<f64>,
    /// Budget of the figure; `None` for a figure without a budget.
    pub budget: Option<f64>,
    /// Unit of the figure and of its budget.
    pub unit: FigureUnit,
    /// Result of comparing the measured figure with the budget, or the fitted figure if none was measured.
    pub verdict: Verdict,
}

/// A figure at the target, both as measured there and as extrapolated by the fits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetFigure {
    pub(super) measured: Option<f64>,
    pub(super) fitted: Option<f64>,
}

impl Assessment {
    /// Compares a figure with its budget.
    pub(super) fn new(
        name: &'static str,
        figure: TargetFigure,
        budget: Option<f64>,
        unit: FigureUnit,
    ) -> Self {
        Self {
            name,
            measured: figure.measured,
            fitted: figure.fitted,
            budget,
            unit,
            verdict: Verdict::new(figure.measured.or(figure.fitted), budget),
        }
    }
}

impl Verdict {
    fn new(figure: Option<f64>, budget: Option<f64>) -> Self {
        match (figure, budget) {
            (None, _) => Self::NotMeasured,
            (Some(_), None) => Self::Unlimited,
            (Some(figure), Some(budget)) if figure <= budget => Self::Within,
            (Some(figure), Some(budget)) => Self::Over(figure / budget),
        }
    }
}
