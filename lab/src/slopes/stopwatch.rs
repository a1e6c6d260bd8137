//! Processor time of the calling thread and its summary over repetitions.

use cpu_time::ThreadTime;
use serde::Serialize;
use std::time::Duration;

/// Readings from which the cost of a reading is taken.
const CALIBRATION_READINGS: usize = 1_001;

/// Measures processor time (`CLOCK_THREAD_CPUTIME_ID`), less what a reading of that clock itself costs. The
/// default takes nothing off.
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

    /// What a reading costs; it is taken off every measured time.
    #[must_use]
    pub fn overhead(&self) -> Duration {
        self.overhead
    }

    /// The processor time that `work` takes.
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
    /// The least.
    pub least: f64,
    /// The greatest.
    pub greatest: f64,
    /// Each repetition, in their order.
    pub values: Vec<f64>,
}

impl Summary {
    /// Summarises the repetitions; `None` where there are none.
    #[must_use]
    pub fn of(values: Vec<f64>) -> Option<Self> {
        let mut sorted = values.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        let (&least, &greatest) = (sorted.first()?, sorted.last()?);
        let middle = sorted.len() / 2;
        let even = sorted.len() % 2 == 0;
        let median = if even {
            (sorted[middle - 1] + sorted[middle]) / 2.0
        } else {
            sorted[middle]
        };
        Some(Self {
            median,
            least,
            greatest,
            values,
        })
    }

    /// Half the range over the median.
    #[must_use]
    pub fn spread(&self) -> f64 {
        if self.median > 0.0 {
            (self.greatest - self.least) / 2.0 / self.median
        } else {
            0.0
        }
    }
}
