//! Histograms of times and the quantiles that are reported of them.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// The longest time that is told from longer ones, in microseconds.
const HIGHEST_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times between a microsecond and a minute, to three digits; what lies beyond counts as that.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

/// Quantiles in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_us: u64,
    /// 99 in 100.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("1 to 60,000,000 with 3 digits are bounds that a histogram takes"))
    }
}

impl LatencyHistogram {
    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(HIGHEST_US);
        self.0.saturating_record(micros.clamp(1, HIGHEST_US));
    }

    /// Quantiles of all; `None` if there are none.
    #[must_use]
    pub fn quantiles(&self) -> Option<Latency> {
        (!self.0.is_empty()).then(|| Latency {
            p50_us: self.0.value_at_quantile(0.5),
            p99_us: self.0.value_at_quantile(0.99),
            max_us: self.0.max(),
        })
    }
}
