//! Responses that the proxy itself makes.

use super::bodies::BufferedBody;
use super::clock::MICROS_PER_SECOND;
use crate::api::Micros;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// The text of a response with status 405.
pub(super) const METHOD_NOT_ALLOWED_TEXT: &str = "not the method for this\n";

/// The response to an operator's call that is invalid or cannot be executed.
pub(super) struct ErrorResponse {
    status: StatusCode,
    reason: &'static str,
    /// Methods for the `Allow` header.
    allow: Option<&'static str>,
}

impl ErrorResponse {
    pub(super) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            allow: None,
        }
    }

    /// Makes the response to a method that the path does not have; `allowed` are those that it has.
    pub(super) const fn method_not_allowed(allowed: &'static str) -> Self {
        Self {
            status: StatusCode::METHOD_NOT_ALLOWED,
            reason: METHOD_NOT_ALLOWED_TEXT,
            allow: Some(allowed),
        }
    }

    pub(super) fn into_response(self) -> Response<BufferedBody> {
        let mut response = plain(self.status, self.reason);
        if let Some(allowed) = self.allow {
            set_allowed_methods(&mut response, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// Names the methods that a path has, in a response to another one.
pub(super) fn set_allowed_methods<B>(response: &mut Response<B>, allowed: HeaderValue) {
    response.headers_mut().insert(header::ALLOW, allowed);
}

/// Makes a response of plain text.
pub(super) fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<BufferedBody> {
    let mut response = Response::new(BufferedBody::from(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Makes the response to a request that the balancer rejected. Its cause is not part of the response. `retry_after` is how long the client should wait before it retries; 0: not
/// said.
pub(super) fn rejected(retry_after: Micros) -> Response<BufferedBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    let seconds = retry_after as f64 / MICROS_PER_SECOND as f64;
    if retry_after > 0
        && let Ok(seconds) = HeaderValue::try_from(format!("{seconds:.3}"))
    {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Makes a response the last one on its connection.
pub(super) fn close<B>(response: &mut Response<B>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
