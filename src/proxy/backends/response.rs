//! A backend's response and its conversion into the result of an attempt.

use super::call::{AttemptResult, ServedResponse};
use super::load_report::LoadReportParser;
use crate::api::Outcome;
use crate::proxy::bodies::{BufferedBody, ServedBody};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};

/// The header with the value `1` by which a backend states that it did not run the request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// The header with a backend's load report.
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// A backend's response, read as far as its body fits in the buffer.
pub(super) struct BackendResponse {
    pub(super) head: ResponseHead,
    pub(super) body: BackendBody,
}

/// The head of a response.
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

/// The body of a response, read as far as it fits in the buffer.
pub(super) enum BackendBody {
    /// The complete body.
    Complete(BufferedBody),
    /// The body of a 200 response of which only the beginning was read. The response is relayed to the client.
    Partial(PartialBody),
    /// The body of a response other than 200 that does not fit in the buffer. The body is not forwarded, and the
    /// connection is not kept.
    Unread,
}

/// A body of which only the beginning has arrived.
pub(super) struct PartialBody {
    /// The part of the body that was read.
    pub(super) first: BufferedBody,
    /// The rest of the body.
    pub(super) rest: Incoming,
    /// The length of the complete body in bytes; `None` if the backend does not announce it.
    pub(super) length: Option<u64>,
}

impl BackendResponse {
    /// Converts the response into the result of its attempt.
    pub(super) fn into_result(self, load_reports: &LoadReportParser) -> AttemptResult {
        let mut result = self.head.attempt_result(load_reports);
        if result.outcome == Outcome::Ok
            && let BackendBody::Complete(body) = self.body
        {
            result.served = Some(ServedResponse {
                body: ServedBody::Buffered(body),
                content_type: self.head.content_type(),
            });
        }
        result
    }
}

impl ResponseHead {
    /// Returns the result of an attempt that received this head, without the body of the response.
    pub(super) fn attempt_result(&self, load_reports: &LoadReportParser) -> AttemptResult {
        let load_report = self
            .headers
            .get(LOAD)
            .and_then(|value| value.to_str().ok())
            .map(|text| load_reports.parse(text));
        AttemptResult {
            outcome: self.outcome(),
            served: None,
            load_report: load_report.unwrap_or_default(),
            body_consumed: false,
        }
    }

    /// Returns the value of the `Content-Type` header; `None` if the response has no such header.
    pub(super) fn content_type(&self) -> Option<HeaderValue> {
        self.headers.get(CONTENT_TYPE).cloned()
    }

    /// Returns the outcome that follows from the status and from the header [`UNPROCESSED`].
    fn outcome(&self) -> Outcome {
        match self.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if self.headers.get(UNPROCESSED).is_some_and(|v| v == "1") =>
            {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        }
    }
}
