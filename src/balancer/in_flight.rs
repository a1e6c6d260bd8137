//! Attempts in flight at one backend, and whether the backend still serves them. An attempt that ends with an error or
//! a rejection does not count as served.

use crate::api::Micros;

#[cfg(test)]
mod tests;

/// Attempts in flight at one backend.
#[derive(Default)]
pub(crate) struct InFlight {
    count: u32,
    /// Time after which each attempt in flight is overdue.
    overdue_at: Vec<Micros>,
    /// Latest send time of all attempts that were served.
    latest_served_sent_at: Micros,
    /// Time since which the backend has had attempts in flight without serving any.
    unserved_since: Micros,
}

impl InFlight {
    /// Returns the state of a backend that was just added.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            unserved_since: now,
            ..Self::default()
        }
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Adds an attempt that is sent at `now` and is overdue after `overdue_at`.
    pub(crate) fn start(&mut self, now: Micros, overdue_at: Micros) {
        if self.count == 0 {
            self.unserved_since = now;
        }
        self.overdue_at.push(overdue_at);
        self.count += 1;
    }

    /// Removes an attempt that has ended with any outcome. `overdue_at` is the time that was passed to
    /// [`start`](Self::start).
    pub(crate) fn end(&mut self, overdue_at: Micros) {
        self.count = self.count.saturating_sub(1);
        let position = self.overdue_at.iter().position(|&at| at == overdue_at);
        if let Some(position) = position {
            self.overdue_at.swap_remove(position);
        }
    }

    /// Records that the backend served an attempt that was sent at `sent_at`.
    pub(crate) fn record_response(&mut self, now: Micros, sent_at: Micros) {
        self.unserved_since = now;
        self.latest_served_sent_at = self.latest_served_sent_at.max(sent_at);
    }

    /// Reports whether the backend has had attempts in flight for longer than `timeout` without serving any.
    pub(crate) fn is_unresponsive(&self, now: Micros, timeout: Micros) -> bool {
        self.count > 0 && now > self.unserved_since + timeout
    }

    /// Reports whether the backend has served an attempt since `time`, which must be the send time of an attempt that
    /// is still in flight.
    pub(crate) fn has_served_since(&self, time: Micros) -> bool {
        self.unserved_since > time
    }

    /// Returns the number of overtaken attempts, as the module documentation of `latency` defines them: those that were
    /// overdue already when the backend was sent an attempt that it has served.
    pub(crate) fn overtaken_count(&self) -> usize {
        let is_overtaken = |&&at: &&Micros| at < self.latest_served_sent_at;
        self.overdue_at.iter().filter(is_overtaken).count()
    }

    /// Returns the number of attempts in flight that are not overdue.
    pub(crate) fn not_overdue_count(&self, now: Micros) -> u32 {
        self.overdue_at.iter().filter(|&&at| at >= now).count() as u32
    }
}
