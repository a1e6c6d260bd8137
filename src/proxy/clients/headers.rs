//! Request headers: the names that the proxy interprets, and the selection of those that are forwarded to a backend.

use crate::proxy::backends::CORRELATION_ID;
use crate::proxy::header_values::{REMAINING_TIME_MS, connection_options};
use hyper::Uri;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

pub(super) const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
pub(super) const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
pub(super) const RETRY: HeaderName = HeaderName::from_static("x-repeat");
pub(super) const EXPECTED_WORK: HeaderName = HeaderName::from_static("x-weight-hint");

/// Headers that identify or classify a request. A request must not repeat any of them.
pub(super) const NON_REPEATABLE_HEADERS: [HeaderName; 5] = [
    CORRELATION_ID,
    SERVICE_CLASS,
    ACCOUNT,
    REMAINING_TIME_MS,
    IDEMPOTENCY_KEY,
];

/// Headers that apply to one connection or to the framing of one message, and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
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

/// Removes the hop-by-hop headers, including those that `Connection` names, and returns the rest.
pub(super) fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<HeaderName> = connection_options(&headers)
        .filter_map(|name| name.parse().ok())
        .collect();
    for name in named_by_connection {
        // The headers that identify a request are forwarded even if the client lists them in `Connection`.
        if name != CORRELATION_ID && name != IDEMPOTENCY_KEY {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}

/// Converts a request target to origin form. If the target names a host, it replaces the `Host` header.
pub(super) fn origin_form(target: Uri, mut headers: HeaderMap) -> (Uri, HeaderMap) {
    let parts = target.into_parts();
    if let Some(authority) = parts.authority
        && let Ok(host) = HeaderValue::try_from(authority.as_str())
    {
        headers.insert(header::HOST, host);
    }
    let origin_form = parts.path_and_query.map(Uri::from).unwrap_or_default();
    (origin_form, headers)
}
