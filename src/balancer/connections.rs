//! Idle connections: the time for which a connection may be idle and still be used for an attempt.
//!
//! The balancer does not see the sockets. It estimates the idle time of each connection from the attempts in flight.
//!
//! Deviation: a middlebox between this proxy and a backend may drop an idle connection without notice. A connection
//! that has been idle for longer than the trusted idle time is therefore closed before the next attempt. The trusted
//! idle time starts at the idle timeout, and is reduced whenever a request gets no response on an idle connection.

use super::time::SECOND;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// Maximum idle time at which a connection is not suspected to have caused the loss of a request: middleboxes do not
/// drop idle connections so soon.
const MIN_SUSPECT_IDLE: Micros = SECOND / 2;
/// Trusted idle time after a lost request, as a fraction of the time for which its connection had been idle.
const TRUSTED_IDLE_BACKOFF: f64 = 0.5;
/// Time in which the trusted idle time doubles.
const TRUSTED_IDLE_DOUBLING_TIME: Micros = 60 * SECOND;

/// Trusted idle time: the time for which a connection may be idle and still be trusted to deliver a request.
pub(crate) struct TrustedIdleTime {
    /// Trusted idle time at `updated_at`, microseconds.
    trusted_idle: f64,
    updated_at: Micros,
}

impl TrustedIdleTime {
    /// Returns a trusted idle time that starts at the idle timeout of connections.
    pub(crate) fn new(idle_timeout: Micros, now: Micros) -> Self {
        Self {
            trusted_idle: idle_timeout as f64,
            updated_at: now,
        }
    }

    /// Reports whether a connection that has been idle for the time `idle` should be closed instead of used.
    pub(crate) fn exceeds_trusted_idle(&self, now: Micros, idle: Micros) -> bool {
        idle > MIN_SUSPECT_IDLE && idle as f64 > self.trusted_idle(now)
    }

    /// Records that a request got no response on a connection that had been idle for the time `idle`. Reports whether
    /// the loss is attributed to the connection instead of the backend.
    pub(crate) fn record_lost_request(&mut self, now: Micros, idle: Micros) -> bool {
        if idle <= MIN_SUSPECT_IDLE {
            return false;
        }
        let safe_idle = (idle as f64 * TRUSTED_IDLE_BACKOFF).max(MIN_SUSPECT_IDLE as f64);
        self.trusted_idle = self.trusted_idle(now).min(safe_idle);
        self.updated_at = now;
        true
    }

    /// Returns the trusted idle time at `now`, in microseconds.
    fn trusted_idle(&self, now: Micros) -> f64 {
        let doublings = (now - self.updated_at) as f64 / TRUSTED_IDLE_DOUBLING_TIME as f64;
        self.trusted_idle * doublings.exp2()
    }
}

/// Estimated time of the last use of each connection from this proxy to one backend.
///
/// An attempt uses the connection with the lowest number that can carry one more request, so connections with high
/// numbers are idle longest. In all methods, `in_flight` is the number of attempts in flight at the backend and
/// `per_connection` the number of requests that one connection carries at the same time.
#[derive(Default)]
pub(crate) struct ConnectionIdleTimes {
    /// Time of the last use of each connection, by connection number.
    used_at: Vec<Micros>,
}

impl ConnectionIdleTimes {
    /// Removes all connections.
    pub(crate) fn clear(&mut self) {
        self.used_at.clear();
    }

    /// Assigns a connection to the next attempt and returns the time for which the connection has been idle, which is 0
    /// for a new connection and for one that carries other attempts.
    pub(crate) fn take(&mut self, now: Micros, in_flight: u32, per_connection: u32) -> Micros {
        let number = connection_number(in_flight, per_connection);
        let used_at = self.used_at.get(number).copied().unwrap_or(now);
        if number >= self.used_at.len() {
            self.used_at.push(now);
        }
        let is_unused = in_flight % per_connection == 0;
        if is_unused { now - used_at } else { 0 }
    }

    /// Removes the connections that are idle, except the one that the next attempt uses.
    pub(crate) fn close_idle(&mut self, in_flight: u32, per_connection: u32) {
        let number = connection_number(in_flight, per_connection);
        self.used_at.truncate(number + 1);
    }

    /// Records the end of an attempt. `in_flight` no longer includes this attempt.
    pub(crate) fn release(&mut self, now: Micros, in_flight: u32, per_connection: u32) {
        let number = connection_number(in_flight, per_connection);
        if let Some(used_at) = self.used_at.get_mut(number) {
            *used_at = now;
        }
    }
}

/// Returns the number of the connection, counted from 0, that the next attempt uses.
fn connection_number(in_flight: u32, per_connection: u32) -> usize {
    (in_flight / per_connection) as usize
}
