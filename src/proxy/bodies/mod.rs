//! Bodies: buffered completely, or streamed piece by piece. Whoever reads a streamed one holds back its sender,
//! so that it takes the memory of a few pieces whatever its size.
//!
//! | module | job |
//! | --- | --- |
//! | `buffered` | bodies that are held completely |
//! | `upload`, `streamed` | a request's and a response's body that is streamed |
//! | `stream` | what both share: the length, the error |
//! | `message_bodies` | the bodies of requests, attempts and responses, each buffered or streamed |
//! | `deadline` | how long a body may take |

mod buffered;
mod deadline;
mod message_bodies;
mod stream;
mod streamed;
mod upload;

pub use buffered::{BodyBuffer, BufferedBody};
pub use deadline::BodyDeadline;
pub use message_bodies::{
    CallBody, OutgoingBody, PendingUpload, RequestBody, ResponseBody, ServedBody,
};
pub use stream::BodyError;
pub use streamed::{ReceiverClosed, ResponseSender, StreamedResponse};
pub use upload::{Progress, Upload};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reads the next data of a body. Returns `None` at its end.
///
/// # Errors
/// Where the body breaks off or can't be parsed.
pub async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
