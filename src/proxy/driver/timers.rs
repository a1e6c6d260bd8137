//! The driver's timers, in the order in which they are due: those that the balancer sets, and the latest times of
//! final answers.

use crate::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer that the driver holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DriverTimer {
    /// The balancer is given the timer event of this token.
    Balancer(u32),
    /// The request fails unless it has been answered.
    FinalAnswer(RequestId),
}

/// All timers that are set. A timer can't be cancelled: its handler ignores what has ended meanwhile.
#[derive(Debug, Default)]
pub(super) struct DriverTimers(BinaryHeap<Reverse<(Micros, DriverTimer)>>);

impl DriverTimers {
    /// Sets a timer, which is due at `due` of the proxy's clock.
    pub(super) fn set(&mut self, due: Micros, timer: DriverTimer) {
        self.0.push(Reverse((due, timer)));
    }

    /// Returns when the next timer is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns the next timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<DriverTimer> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}

#[cfg(test)]
mod tests;
