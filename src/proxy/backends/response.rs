//! A backend's response, and what it means in the balancer's terms.

use super::call::{AttemptResult, Served};
use super::load_report::LoadReportParser;
use crate::api::Outcome;
use crate::proxy::bodies::{BufferedBody, ServedBody};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// A backend's response as far as it was read.
pub(super) struct BackendResponse {
    pub(super) head: ResponseHead,
    pub(super) body: BackendBody,
}

/// The head of a response.
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

/// The body of a response as far as it was read.
pub(super) enum BackendBody {
    /// All of it.
    Complete(BufferedBody),
    /// The beginning of a 200 response, which is relayed.
    Partial(PartialBody),
    /// Not read: it is of no use, and too large to be read for the sake of its connection.
    Unread,
}

/// A body of which some has come.
pub(super) struct PartialBody {
    /// What has come.
    pub(super) first: BufferedBody,
    /// What is still to come.
    pub(super) rest: Incoming,
    /// The length of all of it, where the backend announced it.
    pub(super) length: Option<u64>,
}

impl BackendResponse {
    /// Translates the response into the result of its attempt.
    pub(super) fn into_result(self, load_reports: &LoadReportParser) -> AttemptResult {
        let mut result = self.head.result(load_reports);
        if result.outcome == Outcome::Ok
            && let BackendBody::Complete(body) = self.body
        {
            result.served = Some(Served {
                body: ServedBody::Buffered(body),
                content_type: self.head.content_type(),
            });
        }
        result
    }
}

impl ResponseHead {
    /// Returns the result of an attempt with this response, without its body.
    pub(super) fn result(&self, load_reports: &LoadReportParser) -> AttemptResult {
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

    pub(super) fn content_type(&self) -> Option<HeaderValue> {
        self.headers.get(CONTENT_TYPE).cloned()
    }

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
