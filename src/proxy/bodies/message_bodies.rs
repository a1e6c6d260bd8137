//! The bodies of requests, attempts and responses. Each is buffered completely or streamed.

use super::stream::{BodyError, FramePoll};
use super::{BufferedBody, StreamedResponse, Upload, UploadProgress};
use bytes::Bytes;
use hyper::body::{Body, SizeHint};
use std::cell::RefCell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;

/// A shared cell with a streamed request body; `None` once an attempt has taken the body.
pub type PendingUpload = Rc<RefCell<Option<Upload>>>;

/// The body of a client's request. If it is buffered, each attempt sends a copy; if it is streamed, one attempt takes
/// it.
pub enum CallBody {
    /// A buffered body, which can be sent any number of times.
    Buffered(BufferedBody),
    /// A streamed body. The first attempt that has a connection takes it.
    Streamed(PendingUpload, Rc<UploadProgress>),
}

impl fmt::Debug for CallBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Buffered(buffered) => write!(f, "{} bytes", buffered.remaining),
            Self::Streamed(_, progress) => progress.fmt(f),
        }
    }
}

impl From<BufferedBody> for CallBody {
    fn from(buffered: BufferedBody) -> Self {
        Self::Buffered(buffered)
    }
}

impl From<Upload> for CallBody {
    fn from(upload: Upload) -> Self {
        let progress = Rc::clone(&upload.progress);
        Self::Streamed(Rc::new(RefCell::new(Some(upload))), progress)
    }
}

impl CallBody {
    /// Returns the progress of a streamed body; `None` for a buffered body.
    #[must_use]
    pub fn progress(&self) -> Option<&Rc<UploadProgress>> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(_, progress) => Some(progress),
        }
    }

    /// Returns the shared cell from which an attempt takes a streamed body; `None` for a buffered body.
    #[must_use]
    pub fn pending_upload(&self) -> Option<PendingUpload> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(upload, _) => Some(Rc::clone(upload)),
        }
    }

    /// Returns the body for an attempt, or `None` if another attempt has taken the streamed body.
    #[must_use]
    pub fn for_attempt(&self) -> Option<RequestBody> {
        match self {
            Self::Buffered(buffered) => Some(RequestBody::Buffered(buffered.clone())),
            Self::Streamed(upload, _) => upload
                .take()
                .map(|upload| RequestBody::Streamed(Box::new(upload))),
        }
    }
}

/// A body that is sent to a backend or a client.
pub enum OutgoingBody<P> {
    /// A body that is held completely.
    Buffered(BufferedBody),
    /// A body that is streamed piece by piece.
    Streamed(P),
}

/// The body of a request to a backend.
pub type RequestBody = OutgoingBody<Box<Upload>>;
/// The body of a response to a client.
pub type ResponseBody = OutgoingBody<StreamedResponse>;

impl<P: Body<Data = Bytes, Error = BodyError> + Unpin> Body for OutgoingBody<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx),
            Self::Streamed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}

/// The body of a backend's response.
#[derive(Debug)]
pub enum ServedBody {
    /// A body that was received completely.
    Buffered(BufferedBody),
    /// A body of which only the beginning has arrived.
    Streamed(StreamedResponse),
}

impl From<ServedBody> for ResponseBody {
    fn from(body: ServedBody) -> Self {
        match body {
            ServedBody::Buffered(buffered) => Self::Buffered(buffered),
            ServedBody::Streamed(streamed) => Self::Streamed(streamed),
        }
    }
}
