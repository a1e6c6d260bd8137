//! Header names and parsers that both `clients` and `backends` use.

use hyper::header::{self, HeaderMap, HeaderName};

/// The remaining time of a request, in milliseconds. Clients send it to the proxy, and the proxy to backends.
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

/// Parses a number that consists of decimal digits only; `None` if the value is not such a number or does not fit into
/// 64 bits. The standard parser would also accept a sign.
pub(super) fn parse_decimal(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
