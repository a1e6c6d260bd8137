//! Measures the lag of the lab's own timers, which bounds the accuracy of its time measurements.

use super::latency::LatencyHistogram;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Duration of each sampled timer.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Samples the lag of a timer in the background. Dropping the monitor ends the sampling.
#[derive(Debug)]
pub struct TimerLagMonitor {
    samples: Arc<Mutex<LatencyHistogram>>,
    task: JoinHandle<()>,
}

impl TimerLagMonitor {
    /// Starts sampling on the current Tokio runtime.
    ///
    /// # Panics
    /// If called outside a Tokio runtime.
    #[must_use]
    pub fn start() -> Self {
        let samples = Arc::<Mutex<LatencyHistogram>>::default();
        let task = tokio::spawn(sample_lag(Arc::clone(&samples)));
        Self { samples, task }
    }

    /// Removes and returns the samples since the last call.
    #[must_use]
    pub fn take(&self) -> LatencyHistogram {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *samples)
    }
}

impl Drop for TimerLagMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn sample_lag(samples: Arc<Mutex<LatencyHistogram>>) {
    loop {
        let started = Instant::now();
        sleep(SAMPLE_INTERVAL).await;
        let lag = started.elapsed().saturating_sub(SAMPLE_INTERVAL);
        samples
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(lag);
    }
}
