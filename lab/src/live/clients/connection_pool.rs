//! Pool of idle client connections to one address.

use crate::live::http::{self, HttpError};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::SendRequest;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Idle time after which a connection is not reused, because the proxy may close it at any moment.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pool of idle connections to one address.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Empty<Bytes>>,
    idle_since: Instant,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < IDLE_TIMEOUT
    }
}

impl ConnectionPool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Returns the address of the connections.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the most recently used connection, or opens one if no idle connection is usable.
    pub(super) async fn take(&self) -> Result<SendRequest<Empty<Bytes>>, HttpError> {
        match self.take_idle() {
            Some(sender) => Ok(sender),
            None => http::connect(self.address).await,
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Empty<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(IdleConnection::is_usable);
        let connection = idle.pop()?;
        Some(connection.sender)
    }

    /// Puts a connection back after its response has been read.
    pub(super) fn put_back(&self, sender: SendRequest<Empty<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(IdleConnection {
            sender,
            idle_since: Instant::now(),
        });
    }
}
