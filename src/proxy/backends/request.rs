//! Builds the HTTP request of an attempt or a health check.

use super::call::Call;
use crate::proxy::bodies::RequestBody;
use crate::proxy::header_values::REMAINING_TIME_MS;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::time::Duration;

/// Builds the request that sends a call to the backend at `address`. A header states that the backend has `remaining`
/// to respond.
pub(super) fn build_request(
    call: &Call,
    body: RequestBody,
    address: SocketAddr,
    remaining: Duration,
) -> Request<RequestBody> {
    let length = body.size_hint().exact();
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(REMAINING_TIME_MS, HeaderValue::from(millis));
    if call.method != Method::GET
        && let Some(length) = length
    {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(address.to_string())
    {
        headers.insert(HOST, host);
    }
    request
}

/// Returns the minimum number of bytes that a request with a body of `body_size` bytes takes on the wire. If fewer
/// bytes were written, the backend cannot have begun to run the request.
pub(super) fn minimum_size(request: &Request<RequestBody>, body_size: u64) -> u64 {
    let target_size = request
        .uri()
        .path_and_query()
        .map_or("/".len(), |target| target.as_str().len());
    let line_size =
        request.method().as_str().len() + " ".len() + target_size + " HTTP/1.1\r\n".len();
    let headers_size: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (line_size + headers_size + "\r\n".len()) as u64 + body_size
}
