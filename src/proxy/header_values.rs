//! Names and values of headers that the clients' and the backends' side both read or write.

use hyper::header::{self, HeaderMap, HeaderName};

/// The time that a request has left, in milliseconds: what the client sends a proxy, and the proxy a backend.
pub(super) const REMAINING_TIME_MS: HeaderName = HeaderName::from_static("x-time-left-ms");

/// Returns the options of all `Connection` headers.
pub(super) fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}

/// Parses a number of decimal digits alone. The standard parser would take a sign as well.
pub(super) fn parse_decimal(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
