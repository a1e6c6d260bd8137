//! Answers that the proxy gives by itself.

use super::bodies::BufferedBody;
use crate::api::Micros;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A request that is answered here because the balancer can't be asked about it.
pub(super) struct Rejection {
    status: StatusCode,
    why: &'static str,
    allow: Option<&'static str>,
}

impl Rejection {
    pub(super) const fn new(status: StatusCode, why: &'static str) -> Self {
        Self {
            status,
            why,
            allow: None,
        }
    }

    /// The path is known, but only with these methods.
    pub(super) const fn method(allowed: &'static str) -> Self {
        Self {
            allow: Some(allowed),
            ..Self::new(StatusCode::METHOD_NOT_ALLOWED, "not the method for this\n")
        }
    }

    pub(super) fn into_response(self) -> Response<BufferedBody> {
        let mut response = plain(self.status, self.why);
        if let Some(allowed) = self.allow {
            response
                .headers_mut()
                .insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// An answer of plain text.
pub(super) fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<BufferedBody> {
    let mut response = Response::new(BufferedBody::from(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// No backend has room. `retry_after` is how long the client should stay away, 0: no word.
pub(super) fn refusal(retry_after: Micros) -> Response<BufferedBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    if retry_after > 0
        && let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after as f64 / 1e6))
    {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// The connection ends with that answer.
pub(super) fn close<B>(response: &mut Response<B>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
