//! An answer that is streamed from its backend to its client.

use crate::proxy::connections::ClientConnection;
use crate::proxy::counters::{RequestOutcome, RequestTicket};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;

/// What goes through the channel of an answer.
enum Piece {
    Data(Bytes),
    /// It was whole.
    End,
}

/// An answer that flows through, at the side of the backend.
pub struct AnswerSender(mpsc::Sender<Piece>);

/// The client is gone, or reads no more.
#[derive(Debug)]
pub struct ReceiverGone;

impl AnswerSender {
    /// Hands on a piece once there is room for it, within `patience`.
    ///
    /// # Errors
    /// Where nobody takes it.
    pub async fn send(&self, data: Bytes, patience: Duration) -> Result<(), ReceiverGone> {
        self.0
            .send_timeout(Piece::Data(data), patience)
            .await
            .map_err(|_| ReceiverGone)
    }

    /// That was all. An answer whose sender is dropped without this has broken off.
    pub async fn finish(self) {
        let _ = self.0.send(Piece::End).await;
    }

    /// Waits until nobody wants the answer any more.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// An answer that flows through, at the side of the client.
pub struct StreamedAnswer {
    pieces: mpsc::Receiver<Piece>,
    /// Its bytes that are still to come, where the backend told their number.
    left: Option<u64>,
    /// Counted as passed with its last byte.
    ticket: Option<RequestTicket>,
    /// The connection that it goes out on, which has its answer when this is dropped.
    connection: Option<Rc<ClientConnection>>,
}

impl Drop for StreamedAnswer {
    fn drop(&mut self) {
        self.connection
            .iter()
            .for_each(|connection| connection.end_request());
    }
}

impl fmt::Debug for StreamedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "streamed, {:?} left", self.left)
    }
}

impl StreamedAnswer {
    /// The two ends of an answer of that length.
    #[must_use]
    pub fn channel(length: Option<u64>) -> (AnswerSender, Self) {
        let (sender, pieces) = mpsc::channel(1);
        (
            AnswerSender(sender),
            Self {
                pieces,
                left: length,
                ticket: None,
                connection: None,
            },
        )
    }

    /// The request that it answers, counted when it ends.
    pub fn set_ticket(&mut self, ticket: RequestTicket) {
        self.ticket = Some(ticket);
    }

    /// The connection that it goes out on.
    pub fn set_connection(&mut self, connection: Rc<ClientConnection>) {
        self.connection = Some(connection);
    }

    fn set_outcome(&self, outcome: RequestOutcome) {
        self.ticket
            .iter()
            .for_each(|ticket| ticket.set_outcome(outcome));
    }
}

impl Body for StreamedAnswer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match ready!(self.pieces.poll_recv(cx)) {
            Some(Piece::Data(data)) => {
                self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
                if self.left == Some(0) {
                    self.set_outcome(RequestOutcome::Passed);
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Piece::End) if self.left.is_none_or(|left| left == 0) => {
                self.set_outcome(RequestOutcome::Passed);
                Poll::Ready(None)
            }
            Some(Piece::End) | None => {
                self.set_outcome(RequestOutcome::BadGateway);
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
