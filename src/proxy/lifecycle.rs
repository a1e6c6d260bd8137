//! The life of the process. Whoever wants to know whether it serves asks here: `/up`, the operators' calls,
//! the clients' connections and the end of the program.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long a connection that clients hold may still bring a request once the process is to be left alone.
/// Closed sooner, it would often cross one that is on its way.
const DRAIN_GRACE: Duration = Duration::from_millis(1_500);
/// Connections on which nothing happens are closed this long before the last answers are due: a request that
/// comes on one until then still gets its answer.
const CLOSED_BEFORE: Duration = Duration::from_millis(100);

/// How far the process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It can't serve yet.
    Starting,
    /// It serves.
    InService,
    /// An operator has taken it out of service: it serves what comes, and each answer closes its connection.
    OutOfService,
    /// It was told to end: as out of service, and for good.
    Stopping,
}

/// The process is on its way out, so that it can't be taken in or out of service any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IsStopping;

/// The one state machine.
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    /// A list of backends is held and clients are accepted.
    can_serve: Cell<bool>,
    /// The times of its end, once it was told to end.
    shutdown: Cell<Option<ShutdownTimes>>,
}

/// How a process ends.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// What comes from now on is answered by then: later, the process may be killed.
    pub answers_by: Instant,
    /// It ends then, whatever is open.
    pub ends_at: Instant,
}

impl Lifecycle {
    /// A process that starts.
    #[must_use]
    pub fn start() -> Rc<Self> {
        let stage = watch::Sender::new(Stage::Starting);
        Rc::new(Self {
            stage,
            can_serve: Cell::new(false),
            shutdown: Cell::new(None),
        })
    }

    /// How far it is.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Tells of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Whether new requests are welcome.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.stage() == Stage::InService
    }

    /// Whether clients are to leave.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        matches!(self.stage(), Stage::OutOfService | Stage::Stopping)
    }

    /// It can serve from now on.
    pub fn can_serve(&self) {
        self.can_serve.set(true);
        self.transition(|stage| {
            if stage == Stage::Starting {
                Stage::InService
            } else {
                stage
            }
        });
    }

    /// An operator empties the proxy. Said again it changes nothing.
    ///
    /// # Errors
    /// Where the process ends anyway.
    pub fn take_out(&self) -> Result<(), IsStopping> {
        self.transition(|stage| {
            if stage == Stage::Stopping {
                stage
            } else {
                Stage::OutOfService
            }
        });
        self.is_not_stopping()
    }

    /// The end of the drain. Said again it changes nothing.
    ///
    /// # Errors
    /// Where the process ends.
    pub fn take_in(&self) -> Result<(), IsStopping> {
        let back = if self.can_serve.get() {
            Stage::InService
        } else {
            Stage::Starting
        };
        self.transition(|stage| {
            if stage == Stage::OutOfService {
                back
            } else {
                stage
            }
        });
        self.is_not_stopping()
    }

    /// The process was told to end.
    pub fn stop(&self, times: ShutdownTimes) {
        self.shutdown.set(Some(times));
        self.transition(|_| Stage::Stopping);
    }

    /// How long a request that comes now may take at the most: none outlives the process.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        self.shutdown
            .get()
            .map(|times| times.answers_by.saturating_duration_since(Instant::now()))
    }

    /// When the process ends, if it was told to.
    #[must_use]
    pub fn ends_at(&self) -> Option<Instant> {
        self.shutdown.get().map(|times| times.ends_at)
    }

    /// When a connection is closed on which nothing happens from now on, if clients are to leave.
    #[must_use]
    pub fn closes_at(&self) -> Option<Instant> {
        let (now, last) = (
            Instant::now(),
            self.shutdown
                .get()
                .map(|times| times.answers_by - CLOSED_BEFORE),
        );
        self.is_leaving()
            .then(|| last.map_or(now + DRAIN_GRACE, |last| last.min(now + DRAIN_GRACE)))
    }

    fn is_not_stopping(&self) -> Result<(), IsStopping> {
        if self.stage() == Stage::Stopping {
            Err(IsStopping)
        } else {
            Ok(())
        }
    }

    fn transition(&self, next: impl Fn(Stage) -> Stage) {
        self.stage.send_if_modified(|stage| {
            let before = std::mem::replace(stage, next(*stage));
            before != *stage
        });
    }
}

#[cfg(test)]
mod tests;
