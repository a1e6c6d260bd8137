//! The errors of connecting to a backend and of an exchange with it.

use crate::api::Outcome;
use crate::proxy::size_limits::MAX_FORWARDED_BODY_BYTES;
use std::error::Error;
use std::io;

/// Why an attempt or a health check has no usable response.
#[derive(Debug, thiserror::Error)]
pub(super) enum BackendError {
    /// Every socket that this proxy may hold to backends is in use.
    #[error("all {max_sockets} sockets to backends are in use")]
    SocketLimit {
        /// The largest number of sockets to backends that may be open at a time.
        max_sockets: usize,
    },
    /// The proxy is out of descriptors, ports or memory.
    #[error("the proxy lacks descriptors, ports or memory for a connection: {0}")]
    LocalResources(#[source] io::Error),
    /// The backend refused the connection or could not be reached.
    #[error("cannot connect to the backend: {0}")]
    Connect(#[source] io::Error),
    /// The connection was not established by the deadline.
    #[error("no connection to the backend by the deadline")]
    ConnectTimeout,
    /// The connection ended before it could take a request.
    #[error("connection ended before it was ready for a request: {0}")]
    Handshake(#[source] hyper::Error),
    /// The connection broke during the exchange.
    #[error("connection broke during the exchange: {0}")]
    Connection(#[source] hyper::Error),
    /// The response cannot be parsed.
    #[error("malformed response: {0}")]
    Malformed(#[source] hyper::Error),
    /// The head of the response announces a protocol switch, a body without an end, or a body that is too large.
    #[error(
        "response head announces a protocol switch, a body without an end or a body of more than \
         {MAX_FORWARDED_BODY_BYTES} bytes"
    )]
    UnusableHead,
    /// The deadline passed before the response was complete or began to be relayed.
    #[error("no response by the deadline")]
    TimedOut,
    /// The balancer cancelled the attempt, the request ended, or the write deadline passed.
    #[error("attempt was cancelled, or its request must no longer be sent")]
    Cancelled,
}

impl BackendError {
    /// Returns whether the proxy itself caused the error. A fault of the proxy does not count against the backend,
    /// because healthy backends would be ejected for it.
    fn is_local(&self) -> bool {
        matches!(self, Self::SocketLimit { .. } | Self::LocalResources(_))
    }

    /// Returns whether the received bytes are not a usable response and cannot become one.
    pub(super) fn is_malformed(&self) -> bool {
        matches!(self, Self::Malformed(_) | Self::UnusableHead)
    }

    /// Returns whether the exchange was not complete by its deadline.
    pub(super) fn is_timeout(&self) -> bool {
        matches!(self, Self::TimedOut)
    }

    /// Returns whether the attempt was cancelled or its request must no longer be sent.
    pub(super) fn is_cancelled(&self) -> bool {
        matches!(self, Self::Cancelled)
    }

    /// Returns the outcome of an attempt or health check for which no connection was established.
    pub(super) fn connect_outcome(&self) -> Outcome {
        if self.is_local() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Classifies a connect error: caused by the backend, or by a lack of resources in this proxy.
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
    /// Classifies an error that hyper returns during an exchange.
    fn from(error: hyper::Error) -> Self {
        if error.is_parse() || has_unreadable_body(&error) {
            Self::Malformed(error)
        } else {
            Self::Connection(error)
        }
    }
}

/// Returns whether the error is that a body cannot be decoded. hyper does not report this for a chunked body as a parse
/// error: only the kind of the source error shows it.
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
