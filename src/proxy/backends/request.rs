//! Builds the HTTP request of an attempt or a health check.

use super::call::Call;
use crate::proxy::bodies::RequestBody;
use crate::proxy::header_values::REMAINING_TIME_MS;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
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
    if length.is_none() {
        headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(address.to_string())
    {
        headers.insert(HOST, host);
    }
    request
}

/// Where a request ends in the bytes that are written on its connection, earlier requests included. If fewer bytes were
/// written, the backend cannot have begun to run the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestExtent {
    /// The number of bytes before the body.
    body_at: u64,
    /// The length of the body in bytes; `None` if it is chunked.
    body_size: Option<u64>,
}

impl RequestExtent {
    /// Returns the extent of a request that is about to be written on a connection with `written` bytes.
    pub(super) fn new(request: &Request<RequestBody>, written: u64) -> Self {
        Self {
            body_at: written + minimum_head_size(request),
            body_size: request.body().size_hint().exact(),
        }
    }

    /// Returns the number of bytes at which a request of known length is completely written; `None` if it is chunked.
    pub(super) fn complete_at(&self) -> Option<u64> {
        self.body_size.map(|size| self.body_at + size)
    }

    /// Returns whether the request is completely written on a connection with `written` bytes. `chunked_size`
    /// is the size on the wire of a chunked body that has been passed to hyper up to its end; hyper may not have written it
    /// to the socket yet.
    pub(super) fn is_complete(&self, written: u64, chunked_size: Option<u64>) -> bool {
        self.body_size
            .or(chunked_size)
            .is_some_and(|size| written >= self.body_at + size)
    }
}

/// Returns the minimum number of bytes that the head of a request takes on the wire.
fn minimum_head_size(request: &Request<RequestBody>) -> u64 {
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
    (line_size + headers_size + "\r\n".len()) as u64
}

#[cfg(test)]
mod tests;
