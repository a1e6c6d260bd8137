//! Bodies on their way out: to a backend, or to a client.

use super::{BufferedBody, Progress, StreamedAnswer, Upload};
use crate::proxy::budget::Reserved;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A body that flows through, until an attempt takes it.
pub type PendingUpload = Rc<RefCell<Option<Upload>>>;

/// A request's body as an attempt finds it.
pub enum CallBody {
    /// It can be sent as often as the balancer wants.
    Buffered(BufferedBody, Vec<Reserved>),
    /// The first attempt that has a connection takes it.
    Streamed(PendingUpload, Rc<Progress>),
}

impl fmt::Debug for CallBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Buffered(buffered, _) => write!(f, "{} bytes", buffered.left),
            Self::Streamed(_, progress) => progress.fmt(f),
        }
    }
}

impl From<BufferedBody> for CallBody {
    fn from(buffered: BufferedBody) -> Self {
        Self::Buffered(buffered, Vec::new())
    }
}

impl From<Upload> for CallBody {
    fn from(upload: Upload) -> Self {
        let progress = Rc::clone(&upload.progress);
        Self::Streamed(Rc::new(RefCell::new(Some(upload))), progress)
    }
}

impl CallBody {
    /// How far it is, if it flows through.
    #[must_use]
    pub fn progress(&self) -> Option<&Rc<Progress>> {
        match self {
            Self::Buffered(..) => None,
            Self::Streamed(_, progress) => Some(progress),
        }
    }

    /// It, as long as no attempt has taken it, if it flows through.
    #[must_use]
    pub fn pending_upload(&self) -> Option<PendingUpload> {
        match self {
            Self::Buffered(..) => None,
            Self::Streamed(upload, _) => Some(Rc::clone(upload)),
        }
    }

    /// What an attempt sends; `None` where another one has it.
    #[must_use]
    pub fn for_attempt(&self) -> Option<RequestBody> {
        match self {
            Self::Buffered(buffered, _) => Some(RequestBody::Buffered(buffered.clone())),
            Self::Streamed(upload, _) => upload
                .take()
                .map(|upload| RequestBody::Streamed(Box::new(upload))),
        }
    }
}

/// A body on its way out.
pub enum OutgoingBody<P> {
    /// Buffered whole.
    Buffered(BufferedBody),
    /// Flows through.
    Streamed(P),
}

/// The body of an attempt.
pub type RequestBody = OutgoingBody<Box<Upload>>;
/// The body of an answer to a client.
pub type ResponseBody = OutgoingBody<StreamedAnswer>;

impl<P: Body<Data = Bytes, Error = io::Error> + Unpin> Body for OutgoingBody<P> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
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

/// A backend's answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Buffered whole.
    Buffered(BufferedBody),
    /// It has begun.
    Streamed(StreamedAnswer),
}

impl From<AnswerBody> for ResponseBody {
    fn from(body: AnswerBody) -> Self {
        match body {
            AnswerBody::Buffered(buffered) => Self::Buffered(buffered),
            AnswerBody::Streamed(streamed) => Self::Streamed(streamed),
        }
    }
}
