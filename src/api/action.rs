//! The output of a balancer: what its proxy is to do.

use super::{BackendId, Micros, RequestId};
use std::fmt;

/// What a balancer's proxy is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// When the attempt times out.
        deadline: Micros,
        /// A request that is not written whole by then must not be sent: its idempotency key expires. (Real sockets
        /// only.)
        write_deadline: Option<Micros>,
    },
    /// Final answer: rejected, and a retry by the client is harmless, whatever the cause of the rejection.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries; 0: not said.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Ask for [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Time from now.
        after: Micros,
        /// Comes back with the timer.
        token: u32,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
    /// Send a backend a health check.
    HealthCheck(BackendId),
    /// Close this proxy's idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Write an event to the log.
    Log(LogEvent),
}

/// A decision that operators read in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A backend whose requests fail is ejected.
    Ejected {
        /// The backend.
        backend: BackendId,
        /// How long it gets no request.
        duration: Micros,
    },
    /// An attempt on an ejected backend ended without a failure: it takes requests again.
    Readmitted {
        /// The backend.
        backend: BackendId,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ejected { backend, .. } => {
                write!(f, "ejected backend {backend}: its requests fail")
            }
            Self::Readmitted { backend } => {
                write!(f, "readmitted backend {backend} after a trial request")
            }
        }
    }
}
