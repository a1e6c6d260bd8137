//! The request that the attempts send to backends, and the result of an attempt.

use crate::api::Outcome;
use crate::proxy::bodies::{CallBody, ServedBody};
use crate::proxy::client_presence::ClientPresence;
use crate::proxy::correlation_ids::ExecutionRecord;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The header with the id that the client gave a request. Each attempt forwards it.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");

/// Notifies the attempts of a request that the request has ended: the client disconnected before it had a response, or
/// the latest time of the final answer has passed, even if a streamed response has begun. A complete response does not
/// set this flag. The balancer cancels a single attempt through a separate channel.
#[derive(Debug, Default)]
pub struct RequestEnded {
    has_ended: Cell<bool>,
    changed: Notify,
}

impl RequestEnded {
    /// Marks the request as ended. Repeated calls have no effect.
    pub fn set(&self) {
        self.has_ended.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until the request has ended.
    pub async fn wait(&self) {
        while !self.has_ended.get() {
            self.changed.notified().await;
        }
    }
}

/// A client's request in the form in which it is sent to backends. All attempts of the request send the same call. The
/// calls of operators and the calls to discovery have types of their own.
#[derive(Debug)]
pub struct Call {
    /// The client's method.
    pub method: Method,
    /// The client's path and query, unchanged.
    pub target: Uri,
    /// The client's end-to-end headers.
    pub headers: HeaderMap,
    /// The client's body, unchanged.
    pub body: CallBody,
    /// Whether it would be noticed that the client disconnects.
    pub presence: Rc<ClientPresence>,
    /// Records that the request may run; `None` for a request that no client sent.
    pub executions: Option<ExecutionRecord>,
    /// Set when the request ends. An attempt whose request is not completely written at that time is abandoned.
    pub request_ended: RequestEnded,
}

impl Call {
    /// Returns the client's id of the request, or an empty string if it is not visible ASCII.
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
pub struct ServedResponse {
    /// The body, unchanged.
    pub body: ServedBody,
    /// The value of the `Content-Type` header; `None` if the response has no such header.
    pub content_type: Option<HeaderValue>,
}

impl ServedResponse {
    /// Returns whether the response has ended before it was complete, so that it cannot be served any more unless a part
    /// of it has been sent.
    #[must_use]
    pub fn has_broken_off(&self) -> bool {
        match &self.body {
            ServedBody::Buffered(_) => false,
            ServedBody::Streamed(streamed) => streamed.has_broken_off(),
        }
    }
}

/// The result of an attempt or a health check.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome that is reported to the balancer.
    pub outcome: Outcome,
    /// The response if the outcome is [`Outcome::Ok`] and the response was not streamed; otherwise `None`.
    pub served: Option<ServedResponse>,
    /// The load report of the response, with its fields in the order of the settings; empty if there was none.
    pub load_report: Vec<f32>,
    /// Whether a part of the request's body was forwarded and is no longer in memory, so that the body cannot be sent
    /// again.
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
