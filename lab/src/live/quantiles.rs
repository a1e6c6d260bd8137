//! Median and maximum of a few values.

use serde::Serialize;

/// Median and maximum of a set of values.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// The median; the lower of the two middle values if the number of values is even.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Quantiles {
    /// Computes the quantiles of the values; `None` if there are none.
    #[must_use]
    pub fn of(mut values: Vec<f64>) -> Option<Self> {
        values.sort_unstable_by(f64::total_cmp);
        let max = *values.last()?;
        let median = values[(values.len() - 1) / 2];
        Some(Self { median, max })
    }
}
