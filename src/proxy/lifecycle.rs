//! The lifecycle of the process: starting, in service, out of service, shutting down.
//!
//! One state machine answers all who need to know: the health check `/up`, the operators' calls,
//! the client connections and the shutdown itself.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long an idle client connection stays open while the proxy drains. Closed sooner, it would often cross a
/// request that is on its way.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(1_500);
/// Idle client connections close this long before the last answers are due, so that a request that
/// comes on one until then is still answered.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(100);

/// Stage of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// There is no endpoint list yet: the proxy can't serve.
    Starting,
    /// The proxy serves, and its health check says so.
    InService,
    /// An operator took the proxy out of service: it still serves requests that arrive, and each response closes its
    /// connection.
    OutOfService,
    /// The process shuts down: as out of service, and it can't return.
    ShuttingDown,
}

/// The process shuts down, and can no longer be taken in or out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the process is shutting down")]
pub struct ShuttingDown;

/// The times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// When requests that arrive from now on are answered at the latest: the process may be killed
    /// later.
    pub last_answer_at: Instant,
    /// When the process ends, whatever is still open.
    pub process_end: Instant,
}

/// The state machine, which all parts of the proxy share.
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    /// Whether there is an endpoint list to serve from. It may be empty.
    is_ready: Cell<bool>,
    /// `None` until the shutdown begins.
    shutdown: Cell<Option<ShutdownTimes>>,
}

impl Lifecycle {
    /// Creates the lifecycle of a process that starts.
    #[must_use]
    pub fn start() -> Rc<Self> {
        Rc::new(Self {
            stage: watch::Sender::new(Stage::Starting),
            is_ready: Cell::new(false),
            shutdown: Cell::new(None),
        })
    }

    /// Returns the present stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns a receiver of all changes of the stage.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Whether the health check reports that new requests should be sent here. They are served in any stage.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.stage() == Stage::InService
    }

    /// Whether the proxy drains: responses close their connections, and idle ones are closed.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        matches!(self.stage(), Stage::OutOfService | Stage::ShuttingDown)
    }

    /// Records that there is an endpoint list to serve from. This ends the start, but no drain.
    pub fn mark_ready(&self) {
        self.is_ready.set(true);
        if self.stage() == Stage::Starting {
            self.enter(Stage::InService);
        }
    }

    /// Takes the process out of service. Repeated, it changes nothing.
    ///
    /// # Errors
    /// [`ShuttingDown`], and the stage stays.
    pub fn take_out_of_service(&self) -> Result<(), ShuttingDown> {
        if self.stage() == Stage::ShuttingDown {
            return Err(ShuttingDown);
        }
        self.enter(Stage::OutOfService);
        Ok(())
    }

    /// Takes the process back into service. Repeated, it changes nothing.
    ///
    /// # Errors
    /// [`ShuttingDown`], and the stage stays.
    pub fn return_to_service(&self) -> Result<(), ShuttingDown> {
        match self.stage() {
            Stage::ShuttingDown => Err(ShuttingDown),
            Stage::OutOfService if self.is_ready.get() => {
                self.enter(Stage::InService);
                Ok(())
            }
            Stage::OutOfService => {
                self.enter(Stage::Starting);
                Ok(())
            }
            Stage::Starting | Stage::InService => Ok(()),
        }
    }

    /// Begins the shutdown.
    pub fn shut_down(&self, times: ShutdownTimes) {
        self.shutdown.set(Some(times));
        self.enter(Stage::ShuttingDown);
    }

    /// Returns the time until the last answer is due, which no request may outlast; `None` before
    /// the shutdown.
    #[must_use]
    pub fn remaining_time(&self) -> Option<Duration> {
        let shutdown = self.shutdown.get()?;
        let remaining = shutdown
            .last_answer_at
            .saturating_duration_since(Instant::now());
        Some(remaining)
    }

    /// Returns when the process ends; `None` before the shutdown.
    #[must_use]
    pub fn process_end(&self) -> Option<Instant> {
        self.shutdown.get().map(|times| times.process_end)
    }

    /// Returns when a client connection that is idle from `idle_since` on is closed: after a grace period, and before
    /// the last answers are due. `None` unless the proxy drains.
    #[must_use]
    pub fn idle_close_at(&self, idle_since: Instant) -> Option<Instant> {
        if !self.is_draining() {
            return None;
        }
        let grace_end = idle_since + IDLE_GRACE_PERIOD;
        match self.shutdown.get() {
            None => Some(grace_end),
            Some(times) => Some(grace_end.min(times.last_answer_at - IDLE_CLOSE_MARGIN)),
        }
    }

    /// Changes the stage and notifies the subscribers, unless it stays the same.
    fn enter(&self, next: Stage) {
        self.stage.send_if_modified(|stage| {
            let is_change = *stage != next;
            *stage = next;
            is_change
        });
    }
}

#[cfg(test)]
mod tests;
