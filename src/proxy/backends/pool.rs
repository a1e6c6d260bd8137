//! The pool of connections: idle ones are kept for the next attempt, and closed when they grow old.

use super::backend_connections::{BackendConnections, IdleConnection};
use super::connection::{Connection, Connector};
use super::error::BackendError;
use super::listed_backends::ListedBackends;
use crate::proxy::counters::Counters;
use crate::proxy::socket::Unread;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How often idle connections are checked for their age.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may take to become ready again after its response.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long before its idle timeout a connection is no longer used: the backend's clock started earlier.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The limits of a [`ConnectionPool`].
pub(super) struct PoolLimits {
    /// The most sockets to backends that are open at a time, idle ones too.
    pub(super) max_sockets: usize,
    /// How long a connect may take.
    pub(super) connect_timeout: Duration,
    /// How long backends keep an idle connection.
    pub(super) idle_timeout: Duration,
}

/// The connections to all listed backends.
pub(super) struct ConnectionPool {
    pub(super) listed_backends: ListedBackends,
    connector: Connector,
    max_sockets: usize,
    connect_timeout: Duration,
    /// How long a connection may be idle and still be used.
    max_idle: Duration,
}

impl ConnectionPool {
    pub(super) fn new(limits: PoolLimits, counters: Rc<Counters>) -> Self {
        let idle_timeout = limits.idle_timeout;
        Self {
            listed_backends: ListedBackends::default(),
            connector: Connector::new(counters),
            max_sockets: limits.max_sockets,
            connect_timeout: limits.connect_timeout,
            max_idle: idle_timeout
                .saturating_sub(IDLE_MARGIN)
                .max(idle_timeout / 2),
        }
    }

    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Closes connections that have been idle for too long, for as long as the proxy runs.
    pub(super) async fn sweep(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.listed_backends
                .for_each(|backend| backend.retain_idle(|idle| self.is_usable(idle)));
        }
    }

    /// Returns a clean connection that is past its delay for reuse, or a new one.
    ///
    /// # Errors
    /// Where no connection is established by the deadline.
    pub(super) async fn connection(
        &self,
        backend: &BackendConnections,
        deadline: Instant,
    ) -> Result<Connection, BackendError> {
        while let Some(idle) = self.take_idle(backend) {
            let reusable_at = idle.since + self.connector.stray_bytes().reuse_delay();
            if Instant::now() >= reusable_at {
                return Ok(idle.connection);
            }
            sleep_until(reusable_at.min(deadline)).await;
            if self.is_clean(&idle) {
                return Ok(idle.connection);
            }
        }
        self.connect(backend, deadline).await
    }

    /// Keeps a connection for the next attempt once it is ready again.
    pub(super) fn keep(&self, backend: &Rc<BackendConnections>, mut connection: Connection) {
        connection.end_request();
        let backend = Rc::clone(backend);
        tokio::task::spawn_local(async move {
            let ready = timeout(SETTLE_TIMEOUT, connection.ready()).await;
            if matches!(ready, Ok(Ok(()))) && backend.generation() == connection.generation {
                backend.push_idle(IdleConnection {
                    connection,
                    since: Instant::now(),
                });
            }
        });
    }

    /// Returns whether a connection is open and was not idle for too long.
    fn is_usable(&self, idle: &IdleConnection) -> bool {
        !idle.connection.is_closed() && idle.since.elapsed() < self.max_idle
    }

    /// Returns whether nothing has come in since its response: neither the backend's close nor stray bytes.
    fn is_clean(&self, idle: &IdleConnection) -> bool {
        if !self.is_usable(idle) || !idle.connection.is_ready() {
            return false;
        }
        let unread = idle.connection.unread();
        if unread == Unread::Bytes {
            self.connector.stray_bytes().record();
        }
        unread == Unread::Nothing
    }

    /// Takes the clean connection that was used last. The others may then grow old and be closed.
    fn take_idle(&self, backend: &BackendConnections) -> Option<IdleConnection> {
        while let Some(idle) = backend.pop_idle() {
            if self.is_clean(&idle) {
                return Some(idle);
            }
        }
        None
    }

    /// Makes room for one more socket. Returns false where every socket is in use.
    fn make_room(&self) -> bool {
        self.connector.open_sockets() < self.max_sockets || self.listed_backends.close_oldest_idle()
    }

    /// Connects to a backend, if there is room for another socket.
    async fn connect(
        &self,
        backend: &BackendConnections,
        deadline: Instant,
    ) -> Result<Connection, BackendError> {
        if !self.make_room() {
            return Err(BackendError::SocketLimit);
        }
        let connect_deadline = deadline.min(Instant::now() + self.connect_timeout);
        let address = backend.address();
        self.connector
            .connect(address, backend.generation(), connect_deadline)
            .await
            .inspect_err(|error| tracing::debug!(backend = %address, %error, "connecting failed"))
    }
}
