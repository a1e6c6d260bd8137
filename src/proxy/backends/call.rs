//! What an attempt takes and gives.

use crate::api::Outcome;
use crate::proxy::bodies::{AnswerBody, CallBody};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The id that a client gives a request, and that goes on with each attempt.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");

/// Whether a request is over: its client has left or has its final answer, or its time has ended.
#[derive(Debug, Default)]
pub struct CancelSignal {
    triggered: Cell<bool>,
    waiting: Notify,
}

impl CancelSignal {
    /// The request is over. Triggered again it changes nothing.
    pub fn trigger(&self) {
        self.triggered.set(true);
        self.waiting.notify_waiters();
    }

    /// Waits until the request is over.
    pub async fn triggered(&self) {
        while !self.triggered.get() {
            self.waiting.notified().await;
        }
    }
}

/// What goes to a backend, the same at every attempt.
#[derive(Debug)]
pub struct Call {
    /// The client's method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// The client's headers that pass through a proxy.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: CallBody,
    /// What is not written whole when this is triggered is not sent any more.
    pub cancel: CancelSignal,
}

impl Call {
    /// The client's id of the request; empty where it is no text.
    #[must_use]
    pub fn correlation_id(&self) -> &str {
        self.headers
            .get(CORRELATION_ID)
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
    }
}

/// A backend's 200 answer.
#[derive(Debug)]
pub struct Served {
    /// Its body, unchanged.
    pub body: AnswerBody,
    /// What the body is.
    pub content_type: Option<HeaderValue>,
}

/// When an attempt ends at the latest.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// The attempt is given up.
    pub give_up: Instant,
    /// What is not written whole by then is not sent any more.
    pub write_by: Option<Instant>,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The answer, where the outcome is [`Outcome::Ok`].
    pub served: Option<Served>,
    /// The load report that came along, in the order of the settings; empty: none.
    pub report: Vec<f32>,
    /// The request's body can't be sent again.
    pub spent: bool,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            served: None,
            report: Vec::new(),
            spent: false,
        }
    }
}
