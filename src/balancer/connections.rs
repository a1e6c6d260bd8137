//! Idle connections: how long one may have been idle and is still used.

use super::{Balancer, SECOND};
use crate::api::{Action, Micros};
use crate::state::Stamped;

/// No shorter idle time is to blame for a lost request: nothing drops idle connections so soon.
const MIN_SUSPECT_IDLE: Micros = SECOND / 2;
/// The trusted idle time after one that lost a request, as a part of it; it doubles again within a minute.
const TRUSTED_IDLE_BACKOFF: f64 = 0.5;
const TRUSTED_IDLE_DOUBLING: Micros = 60 * SECOND;

impl Balancer {
    /// How long the connection that the next attempt on a server takes has been idle; 0 for a new one. The
    /// attempts of a server take its connections from the first on, so the last ones are idle longest.
    ///
    /// Departure: something between here and a server may drop an idle connection unseen. One that was idle
    /// for longer than is trusted is closed before the send. The trust starts at the idle limit and backs off
    /// at each request that got no answer on an idle one.
    pub(super) fn connection(
        &mut self,
        now: Micros,
        index: usize,
        out: &mut Vec<Action>,
    ) -> Micros {
        let multiplex = self.settings.permissions.requests_per_connection.max(1);
        let trusted = self.trusted_idle_time(now);
        let server = &mut self.servers[index];
        let number = (server.in_flight / multiplex) as usize;
        let used_at = server
            .connections_used_at
            .get(number)
            .copied()
            .unwrap_or(now);
        if number >= server.connections_used_at.len() {
            server.connections_used_at.push(now);
        }
        let idle = if server.in_flight % multiplex == 0 {
            now - used_at
        } else {
            0
        };
        if idle > MIN_SUSPECT_IDLE && idle as f64 > trusted {
            server.connections_used_at.truncate(number + 1);
            out.push(Action::CloseIdleConnections(server.id));
            return 0;
        }
        idle
    }

    pub(super) fn trusted_idle_time(&self, now: Micros) -> f64 {
        let doublings = (now - self.trusted_idle.at) as f64 / TRUSTED_IDLE_DOUBLING as f64;
        self.trusted_idle.value * doublings.exp2()
    }

    /// A request got no answer. Whether its connection, which had been idle, is to blame for it.
    pub(super) fn blame_idle_connection(&mut self, now: Micros, idle: Micros) -> bool {
        if idle <= MIN_SUSPECT_IDLE {
            return false;
        }
        let safe = (idle as f64 * TRUSTED_IDLE_BACKOFF).max(MIN_SUSPECT_IDLE as f64);
        self.trusted_idle = Stamped {
            value: self.trusted_idle_time(now).min(safe),
            at: now,
        };
        true
    }
}
