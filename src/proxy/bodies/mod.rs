//! Bodies: buffered whole, or streamed piece by piece. One that is streamed is held back by whoever reads it,
//! so it takes the memory of a few pieces whatever its size.

mod buffered;
mod deadline;
mod outgoing;
mod streamed;
mod upload;

pub use buffered::{BodyBuffer, BufferedBody};
pub use deadline::BodyDeadline;
pub use outgoing::{AnswerBody, CallBody, OutgoingBody, PendingUpload, RequestBody, ResponseBody};
pub use streamed::{AnswerSender, ReceiverGone, StreamedAnswer};
pub use upload::{Progress, Upload};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The next data of a body; `None` at its end.
///
/// # Errors
/// Where it breaks off or can't be read.
pub async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
