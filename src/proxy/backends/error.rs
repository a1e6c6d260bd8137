//! The failures of an exchange with a backend.

use crate::api::Outcome;
use std::error::Error;
use std::io;

/// Why an attempt or a health check has no usable response.
#[derive(Debug, thiserror::Error)]
pub(super) enum BackendError {
    /// Every socket that this proxy may hold to backends is in use.
    #[error("all sockets for backends are in use")]
    SocketLimit,
    /// This proxy is out of descriptors, ports or memory.
    #[error("out of local resources for a connection")]
    LocalResources(#[source] io::Error),
    /// The backend refused the connection or could not be reached.
    #[error("failed to connect")]
    Connect(#[source] io::Error),
    /// The connection was not established in time.
    #[error("connect timed out")]
    ConnectTimeout,
    /// The connection ended before it could take a request.
    #[error("connection ended before it was ready for a request")]
    Handshake(#[source] hyper::Error),
    /// The connection broke during the exchange.
    #[error("connection broke during the exchange")]
    Connection(#[source] hyper::Error),
    /// The response cannot be parsed.
    #[error("malformed response")]
    Malformed(#[source] hyper::Error),
    /// The head of the response announces a body that cannot become a complete response.
    #[error("response cannot become complete")]
    UnusableHead,
    /// The deadline passed.
    #[error("timed out")]
    TimedOut,
    /// The attempt was cancelled or its request is over.
    #[error("cancelled")]
    Cancelled,
}

impl BackendError {
    /// Returns whether the fault is this proxy's. Such a fault does not count against the backend, because healthy
    /// backends would be ejected for it.
    fn is_local(&self) -> bool {
        matches!(self, Self::SocketLimit | Self::LocalResources(_))
    }

    /// Returns whether the received bytes are not a usable response and cannot become one.
    pub(super) fn is_malformed(&self) -> bool {
        matches!(self, Self::Malformed(_) | Self::UnusableHead)
    }

    /// Returns whether the exchange took too long.
    pub(super) fn is_timeout(&self) -> bool {
        matches!(self, Self::TimedOut)
    }

    /// Returns whether the exchange was cancelled.
    pub(super) fn is_cancelled(&self) -> bool {
        matches!(self, Self::Cancelled)
    }

    /// Returns the outcome of an attempt that got no connection.
    pub(super) fn connect_outcome(&self) -> Outcome {
        if self.is_local() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Classifies an error of a connect as the backend's or this proxy's.
    pub(super) fn from_connect(error: io::Error) -> Self {
        use io::ErrorKind::*;
        match error.kind() {
            ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut | NotConnected
            | HostUnreachable | NetworkUnreachable => Self::Connect(error),
            _ => Self::LocalResources(error),
        }
    }
}

impl From<hyper::Error> for BackendError {
    /// Classifies an error of the HTTP library during an exchange.
    fn from(error: hyper::Error) -> Self {
        if error.is_parse() || has_unreadable_body(&error) {
            Self::Malformed(error)
        } else {
            Self::Connection(error)
        }
    }
}

/// Returns whether the error is a body that cannot be decoded. For a chunked body, only the kind of its source shows
/// this.
fn has_unreadable_body(error: &hyper::Error) -> bool {
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| {
        matches!(
            cause.kind(),
            io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
        )
    })
}
