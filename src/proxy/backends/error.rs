//! Why an attempt or a health check got no usable response.

use crate::api::Outcome;
use std::error::Error;
use std::io;

/// A failed exchange with a backend.
#[derive(Debug, thiserror::Error)]
pub(super) enum BackendError {
    /// Every socket that this proxy may hold to backends is in use.
    #[error("every socket for backends is in use")]
    SocketLimit,
    /// This proxy is out of descriptors, ports or memory.
    #[error("no local resources for a connection")]
    LocalResources(#[source] io::Error),
    /// The backend did not accept the connection.
    #[error("connecting failed")]
    Connect(#[source] io::Error),
    /// The connection was not established in time.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The connection ended before it took a request.
    #[error("the connection was not ready for requests")]
    Handshake(#[source] hyper::Error),
    /// The connection broke during the exchange.
    #[error("the connection broke")]
    Connection(#[source] hyper::Error),
    /// The response cannot be parsed.
    #[error("the response is malformed")]
    Malformed(#[source] hyper::Error),
    /// The head of the response announces a body that cannot become a complete response.
    #[error("the response cannot become complete")]
    UnusableHead,
    /// The deadline passed.
    #[error("timed out")]
    TimedOut,
    /// The attempt was cancelled.
    #[error("cancelled")]
    Cancelled,
}

impl BackendError {
    /// Returns whether the fault is this proxy's. It is reported of no backend: healthy ones would be ejected
    /// for it.
    fn is_local(&self) -> bool {
        matches!(self, Self::SocketLimit | Self::LocalResources(_))
    }

    /// Returns whether what came is not a response, and cannot become one.
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

    /// Classifies the failure of a connect.
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
    /// Classifies the failure of an exchange.
    fn from(error: hyper::Error) -> Self {
        if error.is_parse() || has_unreadable_body(&error) {
            Self::Malformed(error)
        } else {
            Self::Connection(error)
        }
    }
}

/// Returns whether a body cannot be decoded. For a chunked one, only the kind of the cause shows it.
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
