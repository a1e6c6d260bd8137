//! What an attempt takes and returns.

use crate::api::Outcome;
use crate::proxy::bodies::{CallBody, ServedBody};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The id that a client gives a request, and that is forwarded with each attempt.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");

/// Notifies the attempts of a request that it is over: its client disconnected before it had a response, or the
/// latest time of its final answer has come, also where a streamed response had begun by then. A complete response
/// does not set it. An attempt that the balancer cancels is notified through a channel of its own.
#[derive(Debug, Default)]
pub struct RequestOver {
    is_over: Cell<bool>,
    changed: Notify,
}

impl RequestOver {
    /// Marks the request as over. Repeated, it changes nothing.
    pub fn set(&self) {
        self.is_over.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until the request is over.
    pub async fn wait(&self) {
        while !self.is_over.get() {
            self.changed.notified().await;
        }
    }
}

/// What is sent to a backend, the same at every attempt.
#[derive(Debug)]
pub struct Call {
    /// The client's method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// The client's headers that a proxy forwards.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: CallBody,
    /// An attempt that is not written completely when the request is over is not sent any more.
    pub over: RequestOver,
}

impl Call {
    /// Returns the client's id of the request; empty where it is no text.
    #[must_use]
    pub fn correlation_id(&self) -> &str {
        self.headers
            .get(CORRELATION_ID)
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
    }
}

/// A backend's 200 response.
#[derive(Debug)]
pub struct Served {
    /// Its body, unchanged.
    pub body: ServedBody,
    /// Its media type.
    pub content_type: Option<HeaderValue>,
}

/// When an attempt ends at the latest.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// The attempt times out.
    pub deadline: Instant,
    /// An attempt that is not written completely by then is not sent any more.
    pub write_deadline: Option<Instant>,
}

/// How an attempt or a health check ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The response, where the outcome is [`Outcome::Ok`] and it was not streamed.
    pub served: Option<Served>,
    /// The load report that came along, in the order of the settings; empty: none.
    pub load_report: Vec<f32>,
    /// Some of the request's body was forwarded and is not held any more, so it can't be sent again.
    pub body_consumed: bool,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            served: None,
            load_report: Vec::new(),
            body_consumed: false,
        }
    }
}
