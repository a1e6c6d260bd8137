//! The monotonic clock for the times of all events, in microseconds since the Unix epoch.

use crate::api::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLI: Micros = 1_000;

/// A clock that starts at the system time and then follows the monotonic clock, so that steps of the system time do not
/// affect it.
///
/// The clock's times count from the Unix epoch because backends may have started before this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// The Unix time at `origin`, in microseconds.
    origin_unix: Micros,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    #[must_use]
    pub fn start() -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            origin: Instant::now(),
            origin_unix: micros(unix_time),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.origin_unix + micros(self.origin.elapsed())
    }

    /// Converts an instant of the runtime to a time of this clock, in microseconds since the Unix epoch. An instant
    /// before the start of the clock is converted to the start.
    #[must_use]
    pub fn to_micros(self, instant: Instant) -> Micros {
        self.origin_unix + micros(instant.saturating_duration_since(self.origin))
    }

    /// Converts a time of this clock to an instant of the runtime. A time before the start of the clock is converted to
    /// the start.
    #[must_use]
    pub fn to_instant(self, time: Micros) -> Instant {
        self.origin + Duration::from_micros(time.saturating_sub(self.origin_unix))
    }

    /// Converts the start time of a backend from Unix milliseconds. Returns `None` for 0: the backend started long ago.
    ///
    /// A start time in the future is replaced by the current time, because the clock of another machine may be ahead.
    #[must_use]
    pub fn start_time(&self, unix_ms: u64) -> Option<Micros> {
        if unix_ms == 0 {
            return None;
        }
        let unix = unix_ms.saturating_mul(MICROS_PER_MILLI);
        Some(unix.min(self.now()))
    }
}

fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
