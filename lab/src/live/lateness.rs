//! How late the lab's own timers are: times that it measures can't be trusted beyond that.

use super::latency::LatencyHistogram;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::sleep;

const EVERY: Duration = Duration::from_millis(5);

/// Follows the lateness of a timer for as long as it is there.
#[derive(Debug)]
pub struct LatenessProbe {
    seen: Arc<Mutex<LatencyHistogram>>,
    task: JoinHandle<()>,
}

impl LatenessProbe {
    /// Starts on the present runtime.
    #[must_use]
    pub fn start() -> Self {
        let seen = Arc::<Mutex<LatencyHistogram>>::default();
        let task = tokio::spawn(probe(Arc::clone(&seen)));
        Self { seen, task }
    }

    /// Lateness since the last call.
    #[must_use]
    pub fn take(&self) -> LatencyHistogram {
        std::mem::take(&mut *self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for LatenessProbe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn probe(seen: Arc<Mutex<LatencyHistogram>>) {
    loop {
        let began = Instant::now();
        sleep(EVERY).await;
        let late = began.elapsed().saturating_sub(EVERY);
        seen.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(late);
    }
}
