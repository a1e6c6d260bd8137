//! The pool of connections: keeps idle ones for later attempts and closes those that have been idle for too long.
//!
//! An idle connection is *clean* if it may be used for another attempt: it is open and ready, has not been idle for too
//! long, and nothing has arrived on it since its last response, neither the backend's close nor stray bytes.

use super::backend_connections::{BackendConnections, IdleConnection};
use super::connection::{Connection, Connector};
use super::error::BackendError;
use super::listed_backends::ListedBackends;
use super::repeated_response::{Fingerprint, HOLD_TIME, RepeatTrust};
use super::response::ResponseHead;
use crate::proxy::bodies::BufferedBody;
use crate::proxy::budget::{Budget, SocketUse};
use crate::proxy::counters::Counters;
use crate::proxy::memory::MemoryUse;
use crate::proxy::size_limits::{BUFFERED_BODY_BYTES, MAX_BACKEND_HEAD_BYTES};
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Memory that a connection and the response on it take, at most.
const CONNECTION_BYTES: usize = 2 * MAX_BACKEND_HEAD_BYTES + BUFFERED_BODY_BYTES;
/// Interval between two sweeps for connections that have been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a response in which the connection must become ready for another request; the connection is closed
/// if it is not. Meanwhile it occupies one of the sockets, but can be neither used nor closed to make room.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time before the end of the backend's idle timeout at which the pool stops using an idle connection: the backend's
/// timeout starts earlier than the proxy's.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle time that a connection should have before it is used again, if there are several to choose from. It is longer
/// than the reuse delay, in case a second response arrives after that.
const PREFERRED_REST: Duration = Duration::from_millis(100);

/// The limits of a [`ConnectionPool`].
pub(super) struct PoolLimits {
    /// The longest time that connecting to a backend may take.
    pub(super) connect_timeout: Duration,
    /// Time for which backends keep an idle connection open.
    pub(super) idle_timeout: Duration,
}

/// The connections to all listed backends.
pub(super) struct ConnectionPool {
    pub(super) listed_backends: ListedBackends,
    connector: Connector,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    /// The longest time for which a connection may be idle and still be used.
    max_idle: Duration,
    repeat_trust: RepeatTrust,
}

