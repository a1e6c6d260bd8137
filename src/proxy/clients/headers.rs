//! The headers of requests: those that decide what a request is, and those that go on to a backend.

use crate::proxy::backends::CORRELATION_ID;
use hyper::Uri;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

pub(super) const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
pub(super) const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
pub(super) const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The headers that decide what a request is.
pub(super) const SINGLE_HEADERS: [HeaderName; 5] = [
    CORRELATION_ID,
    SERVICE_CLASS,
    ACCOUNT,
    TIME_LEFT,
    IDEMPOTENCY_KEY,
];
pub(super) const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
pub(super) const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");

/// The headers that go on: all but those that speak of this one connection or of the message's framing.
pub(super) fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    let named = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let named: Vec<HeaderName> = named
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named
        .iter()
        .filter(|name| **name != CORRELATION_ID && **name != IDEMPOTENCY_KEY)
    {
        headers.remove(name);
    }
    let hop = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in hop {
        headers.remove(name);
    }
    headers
}

/// What goes to a backend names no host in its target; one that the client named there stands for its `Host`.
pub(super) fn origin_form(target: Uri, mut headers: HeaderMap) -> (Uri, HeaderMap) {
    let parts = target.into_parts();
    if let Some(host) = parts
        .authority
        .and_then(|a| HeaderValue::try_from(a.as_str()).ok())
    {
        headers.insert(header::HOST, host);
    }
    (
        parts.path_and_query.map(Uri::from).unwrap_or_default(),
        headers,
    )
}
