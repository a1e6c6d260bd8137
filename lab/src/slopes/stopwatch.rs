//! Processor time of the calling thread and its summary over repetitions.

use cpu_time::ThreadTime;
use serde::Serialize;
use std::time::Duration;

/// Readings of which the median is the cost of a reading.
const CALIBRATION_READINGS: usize = 1_001;

/// Measures processor time (`CLOCK_THREAD_CPUTIME_ID`), less the cost of a reading of that clock. The default
/// subtracts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stopwatch {
    overhead: Duration,
}

impl Stopwatch {
    /// Measures the cost of a reading: the median of many that have nothing between them.
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

    /// Returns the cost of a reading, which is subtracted from every measured time.
    #[must_use]
    pub fn overhead(&self) -> Duration {
        self.overhead
    }

    /// Returns the processor time that `work` takes.
    pub fn time(&self, work: impl FnOnce()) -> Duration {
        let start = ThreadTime::now();
        work();
        start.elapsed().saturating_sub(self.overhead)
    }
}

/// One quantity over the repetitions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The median.
    pub median: f64,
    /// The minimum.
    #[serde(rename = "least")]
    pub min: f64,
    /// The maximum.
    #[serde(rename = "greatest")]
    pub max: f64,
    /// Each repetition, in their order.
    pub values: Vec<f64>,
}

impl Summary {
    /// Summarises the repetitions; `None` where there are none.
    #[must_use]
    pub fn of(values: Vec<f64>) -> Option<Self> {
        let mut sorted = values.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        let min = *sorted.first()?;
        let max = *sorted.last()?;
        Some(Self {
            median: median_of(&sorted),
            min,
            max,
            values,
        })
    }

    /// Returns half the range over the median; 0 where the median is not above 0.
    #[must_use]
    pub fn spread(&self) -> f64 {
        if self.median > 0.0 {
            (self.max - self.min) / 2.0 / self.median
        } else {
            0.0
        }
    }
}

/// Returns the median of sorted values, of which there is at least one.
fn median_of(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 0 {
        (sorted[middle - 1] + sorted[middle]) / 2.0
    } else {
        sorted[middle]
    }
}
