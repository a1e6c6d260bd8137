//! The exchange of one request and its response.

use super::error::BackendError;
use super::response::{BackendBody, BackendResponse, PartialBody, ResponseHead};
use crate::proxy::bodies::{BodyBuffer, RequestBody, next_data};
use crate::proxy::header_values::connection_options;
use crate::proxy::memory::{MemoryBudget, MemoryUse};
use crate::proxy::size_limits::{BUFFERED_BODY_BYTES, MAX_FORWARDED_BODY_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::TRANSFER_ENCODING;
use hyper::{Request, Response, StatusCode, Version};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

/// Time after the head of a 200 response of unknown length for which the body is buffered before it is streamed.
const STREAM_AFTER: Duration = Duration::from_millis(250);
/// The number of turns of the runtime in which a connection reads what the kernel has received: it is woken in the first
/// one and may be run in the second one.
const READ_TURNS: usize = 2;

/// Writes a request and reads the response. A body that fits in the buffer is read completely while there is memory for
/// it, so that a client never receives only a part of such a body.
///
/// `stream_by` is called when the head has arrived. It returns the time from which a body of unknown length that has begun
/// to arrive is streamed, even if it has not been buffered for [`STREAM_AFTER`]; `None` if there is no such time.
///
/// # Errors
/// [`BackendError`] if the connection breaks, or if the response is malformed or cannot become complete.
pub(super) async fn exchange(
    sender: &mut SendRequest<RequestBody>,
    request: Request<RequestBody>,
    memory: &MemoryBudget,
    stream_by: impl FnOnce() -> Option<Instant>,
) -> Result<BackendResponse, BackendError> {
    let response = sender.send_request(request).await?;
    if !can_become_complete(&response) {
        return Err(BackendError::UnusableHead);
    }
    let (head, incoming) = response.into_parts();
    let body = if head.status == StatusCode::OK {
        read_ok_body(incoming, memory, stream_by()).await?
    } else {
        read_error_body(incoming, memory).await?
    };
    Ok(BackendResponse {
        head: ResponseHead {
            status: head.status,
            headers: head.headers,
        },
        body,
    })
}

/// Reads the body of a 200 response as far as it fits in the buffer. A body of unknown length is read for at most
/// [`STREAM_AFTER`], and once it has begun only until `stream_by`.
async fn read_ok_body(
    mut incoming: Incoming,
    memory: &MemoryBudget,
    stream_by: Option<Instant>,
) -> Result<BackendBody, BackendError> {
    let length = incoming.size_hint().exact();
    let stream_after = Instant::now() + STREAM_AFTER;
    let mut buffer = BodyBuffer::default();
    let mut rest_of_first = None;
    while may_fit(length, &buffer) {
        let stream_at = match stream_by {
            Some(stream_by) if !buffer.is_empty() => stream_after.min(stream_by),
            _ => stream_after,
        };
        let data = match timeout_at(stream_at, next_data(&mut incoming)).await {
            Ok(data) => data,
            // A body of known length that fits in the buffer is passed on only when it is complete.
            Err(_) if length.is_some() => next_data(&mut incoming).await,
            Err(_) => match received_data(&mut incoming).await {
                Some(data) => data,
                None => break,
            },
        };
        match data? {
            Some(data) if has_room(memory, &buffer, data.len()) => buffer.add(data),
            Some(data) => {
                rest_of_first = Some(data);
                break;
            }
            None => return Ok(BackendBody::Complete(buffer.take())),
        }
    }
    let mut first = buffer.take();
    first.extend(rest_of_first);
    Ok(BackendBody::Partial(PartialBody {
        first,
        rest: incoming,
        length,
    }))
}

/// Returns the next data of a body, or its end, if the kernel has already received it. The connection reads it only while
/// it is waited for.
async fn received_data(incoming: &mut Incoming) -> Option<Result<Option<Bytes>, hyper::Error>> {
    for _ in 0..READ_TURNS {
        tokio::select! {
            biased;
            data = next_data(incoming) => return Some(data),
            () = yield_now() => {}
        }
    }
    None
}

/// Reads the body of a response other than 200 as far as it fits in the buffer, so that the connection can be used
/// again.
async fn read_error_body(
    mut incoming: Incoming,
    memory: &MemoryBudget,
) -> Result<BackendBody, BackendError> {
    let length = incoming.size_hint().exact();
    let mut buffer = BodyBuffer::default();
    while may_fit(length, &buffer) {
        match next_data(&mut incoming).await? {
            Some(data) if has_room(memory, &buffer, data.len()) => buffer.add(data),
            Some(_) => break,
            None => return Ok(BackendBody::Complete(buffer.take())),
        }
    }
    Ok(BackendBody::Unread)
}

/// Returns whether there is memory to buffer `added` more bytes of a body.
fn has_room(memory: &MemoryBudget, buffer: &BodyBuffer, added: usize) -> bool {
    let allocated = buffer.growth(added);
    allocated == 0 || memory.has_room(allocated, MemoryUse::Attempt)
}

/// Returns whether the complete body may still fit in the buffer.
fn may_fit(length: Option<u64>, buffer: &BodyBuffer) -> bool {
    length.is_none_or(|length| length <= BUFFERED_BODY_BYTES as u64)
        && buffer.len() <= BUFFERED_BODY_BYTES
}

/// Returns whether the response can become complete. If it cannot, the attempt fails at once, which leaves time for
/// another attempt instead of reading up to gigabytes without a result. A response that ends with its connection must
/// announce the close, because it could otherwise not be distinguished from a response whose length was lost.
fn can_become_complete(response: &Response<Incoming>) -> bool {
    let length = response.body().size_hint();
    let has_end = length.exact().is_some()
        || response.headers().contains_key(TRANSFER_ENCODING)
        || closes_connection(response);
    has_end
        && length.lower() <= MAX_FORWARDED_BODY_BYTES
        && response.status() != StatusCode::SWITCHING_PROTOCOLS
}

/// Returns whether the backend closes the connection after the response.
fn closes_connection(response: &Response<Incoming>) -> bool {
    let mut options = connection_options(response.headers());
    response.version() == Version::HTTP_10
        || options.any(|option| option.eq_ignore_ascii_case("close"))
}
