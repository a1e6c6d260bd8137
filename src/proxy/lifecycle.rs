//! The lifecycle of the process: starting, in service, out of service, shutting down.
//!
//! The health check `/up`, the operators' calls, the client connections and the shutdown share one state machine.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time for which an idle client connection stays open while the proxy drains. After a shorter time, a connection would
/// often be closed while a request of its client is in transit.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(1_500);
/// Time before the last answer of a shutdown by which idle client connections are closed. A request that
/// arrives on such a connection just before the close is still answered.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(100);

/// A stage in the lifecycle of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The proxy has no endpoint list yet and cannot serve requests.
    Starting,
    /// The proxy serves requests, and its health check succeeds.
    InService,
    /// An operator took the proxy out of service. It still serves requests that arrive, and each response closes its
    /// connection.
    OutOfService,
    /// The process is shutting down. It behaves as out of service and cannot return to service.
    ShuttingDown,
}

/// The error of a stage change that is refused because the process is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the process is shutting down")]
pub struct ShuttingDown;

/// The deadlines of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// The time at which the shutdown began.
    pub began_at: Instant,
    /// The time by which requests that arrive during the shutdown must be answered. The process may be killed after it.
    pub last_answer_at: Instant,
    /// The time after which the process ends unless a response is in progress, even if connections are still open.
    pub drain_ends_at: Instant,
}

/// The state machine of the process, shared by all parts of the proxy.
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    /// Whether the proxy has an endpoint list, which may be empty.
    is_ready: Cell<bool>,
    /// The deadlines of the shutdown, or `None` before it begins.
    shutdown: Cell<Option<ShutdownTimes>>,
}

impl Lifecycle {
    /// Creates the lifecycle of a process in the stage [`Stage::Starting`].
    #[must_use]
    pub fn start() -> Rc<Self> {
        Rc::new(Self {
            stage: watch::Sender::new(Stage::Starting),
            is_ready: Cell::new(false),
            shutdown: Cell::new(None),
        })
    }

    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns a receiver that is notified of stage changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Returns whether the health check succeeds, so that new requests are sent to this proxy. Requests are served in
    /// every stage.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.stage() == Stage::InService
    }

    /// Returns whether the proxy drains: responses close their connections, and idle connections are closed.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        matches!(self.stage(), Stage::OutOfService | Stage::ShuttingDown)
    }

    /// Records that the proxy has an endpoint list. This ends the stage [`Stage::Starting`], but not a drain.
    pub fn mark_ready(&self) {
        self.is_ready.set(true);
        if self.stage() == Stage::Starting {
            self.enter(Stage::InService);
        }
    }

    /// Takes the process out of service. A repeated call has no effect.
    ///
    /// # Errors
    /// [`ShuttingDown`] if the process is shutting down; the stage stays unchanged.
    pub fn take_out_of_service(&self) -> Result<(), ShuttingDown> {
        if self.stage() == Stage::ShuttingDown {
            return Err(ShuttingDown);
        }
        self.enter(Stage::OutOfService);
        Ok(())
    }

    /// Returns the process to service, or to [`Stage::Starting`] if it has no endpoint list yet. A repeated call has no
    /// effect.
    ///
    /// # Errors
    /// [`ShuttingDown`] if the process is shutting down; the stage stays unchanged.
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

    /// Begins the shutdown with the given deadlines.
    pub fn shut_down(&self, times: ShutdownTimes) {
        self.shutdown.set(Some(times));
        self.enter(Stage::ShuttingDown);
    }

    /// Returns the remaining time in which every request must be answered, or `None` before the shutdown.
    #[must_use]
    pub fn remaining_time(&self) -> Option<Duration> {
        let shutdown = self.shutdown.get()?;
        let remaining = shutdown
            .last_answer_at
            .saturating_duration_since(Instant::now());
        Some(remaining)
    }

    /// Returns the deadlines of the shutdown, or `None` before it begins.
    #[must_use]
    pub fn shutdown_times(&self) -> Option<ShutdownTimes> {
        self.shutdown.get()
    }

    /// Returns the time at which a client connection that has been idle since `idle_since` is closed: after a grace
    /// period, but before the last answer is due. Returns `None` unless the proxy drains.
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

    /// Returns whether a response must close its connection. During a shutdown, one with further requests stays open for
    /// them, but no longer than an idle connection may.
    #[must_use]
    pub fn response_closes_connection(&self, has_further_request: impl FnOnce() -> bool) -> bool {
        let Some(times) = self.shutdown.get() else {
            return self.is_draining();
        };
        Instant::now() >= times.last_answer_at - IDLE_CLOSE_MARGIN || !has_further_request()
    }

    /// Changes the stage, and notifies the subscribers if it differs from the current one.
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
