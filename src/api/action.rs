//! The output of a balancer: the actions that its proxy performs.

use super::{BackendId, Micros, RequestId};
use std::fmt;

/// An action that the proxy performs for its balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Request to send.
        request: RequestId,
        /// Backend to send the request to.
        backend: BackendId,
        /// Time at which the attempt times out.
        deadline: Micros,
        /// Time at which the request's idempotency key expires. The request must be written completely before this
        /// time, or else not be sent. `None` if it may be sent at any time. (Real sockets only.)
        write_deadline: Option<Micros>,
    },
    /// Give the client the final answer "rejected", which promises that a retry by the client is harmless.
    Reject {
        /// Request to reject.
        request: RequestId,
        /// Time for which the client should wait before it retries; 0 if none is stated.
        retry_after: Micros,
    },
    /// Give the client the final answer "failed". The request may have been executed.
    Fail {
        /// Request that failed.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u16,
    },
    /// Set a timer, which fires as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Time from now until the timer fires.
        after: Micros,
        /// Token that identifies the timer in that event.
        token: u32,
    },
    /// Subscribe to changes of the endpoint list at discovery.
    Subscribe,
    /// Send a health check to a backend.
    HealthCheck(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Log an event.
    Log(LogEvent),
}

/// An ejection or readmission of a backend, logged for operators.
///
/// `Display` gives the text that `tillerproxy-simhost` returns to the [simulator](crate::simulator); the proxy logs its
/// own message with fields instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A backend was ejected because its requests fail.
    Ejected {
        /// Ejected backend.
        backend: BackendId,
        /// Time for which the backend receives no requests.
        duration: Micros,
    },
    /// An ejected backend was readmitted: an attempt on it ended without a failure, so it receives requests again.
    Readmitted {
        /// Readmitted backend.
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
