//! A figure at the target beside its budget.

use serde::Serialize;

/// Unit of an assessed figure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FigureUnit {
    /// Milliseconds.
    Milliseconds,
    /// Percent of a core.
    PercentOfCore,
    /// Megabytes.
    Megabytes,
    /// Bytes a second.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// A number of descriptors.
    Descriptors,
    /// A ratio of two costs.
    Times,
}

impl FigureUnit {
    /// Returns its abbreviation.
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

/// Whether a figure keeps its budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It does.
    Within,
    /// It is that many times the budget.
    Over(f64),
    /// It has no budget.
    Unlimited,
    /// It was not measured.
    NotMeasured,
}

/// A figure at the target beside its budget.
#[derive(Clone, Debug, Serialize)]
pub struct Assessment {
    /// What it is.
    pub name: &'static str,
    /// The figure measured at the target; `None` where it was not.
    pub measured: Option<f64>,
    /// The same figure by the fits over the sweeps; `None` where it has none.
    pub fitted: Option<f64>,
    /// Its budget, if it has one.
    pub budget: Option<f64>,
    /// The unit of all three.
    pub unit: FigureUnit,
    /// How the measured figure, or the fitted one where there is none, compares with the budget.
    pub verdict: Verdict,
}

/// A figure at the target, measured there and by the fits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetFigure {
    pub(super) measured: Option<f64>,
    pub(super) fitted: Option<f64>,
}

impl Assessment {
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
            verdict: Verdict::of(figure.measured.or(figure.fitted), budget),
        }
    }
}

impl Verdict {
    fn of(figure: Option<f64>, budget: Option<f64>) -> Self {
        match (figure, budget) {
            (None, _) => Self::NotMeasured,
            (Some(_), None) => Self::Unlimited,
            (Some(figure), Some(budget)) if figure <= budget => Self::Within,
            (Some(figure), Some(budget)) => Self::Over(figure / budget),
        }
    }
}
