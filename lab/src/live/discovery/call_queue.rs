//! A queue that limits the rate at which a discovery service handles calls.
//!
//! Calls are handled one after another with a constant service time, as by a service with one worker.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The call queue of one service.
#[derive(Debug)]
pub struct CallQueue {
    time_per_call: Duration,
    queue_timeout: Duration,
    /// Time at which the last admitted call will have been handled.
    busy_until: Mutex<Instant>,
}

/// A call was not handled because it would have waited in the queue for longer than the queue timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("call was not handled within the queue timeout")]
pub struct QueueTimeout;

impl CallQueue {
    /// Creates a queue that handles `calls_per_second`, and in which a call waits for at most `queue_timeout`.
    #[must_use]
    pub fn new(calls_per_second: f64, queue_timeout: Duration) -> Self {
        Self {
            time_per_call: Duration::from_secs_f64(1.0 / calls_per_second),
            queue_timeout,
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// Waits until this call has been handled. A call that times out takes no service time.
    ///
    /// # Errors
    /// [`QueueTimeout`], once the queue timeout has passed, if the call would have to wait longer than the timeout.
    pub async fn wait(&self) -> Result<(), QueueTimeout> {
        let Some(handled_from) = self.reserve() else {
            sleep(self.queue_timeout).await;
            return Err(QueueTimeout);
        };
        sleep_until(handled_from + self.time_per_call).await;
        Ok(())
    }

    /// Reserves the next service time and returns its start; `None` if the service time would start only after the
    /// queue timeout.
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
