//! Timers of the driver, in the order in which they are due.

use crate::api::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the balancer, by its token.
    Balancer(u32),
    /// The final answer to a request.
    FinalAnswer(RequestId),
}

/// All timers that are set.
#[derive(Debug, Default)]
pub(super) struct Timers(BinaryHeap<Reverse<(Micros, Timer)>>);

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, due: Micros, timer: Timer) {
        self.0.push(Reverse((due, timer)));
    }

    /// Returns when the next timer is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns the next timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}

#[cfg(test)]
mod tests;
