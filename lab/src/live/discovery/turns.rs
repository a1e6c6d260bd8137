//! Calls have their turns one after another, each taking the same time.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The queue of calls of one service.
#[derive(Debug)]
pub struct Turns {
    each: Duration,
    longest_wait: Duration,
    /// When the next call can have its turn.
    free_at: Mutex<Instant>,
}

/// A call would have waited too long for its turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overbooked;

impl Turns {
    /// So many turns a second; a call waits at most `longest_wait` for its own.
    #[must_use]
    pub fn new(per_second: f64, longest_wait: Duration) -> Self {
        let each = Duration::from_secs_f64(1.0 / per_second);
        Self {
            each,
            longest_wait,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits for a turn. Calls that wait too long take none.
    ///
    /// # Errors
    /// [`Overbooked`], after the longest wait.
    pub async fn wait(&self) -> Result<(), Overbooked> {
        let Some(turn) = self.reserve() else {
            sleep(self.longest_wait).await;
            return Err(Overbooked);
        };
        sleep_until(turn + self.each).await;
        Ok(())
    }

    fn reserve(&self) -> Option<Instant> {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let turn = (*free_at).max(now);
        if turn.duration_since(now) > self.longest_wait {
            return None;
        }
        *free_at = turn + self.each;
        Some(turn)
    }
}
