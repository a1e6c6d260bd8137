//! One request written and its answer read.

use super::reply::{PartialBody, Reply, ReplyBody};
use crate::proxy::bodies::{BodyBuffer, RequestBody, next_data};
use crate::proxy::limits::{BODY_CAP, PASS_CAP};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONNECTION, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode, Version};
use std::error::Error;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// An answer of unknown length begins to be passed on this long after its head, if it is not whole by then.
const STREAM_AFTER: Duration = Duration::from_millis(250);

/// Why an exchange gave no answer.
pub(super) enum ExchangeError {
    /// The connection broke.
    Connection,
    /// What came can't be, or become, the answer.
    Malformed,
    TimedOut,
    Cancelled,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> Self {
        // A chunked body that can't be read shows only in the kind of the cause.
        let cause = error
            .source()
            .and_then(|cause| cause.downcast_ref::<io::Error>())
            .map(io::Error::kind);
        let unreadable = matches!(
            cause,
            Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData)
        );
        if error.is_parse() || unreadable {
            Self::Malformed
        } else {
            Self::Connection
        }
    }
}

/// Writes a request and reads the answer. A body that fits is read whole, so that one that breaks off never
/// becomes an answer.
pub(super) async fn exchange(
    sender: &mut SendRequest<RequestBody>,
    request: Request<RequestBody>,
) -> Result<Reply, ExchangeError> {
    let response = sender.send_request(request).await?;
    if !can_become_whole(&response) {
        return Err(ExchangeError::Malformed);
    }
    let (head, body) = response.into_parts();
    let body = read_body(body, head.status == StatusCode::OK).await?;
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Reads a body as far as it fits, and waits for one without a length only so long where it is `good`.
async fn read_body(mut body: Incoming, good: bool) -> Result<ReplyBody, ExchangeError> {
    let length = body.size_hint().exact();
    let stream_at = Instant::now() + STREAM_AFTER;
    let mut first = BodyBuffer::default();
    while length.is_none_or(|length| length <= BODY_CAP as u64) && first.len() <= BODY_CAP {
        let data = match timeout_at(stream_at, next_data(&mut body)).await {
            Ok(data) => data,
            // Of a known length this short, the last byte is what matters.
            Err(_) if length.is_some() || !good => next_data(&mut body).await,
            Err(_) => break,
        };
        match data? {
            Some(data) => first.add(data),
            None => return Ok(ReplyBody::Whole(first.take())),
        }
    }
    if !good {
        return Ok(ReplyBody::Unread);
    }
    Ok(ReplyBody::Partial(PartialBody {
        first: first.take(),
        rest: body,
        length,
    }))
}

/// Whether the head leaves hope for a good answer. Where it does not, failing at once leaves time for another
/// attempt: the rest of an answer of gigabytes would be read for nothing. One that only the end of its
/// connection ends has to say so, or it could not be told from one whose length was lost.
fn can_become_whole(response: &Response<Incoming>) -> bool {
    let length = response.body().size_hint();
    let ends = length.exact().is_some()
        || response.headers().contains_key(TRANSFER_ENCODING)
        || closes_connection(response);
    ends && length.lower() <= PASS_CAP && response.status() != StatusCode::SWITCHING_PROTOCOLS
}

fn closes_connection(response: &Response<Incoming>) -> bool {
    let named = response
        .headers()
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    response.version() == Version::HTTP_10
        || named
            .flat_map(|v| v.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case("close"))
}
