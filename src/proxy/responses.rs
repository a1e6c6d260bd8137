//! Responses that the proxy generates itself.

use super::bodies::BufferedBody;
use crate::api::Micros;
use crate::balancer::time::seconds;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// The body of a response with status 405.
pub(super) const METHOD_NOT_ALLOWED_TEXT: &str = "not the method for this\n";

/// The response to an operator's call that is invalid or cannot be executed.
pub(super) struct ErrorResponse {
    status: StatusCode,
    /// The body of the response.
    text: &'static str,
    /// The value of the `Allow` header; `None` if the response has no such header.
    allowed_methods: Option<&'static str>,
}

impl ErrorResponse {
    pub(super) const fn new(status: StatusCode, text: &'static str) -> Self {
        Self {
            status,
            text,
            allowed_methods: None,
        }
    }

    /// Creates the response to a request whose method the path does not support. `allowed` is the value of the `Allow`
    /// header: the methods that the path supports.
    pub(super) const fn method_not_allowed(allowed: &'static str) -> Self {
        Self {
            status: StatusCode::METHOD_NOT_ALLOWED,
            text: METHOD_NOT_ALLOWED_TEXT,
            allowed_methods: Some(allowed),
        }
    }

    pub(super) fn into_response(self) -> Response<BufferedBody> {
        let mut response = plain_text_response(self.status, self.text);
        if let Some(allowed) = self.allowed_methods {
            set_allowed_methods(&mut response, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// Sets the `Allow` header of a response with status 405.
pub(super) fn set_allowed_methods<B>(response: &mut Response<B>, allowed: HeaderValue) {
    response.headers_mut().insert(header::ALLOW, allowed);
}

/// Creates a response with a plain text body.
pub(super) fn plain_text_response(
    status: StatusCode,
    text: impl Into<Bytes>,
) -> Response<BufferedBody> {
    let mut response = Response::new(BufferedBody::from(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Creates the response to a request that the balancer rejected. The response does not state the reason.
///
/// `retry_after` is the time for which the client should wait before it retries; 0 omits the header.
pub(super) fn rejected(retry_after: Micros) -> Response<BufferedBody> {
    let mut response = plain_text_response(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    let seconds = seconds(retry_after);
    if retry_after > 0
        && let Ok(seconds) = HeaderValue::try_from(format!("{seconds:.3}"))
    {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Marks a response as the last one on its connection.
pub(super) fn mark_connection_close<B>(response: &mut Response<B>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
