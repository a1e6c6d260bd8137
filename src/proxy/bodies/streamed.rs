//! Responses that are streamed from a backend to a client.

use super::stream::{BodyError, FramePoll, StreamLength};
use crate::api::RequestId;
use crate::proxy::connections::ClientConnection;
use crate::proxy::counters::{RequestGuard, RequestOutcome};
use crate::proxy::request_log;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;

/// An item of the channel from a [`ResponseSender`] to its [`StreamedResponse`].
enum Piece {
    Data(Bytes),
    /// The end of a complete response.
    End,
}

/// The sender of a streamed response, which receives the response from the backend.
pub struct ResponseSender {
    pieces: mpsc::Sender<Piece>,
    is_finished: bool,
    /// Shared with the [`StreamedResponse`]: whether the sender was dropped before the response was complete.
    has_broken_off: Rc<Cell<bool>>,
}

/// The error of a response whose client has disconnected or has read nothing for the timeout.
#[derive(Debug, thiserror::Error)]
#[error("client no longer reads the response")]
pub struct ReceiverClosed;

impl ResponseSender {
    /// Forwards data, once the client has read the data that was sent before it.
    ///
    /// # Errors
    /// [`ReceiverClosed`] if the client has disconnected, or does not read within `timeout`.
    pub async fn send(&self, data: Bytes, timeout: Duration) -> Result<(), ReceiverClosed> {
        self.pieces
            .send_timeout(Piece::Data(data), timeout)
            .await
            .map_err(|_| ReceiverClosed)
    }

    /// Marks the response as complete. If the sender is dropped without this call, the response breaks off.
    pub async fn finish(mut self) {
        let _ = self.pieces.send(Piece::End).await;
        self.is_finished = true;
    }

    /// Waits until the [`StreamedResponse`] is dropped.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl Drop for ResponseSender {
    fn drop(&mut self) {
        self.has_broken_off.set(!self.is_finished);
    }
}

/// The body of a streamed response, which hyper sends to the client.
pub struct StreamedResponse {
    pieces: mpsc::Receiver<Piece>,
    length: StreamLength,
    /// Whether the sender was dropped before the response was complete.
    has_broken_off: Rc<Cell<bool>>,
    /// Whether hyper may hold the head or data that it has not tried to write yet.
    has_unwritten: bool,
    /// The request, which is counted as served with the last byte of the response; `None` until it is set.
    request: Option<(RequestId, RequestGuard)>,
    /// The client's connection, whose current request ends when the response is dropped; `None` until it is set.
    connection: Option<Rc<ClientConnection>>,
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_request();
        }
        if let Some((id, guard)) = &self.request {
            request_log::response_ended(*id, guard.outcome(), self.length.forwarded());
        }
    }
}

impl fmt::Debug for StreamedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "streamed, {:?} remaining", self.length.remaining())
    }
}

impl StreamedResponse {
    /// Creates the sender and the body of a response of `length` bytes. `None` stands for an unknown length.
    #[must_use]
    pub fn channel(length: Option<u64>) -> (ResponseSender, Self) {
        let (sender, pieces) = mpsc::channel(1);
        let has_broken_off = Rc::new(Cell::new(false));
        let sender = ResponseSender {
            pieces: sender,
            is_finished: false,
            has_broken_off: Rc::clone(&has_broken_off),
        };
        let streamed = Self {
            pieces,
            length: StreamLength::new(length),
            has_broken_off,
            has_unwritten: true,
            request: None,
            connection: None,
        };
        (sender, streamed)
    }

    /// Returns whether the response has ended before it was complete. Data that was sent before may not have been read
    /// yet.
    #[must_use]
    pub fn has_broken_off(&self) -> bool {
        self.has_broken_off.get()
    }

    /// Sets the request that the response belongs to, and the guard that counts it when the response ends.
    pub fn set_request(&mut self, id: RequestId, guard: RequestGuard) {
        self.request = Some((id, guard));
    }

    /// Sets the client's connection on which the response is sent.
    pub fn set_connection(&mut self, connection: Rc<ClientConnection>) {
        self.connection = Some(connection);
    }

    fn set_served(&self) {
        if let Some((_, guard)) = &self.request {
            guard.set_outcome(RequestOutcome::Served);
        }
    }

    /// Waits until hyper has written the head and all data that it was given to the client's socket. hyper writes while
    /// the body is pending, and an error of the body discards what it has not written.
    fn poll_written(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if std::mem::take(&mut self.has_unwritten) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        match &self.connection {
            // hyper polls the body again when it can write.
            Some(connection) if connection.is_write_blocked() => Poll::Pending,
            _ => Poll::Ready(()),
        }
    }

    /// Ends a response that is not complete.
    fn poll_break(&mut self, cx: &mut Context<'_>) -> FramePoll {
        ready!(self.poll_written(cx));
        if let Some((_, guard)) = &self.request {
            guard.set_cut_off();
        }
        Poll::Ready(Some(Err(BodyError::Incomplete(None))))
    }
}

impl Body for StreamedResponse {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        let Poll::Ready(piece) = self.pieces.poll_recv(cx) else {
            self.has_unwritten = false;
            return Poll::Pending;
        };
        match piece {
            Some(Piece::Data(data)) => {
                self.has_unwritten = true;
                self.length.forward(data.len());
                if self.length.is_complete() {
                    self.set_served();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Piece::End) if self.length.remaining().is_none_or(|bytes| bytes == 0) => {
                self.set_served();
                Poll::Ready(None)
            }
            Some(Piece::End) | None => self.poll_break(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.length.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        self.length.size_hint()
    }
}

#[cfg(test)]
mod tests;
