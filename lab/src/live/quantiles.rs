//! Median and maximum of a few values.

use serde::Serialize;

/// Median and maximum.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// The median; the lower one of two.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Quantiles {
    /// Computes the quantiles of the values; `None` where there are none.
    #[must_use]
    pub fn of(mut values: Vec<f64>) -> Option<Self> {
        values.sort_unstable_by(f64::total_cmp);
        let max = *values.last()?;
        let median = values[(values.len() - 1) / 2];
        Some(Self { median, max })
    }
}
