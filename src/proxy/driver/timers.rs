//! The driver's timers, ordered by the time at which they are due: the timers that the balancer sets, and the timers of
//! final answers.

use crate::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer of the driver, named by what it triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DriverTimer {
    /// Notifies the balancer with a timer event that has this token.
    Balancer(u32),
    /// Fails the request unless it has been answered.
    FinalAnswer(RequestId),
}

/// All timers that are set. A timer cannot be cancelled. A handler ignores a timer that is no longer needed.
#[derive(Debug, Default)]
pub(super) struct DriverTimers(BinaryHeap<Reverse<(Micros, DriverTimer)>>);

impl DriverTimers {
    /// Sets a timer that fires at `due` on the proxy's clock.
    pub(super) fn set(&mut self, due: Micros, timer: DriverTimer) {
        self.0.push(Reverse((due, timer)));
    }

    /// Returns the time at which the next timer is due; `None` if no timer is set.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns the earliest timer that is due at or before `now`; `None` if no timer is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<DriverTimer> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}

#[cfg(test)]
mod tests;