impl ConnectionPool {
    pub(super) fn new(limits: PoolLimits, counters: Rc<Counters>, budget: Rc<Budget>) -> Self {
        let idle_timeout = limits.idle_timeout;
        Self {
            listed_backends: ListedBackends::default(),
            connector: Connector::new(counters, Rc::clone(&budget)),
            budget,
            connect_timeout: limits.connect_timeout,
            max_idle: idle_timeout
                .saturating_sub(IDLE_MARGIN)
                .max(idle_timeout / 2),
            repeat_trust: RepeatTrust::default(),
        }
    }

    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Closes connections that have been idle for too long. Never returns.
    pub(super) async fn sweep(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.listed_backends
                .for_each(|backend| backend.retain_idle(|idle| self.is_usable(idle)));
        }
    }

    /// Returns a clean idle connection after its reuse delay, or a new connection.
    ///
    /// If the only idle connection has been used too recently, another one is opened in the meantime, and the first one
    /// that can be used is returned.
    ///
    /// # Errors
    /// [`BackendError`] if no connection is established by the deadline.
    pub(super) async fn connection(
        self: &Rc<Self>,
        backend: &Rc<BackendConnections>,
        deadline: Instant,
    ) -> Result<Connection, BackendError> {
        while let Some(idle) = self.take_idle(backend) {
            let reusable_at = idle.since + self.connector.stray_bytes().reuse_delay();
            if Instant::now() >= reusable_at {
                return Ok(idle.connection);
            }
            let additional = self.open_additional(backend);
            tokio::select! {
                biased;
                () = sleep_until(reusable_at.min(deadline)) => {}
                Ok(connection) = additional => {
                    backend.add_idle(idle);
                    return Ok(connection);
                }
            }
            if self.is_clean(&idle) {
                return Ok(idle.connection);
            }
        }
        self.connect(backend, deadline).await
    }

    /// Opens a connection in a task of its own, unless there is no room for one or the task for an earlier one is still
    /// running. The connection is passed to the receiver, or kept as idle if the receiver has been dropped.
    fn open_additional(
        self: &Rc<Self>,
        backend: &Rc<BackendConnections>,
    ) -> oneshot::Receiver<Connection> {
        let (sender, receiver) = oneshot::channel();
        let has_room = backend.oldest_idle_since().is_none() && self.has_room();
        if has_room && let Some(opening) = backend.begin_opening() {
            let pool = Rc::clone(self);
            let backend = Rc::clone(backend);
            tokio::task::spawn_local(async move {
                let deadline = Instant::now() + pool.connect_timeout;
                if let Ok(connection) = pool.connect(&backend, deadline).await
                    && let Err(connection) = sender.send(connection)
                {
                    backend.add_idle(IdleConnection {
                        connection,
                        since: Instant::now(),
                    });
                }
                drop(opening);
            });
        }
        receiver
    }

    /// Returns whether a complete response that has just been received is a second response to an earlier request. A
    /// repeated response is held for that, at the longest until `deadline`.
    pub(super) async fn is_second_response(
        &self,
        connection: &mut Connection,
        head: &ResponseHead,
        body: &BufferedBody,
        deadline: Instant,
    ) -> bool {
        let Some(delay) = connection.record_response(Fingerprint::new(head, body)) else {
            return false;
        };
        let is_served = head.status == StatusCode::OK;
        if self.repeat_trust.is_trusted(is_served) {
            return false;
        }
        let held_until = deadline.min(Instant::now() + HOLD_TIME);
        let is_second = connection.is_followed_by(held_until).await;
        if is_second {
            connection.record_second_response(delay);
        } else {
            self.repeat_trust.record_genuine(is_served);
        }
        is_second
    }

    /// Keeps a connection as idle once it is ready for another request, or closes it if it belongs to an earlier
    /// generation.
    pub(super) fn keep(&self, backend: &Rc<BackendConnections>, mut connection: Connection) {
        connection.end_request();
        let backend = Rc::clone(backend);
        tokio::task::spawn_local(async move {
            let ready = timeout(READY_TIMEOUT, connection.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                backend.add_idle(IdleConnection {
                    connection,
                    since: Instant::now(),
                });
            }
        });
    }

    /// Returns whether a connection is open and has not been idle for too long.
    fn is_usable(&self, idle: &IdleConnection) -> bool {
        !idle.connection.is_closed() && idle.since.elapsed() < self.max_idle
    }

    /// Returns whether a connection is clean, as the module documentation defines it.
    fn is_clean(&self, idle: &IdleConnection) -> bool {
        self.is_usable(idle) && idle.connection.is_ready() && idle.connection.is_quiet()
    }

    /// Takes a clean connection; `None` if there is none. It is the most recently used one of those that have been idle
    /// for [`PREFERRED_REST`], so that connections that are not needed stay idle and are closed.
    fn take_idle(&self, backend: &BackendConnections) -> Option<IdleConnection> {
        while let Some(idle) = backend.take_idle(PREFERRED_REST) {
            if self.is_clean(&idle) {
                return Some(idle);
            }
        }
        None
    }

    /// Returns whether there is a socket and memory for another connection. There always is for a single one.
    fn has_room(&self) -> bool {
        self.budget
            .can_open(SocketUse::Backend, CONNECTION_BYTES, MemoryUse::Attempt)
    }

    /// Closes idle connections while more sockets are open than may be.
    pub(super) fn close_surplus(&self) {
        while self.budget.open_sockets(SocketUse::Backend)
            > self.budget.max_sockets(SocketUse::Backend)
            && self.listed_backends.close_oldest_idle()
        {}
    }

    /// Closes an idle connection if there is no room for another one. Returns whether another one may be opened; it may
    /// not if all are in use.
    fn make_room(&self) -> bool {
        self.has_room() || self.listed_backends.close_oldest_idle()
    }

    /// Connects to a backend.
    ///
    /// # Errors
    /// [`BackendError::SocketLimit`] if every socket is in use; otherwise the reason why connecting failed.
    async fn connect(
        &self,
        backend: &BackendConnections,
        deadline: Instant,
    ) -> Result<Connection, BackendError> {
        if !self.make_room() {
            return Err(BackendError::SocketLimit {
                max_sockets: self.budget.max_sockets(SocketUse::Backend),
            });
        }
        let connect_deadline = deadline.min(Instant::now() + self.connect_timeout);
        let address = backend.address();
        self.connector
            .connect(address, backend.generation(), connect_deadline)
            .await
            .inspect_err(|error| {
                tracing::debug!(backend = %address, %error, "connecting to the backend failed");
            })
    }
}
