//! The driver's timers, ordered by the time at which they are due: those that the balancer sets, and those of final
//! answers.

use crate::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer of the driver, and what is done when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DriverTimer {
    /// The balancer receives a timer event with this token.
    Balancer(u32),
    /// The request fails unless it has been answered.
    FinalAnswer(RequestId),
}

/// All timers that are set. A timer cannot be cancelled; its handler ignores it if it is no longer needed.
#[derive(Debug, Default)]
pub(super) struct DriverTimers(BinaryHeap<Reverse<(Micros, DriverTimer)>>);

impl DriverTimers {
    /// Sets a timer that fires at `due` on the proxy's clock.
    pub(super) fn set(&mut self, due: Micros, timer: DriverTimer) {
        self.0.push(Reverse((due, timer)));
    }

    /// Returns the time at which the next timer is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns the earliest timer that is due at or before `now`.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<DriverTimer> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}

#[cfg(test)]
mod tests;
