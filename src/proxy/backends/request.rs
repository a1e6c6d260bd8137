//! An attempt's HTTP request as it is written.

use super::call::Call;
use crate::proxy::bodies::RequestBody;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::time::Duration;

const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");

/// The request of a call to the backend at `address`, which has `left` to answer.
pub(super) fn build_request(
    call: &Call,
    body: RequestBody,
    address: SocketAddr,
    left: Duration,
) -> Request<RequestBody> {
    let length = body.size_hint().exact();
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(TIME_LEFT, HeaderValue::from(millis));
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

/// The bytes that a request takes on the wire at the least. Fewer written: the backend can't have begun it.
pub(super) fn least_size(request: &Request<RequestBody>, body: u64) -> u64 {
    let target = request
        .uri()
        .path_and_query()
        .map_or(1, |t| t.as_str().len());
    let line = request.method().as_str().len() + " ".len() + target + " HTTP/1.1\r\n".len();
    let fields = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + fields.sum::<usize>() + "\r\n".len()) as u64 + body
}
