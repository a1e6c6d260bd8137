//! Histograms of durations and their reported quantiles.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Longest duration that is recorded exactly, in microseconds: a minute.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Number of significant decimal digits of a recorded duration.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of durations from a microsecond to a minute with three significant digits. Durations outside this
/// range are recorded as its nearest bound.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

/// Quantiles of a histogram, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencyQuantiles {
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The maximum.
    pub max_us: u64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect(
            "the histogram's range starts at 1 and spans more than a factor of 2, and it has at most 5 significant digits",
        ))
    }
}

impl LatencyHistogram {
    /// Records one duration.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US);
        self.0.saturating_record(micros.clamp(1, MAX_RECORDED_US));
    }

    /// Returns the quantiles of all recorded durations; `None` if there are none.
    #[must_use]
    pub fn quantiles(&self) -> Option<LatencyQuantiles> {
        if self.0.is_empty() {
            return None;
        }
        Some(LatencyQuantiles {
            p50_us: self.0.value_at_quantile(0.5),
            p99_us: self.0.value_at_quantile(0.99),
            max_us: self.0.max(),
        })
    }
}
