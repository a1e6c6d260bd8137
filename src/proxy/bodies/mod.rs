//! Bodies of requests and responses, which are buffered completely or streamed piece by piece. A streamed body is read
//! only as fast as it is forwarded, so it takes the memory of a few pieces whatever its size.
//!
//! | module | job |
//! | --- | --- |
//! | `buffered` | bodies that are held completely |
//! | `upload`, `streamed` | streamed bodies of requests; streamed bodies of responses |
//! | `stream` | length and errors of streamed bodies |
//! | `message_bodies` | the bodies of requests, attempts and responses, each buffered or streamed |
//! | `stall` | detects that the sender of a body makes no progress |
//! | `wait_allowance` | the time for which the receiver of a body still waits for its sender |

mod buffered;
mod message_bodies;
pub(super) mod stall;
mod stream;
mod streamed;
mod upload;
mod wait_allowance;

pub use buffered::{BodyBuffer, BufferedBody};
pub use message_bodies::{
    CallBody, OutgoingBody, PendingUpload, RequestBody, ResponseBody, ServedBody,
};
pub use stall::BodyProgress;
pub use stream::BodyError;
pub use streamed::{ReceiverClosed, ResponseSender, StreamedResponse};
pub use upload::{NumberedRequest, ReadAheadEnd, Upload, UploadProgress};
pub use wait_allowance::{MinimumPace, REQUEST_BODY_PACE, RESPONSE_BODY_PACE, WaitAllowance};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Returns the next data of a body, or `None` at its end.
///
/// # Errors
/// [`hyper::Error`] if the body breaks off or cannot be parsed.
pub async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
