//! The attempts in flight at one backend, and whether it still serves them. Errors and rejections do not count as served.

use crate::api::Micros;

#[cfg(test)]
mod tests;

/// The attempts in flight at one backend.
#[derive(Default)]
pub(crate) struct InFlight {
    count: u32,
    /// When each of them is overdue.
    overdue_at: Vec<Micros>,
    /// Send time of the latest attempt that was served.
    last_answered_send: Micros,
    /// Since when the backend has had attempts in flight without having served any.
    unanswered_since: Micros,
}

impl InFlight {
    /// Returns the state of a backend that was just listed.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            unanswered_since: now,
            ..Self::default()
        }
    }

    /// Returns how many attempts are in flight.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Adds an attempt that is sent now.
    pub(crate) fn start(&mut self, now: Micros, overdue_at: Micros) {
        if self.count == 0 {
            self.unanswered_since = now;
        }
        self.overdue_at.push(overdue_at);
        self.count += 1;
    }

    /// Removes an attempt that has ended, however it ended.
    pub(crate) fn end(&mut self, overdue_at: Micros) {
        self.count = self.count.saturating_sub(1);
        let position = self.overdue_at.iter().position(|&at| at == overdue_at);
        if let Some(position) = position {
            self.overdue_at.swap_remove(position);
        }
    }

    /// Notes that the backend served an attempt that was sent at `sent_at`.
    pub(crate) fn record_response(&mut self, now: Micros, sent_at: Micros) {
        self.unanswered_since = now;
        self.last_answered_send = self.last_answered_send.max(sent_at);
    }

    /// Whether the backend has had attempts in flight for longer than `timeout` without having served any.
    pub(crate) fn is_unresponsive(&self, now: Micros, timeout: Micros) -> bool {
        self.count > 0 && now > self.unanswered_since + timeout
    }

    /// Whether the backend has served an attempt since `time`, the time at which an attempt was sent that is in flight.
    pub(crate) fn has_answered_since(&self, time: Micros) -> bool {
        self.unanswered_since > time
    }

    /// Counts overtaken attempts: the backend served one that was sent when they were overdue already.
    pub(crate) fn overtaken_count(&self) -> usize {
        let is_overtaken = |&&at: &&Micros| at < self.last_answered_send;
        self.overdue_at.iter().filter(is_overtaken).count()
    }

    /// Counts the attempts that are not overdue.
    pub(crate) fn not_overdue_count(&self, now: Micros) -> u32 {
        self.overdue_at.iter().filter(|&&at| at >= now).count() as u32
    }
}
