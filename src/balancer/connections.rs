//! Idle connections: how long one may have been idle and is still used.
//!
//! The decisions do not see the sockets. They estimate how long each connection has been idle from the attempts that were
//! in flight.
//!
//! Departure: something between this proxy and a backend may drop an idle connection unnoticed. A connection that was
//! idle for longer than is trusted is closed before the next attempt. The trusted time starts at the idle timeout and
//! is cut back at each request that got no response on an idle connection.

use super::time::SECOND;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// A connection that was idle for less is not to blame for a lost request: nothing drops idle connections so soon.
const MIN_SUSPECT_IDLE: Micros = SECOND / 2;
/// The trusted idle time after a lost request, as a part of the time that its connection had been idle.
const TRUSTED_IDLE_BACKOFF: f64 = 0.5;
/// The trusted idle time doubles in this time.
const TRUSTED_IDLE_DOUBLING: Micros = 60 * SECOND;

/// How long a connection may have been idle and is still trusted.
pub(crate) struct IdleTrust {
    trusted_idle: f64,
    updated_at: Micros,
}

impl IdleTrust {
    /// Trusts connections for their whole idle timeout.
    pub(crate) fn new(idle_timeout: Micros, now: Micros) -> Self {
        Self {
            trusted_idle: idle_timeout as f64,
            updated_at: now,
        }
    }

    /// Whether a connection that has been idle for so long is to be closed rather than used.
    pub(crate) fn is_suspect(&self, now: Micros, idle: Micros) -> bool {
        idle > MIN_SUSPECT_IDLE && idle as f64 > self.trusted_idle(now)
    }

    /// Notes that a request got no response on a connection that had been idle for so long. Returns whether the
    /// connection is to blame rather than the backend.
    pub(crate) fn record_lost_request(&mut self, now: Micros, idle: Micros) -> bool {
        if idle <= MIN_SUSPECT_IDLE {
            return false;
        }
        let safe_idle = (idle as f64 * TRUSTED_IDLE_BACKOFF).max(MIN_SUSPECT_IDLE as f64);
        self.trusted_idle = self.trusted_idle(now).min(safe_idle);
        self.updated_at = now;
        true
    }

    fn trusted_idle(&self, now: Micros) -> f64 {
        let doublings = (now - self.updated_at) as f64 / TRUSTED_IDLE_DOUBLING as f64;
        self.trusted_idle * doublings.exp2()
    }
}

/// When each of this proxy's connections to one backend was last in use.
///
/// Attempts take a backend's connections from the first on, so the last ones are idle longest.
#[derive(Default)]
pub(crate) struct ConnectionUse {
    used_at: Vec<Micros>,
}

impl ConnectionUse {
    /// Forgets all connections.
    pub(crate) fn clear(&mut self) {
        self.used_at.clear();
    }

    /// Takes the connection of the next attempt and returns how long it has been idle, as estimated; 0 for a new one and for one that
    /// carries other attempts.
    pub(crate) fn take(&mut self, now: Micros, in_flight: u32, per_connection: u32) -> Micros {
        let number = connection_number(in_flight, per_connection);
        let used_at = self.used_at.get(number).copied().unwrap_or(now);
        if number >= self.used_at.len() {
            self.used_at.push(now);
        }
        let is_unused = in_flight % per_connection == 0;
        if is_unused { now - used_at } else { 0 }
    }

    /// Forgets the connections that are idle while so many attempts are in flight, except the next one.
    pub(crate) fn close_idle(&mut self, in_flight: u32, per_connection: u32) {
        let number = connection_number(in_flight, per_connection);
        self.used_at.truncate(number + 1);
    }

    /// Notes that an attempt has ended, after which so many are in flight.
    pub(crate) fn release(&mut self, now: Micros, in_flight: u32, per_connection: u32) {
        let number = connection_number(in_flight, per_connection);
        if let Some(used_at) = self.used_at.get_mut(number) {
            *used_at = now;
        }
    }
}

fn connection_number(in_flight: u32, per_connection: u32) -> usize {
    (in_flight / per_connection) as usize
}
