//! Measures the processor time of the calling thread, and summarises values over repetitions.

use cpu_time::ThreadTime;
use serde::Serialize;
use std::time::Duration;

/// Number of clock readings in a calibration; odd, so that one of them is the median.
const CALIBRATION_READINGS: usize = 1_001;

/// Measures processor time (`CLOCK_THREAD_CPUTIME_ID`), less the cost of reading that clock. The default stopwatch
/// subtracts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stopwatch {
    overhead: Duration,
}

impl Stopwatch {
    /// Creates a stopwatch that subtracts the cost of a clock reading: the median of many back-to-back readings.
    #[must_use]
    pub fn calibrated() -> Self {
        let mut readings: Vec<Duration> = (0..CALIBRATION_READINGS)
            .map(|_| ThreadTime::now().elapsed())
            .collect();
        readings.sort_unstable();
        Self {
            overhead: readings[CALIBRATION_READINGS / 2],
        }
    }

    /// Returns the cost of a clock reading, which is subtracted from every measured time.
    #[must_use]
    pub fn overhead(&self) -> Duration {
        self.overhead
    }

    /// Runs `work` and returns the processor time that it takes, less the cost of a clock reading.
    pub fn time(&self, work: impl FnOnce()) -> Duration {
        let start = ThreadTime::now();
        work();
        start.elapsed().saturating_sub(self.overhead)
    }
}

/// Summary of one quantity over the repetitions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Median over the repetitions.
    pub median: f64,
    /// Minimum over the repetitions.
    #[serde(rename = "least")]
    pub min: f64,
    /// Maximum over the repetitions.
    #[serde(rename = "greatest")]
    pub max: f64,
    /// Value of each repetition, in order.
    pub values: Vec<f64>,
}

impl Summary {
    /// Summarises the values of the repetitions; `None` without values.
    #[must_use]
    pub fn of(values: Vec<f64>) -> Option<Self> {
        let mut sorted = values.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        let min = *sorted.first()?;
        let max = *sorted.last()?;
        Some(Self {
            median: median_of_sorted(&sorted),
            min,
            max,
            values,
        })
    }

    /// Returns half the range as a fraction of the median; 0 if the median is not above 0.
    #[must_use]
    pub fn spread(&self) -> f64 {
        if self.median > 0.0 {
            (self.max - self.min) / 2.0 / self.median
        } else {
            0.0
        }
    }
}

/// Returns the median of a sorted slice.
///
/// # Panics
/// Panics if the slice is empty.
fn median_of_sorted(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 0 {
        (sorted[middle - 1] + sorted[middle]) / 2.0
    } else {
        sorted[middle]
    }
}
