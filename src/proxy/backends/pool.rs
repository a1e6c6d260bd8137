//! The pool of connections: idle ones are kept for the next attempt, and closed when they grow old.

use super::connection::{ConnectError, Connection, SocketCount};
use super::fleet::{Endpoint, Fleet};
use crate::proxy::socket::Unread;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How often idle connections are looked through for old ones.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may take to become free again behind its answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that no attempt uses.
pub(super) struct Idle {
    connection: Connection,
    since: Instant,
}

impl Fleet {
    /// Closes connections that have stood idle for too long, for as long as the proxy runs.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for endpoint in self.endpoints.borrow().values() {
                endpoint
                    .idle
                    .borrow_mut()
                    .retain(|idle| self.is_usable(idle));
            }
        }
    }

    /// A clean connection that is past its delay for reuse, or a new one by `until`.
    pub(super) async fn connection(
        &self,
        endpoint: &Endpoint,
        until: Instant,
    ) -> Result<Connection, ConnectError> {
        while let Some(idle) = self.take_idle(endpoint) {
            let reusable_at = idle.since + self.stray_bytes.reuse_delay();
            if Instant::now() >= reusable_at {
                return Ok(idle.connection);
            }
            sleep_until(reusable_at.min(until)).await;
            if self.is_clean(&idle) {
                return Ok(idle.connection);
            }
        }
        self.dial(endpoint, until).await
    }

    /// Keeps a connection for the next attempt once it is free again.
    pub(super) fn keep(&self, endpoint: &Rc<Endpoint>, mut connection: Connection) {
        connection.wire.end_request();
        let endpoint = Rc::clone(endpoint);
        tokio::task::spawn_local(async move {
            let free = timeout(SETTLE_TIMEOUT, connection.sender.ready()).await;
            if matches!(free, Ok(Ok(()))) && endpoint.generation() == connection.generation {
                endpoint.idle.borrow_mut().push(Idle {
                    connection,
                    since: Instant::now(),
                });
            }
        });
    }

    fn is_usable(&self, idle: &Idle) -> bool {
        !idle.connection.sender.is_closed() && idle.since.elapsed() < self.idle_limit
    }

    /// Whether nothing has come in on it since its answer: neither the backend's close nor stray bytes.
    fn is_clean(&self, idle: &Idle) -> bool {
        if !self.is_usable(idle) || !idle.connection.sender.is_ready() {
            return false;
        }
        let unread = idle.connection.wire.socket.unread();
        if unread == Unread::Bytes {
            self.stray_bytes.record();
        }
        unread == Unread::Nothing
    }

    /// The clean connection that was used last. The others may then grow old and be closed.
    fn take_idle(&self, endpoint: &Endpoint) -> Option<Idle> {
        let mut all = endpoint.idle.borrow_mut();
        while let Some(idle) = all.pop() {
            if self.is_clean(&idle) {
                return Some(idle);
            }
        }
        None
    }

    /// Makes room for one more socket; false where every socket is in use.
    fn make_room(&self) -> bool {
        if self.sockets.get() < self.max_sockets {
            return true;
        }
        let endpoints = self.endpoints.borrow();
        let oldest = endpoints
            .values()
            .filter_map(|e| Some((e.idle.borrow().first()?.since, e)));
        let Some((_, endpoint)) = oldest.min_by_key(|(since, _)| *since) else {
            return false;
        };
        endpoint.idle.borrow_mut().remove(0);
        true
    }

    async fn dial(&self, endpoint: &Endpoint, until: Instant) -> Result<Connection, ConnectError> {
        if !self.make_room() {
            return Err(ConnectError::Local);
        }
        let count = SocketCount::new(&self.sockets);
        let until = until.min(Instant::now() + self.dial_timeout);
        let (stray_bytes, counters) = (Rc::clone(&self.stray_bytes), Rc::clone(&self.counters));
        Connection::dial(endpoint, until, count, stray_bytes, counters).await
    }
}
