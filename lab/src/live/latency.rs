//! Histograms of times and the quantiles that are reported of them.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// The longest time that is recorded as it is, in microseconds: a minute.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Decimal digits to which times are distinguished.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of times between a microsecond and a minute, to three digits; times outside that range count as
/// its bounds.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

/// Quantiles in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencyQuantiles {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("1 to 60,000,000 with 3 digits are bounds that a histogram takes"))
    }
}

impl LatencyHistogram {
    /// Adds one time.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US);
        self.0.saturating_record(micros.clamp(1, MAX_RECORDED_US));
    }

    /// Returns the quantiles of all times; `None` where there are none.
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
