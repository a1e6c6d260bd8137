//! A queue that limits how many calls a discovery service handles in a second.
//!
//! Calls are handled one after another, each taking the same time, as by a service with one worker.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The queue of calls of one service.
#[derive(Debug)]
pub struct CallQueue {
    time_per_call: Duration,
    queue_timeout: Duration,
    /// When the last call that was admitted so far has been handled.
    busy_until: Mutex<Instant>,
}

/// A call was in the queue for the whole queue timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the call was queued for too long")]
pub struct QueueTimeout;

impl CallQueue {
    /// Makes a queue that handles `calls_per_second` and lets a call wait for at most `queue_timeout`.
    #[must_use]
    pub fn new(calls_per_second: f64, queue_timeout: Duration) -> Self {
        Self {
            time_per_call: Duration::from_secs_f64(1.0 / calls_per_second),
            queue_timeout,
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// Waits until this call has been handled. A call that times out takes no time of the service.
    ///
    /// # Errors
    /// [`QueueTimeout`], after the queue timeout, where the queue is longer than that.
    pub async fn wait(&self) -> Result<(), QueueTimeout> {
        let Some(handled_from) = self.reserve() else {
            sleep(self.queue_timeout).await;
            return Err(QueueTimeout);
        };
        sleep_until(handled_from + self.time_per_call).await;
        Ok(())
    }

    /// Returns when this call will be handled, or `None` where that is too late.
    fn reserve(&self) -> Option<Instant> {
        let mut busy_until = self
            .busy_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let handled_from = (*busy_until).max(now);
        if handled_from.duration_since(now) > self.queue_timeout {
            return None;
        }
        *busy_until = handled_from + self.time_per_call;
        Some(handled_from)
    }
}
