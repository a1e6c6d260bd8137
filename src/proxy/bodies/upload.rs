//! A request's body that is streamed to a backend, and its progress.

use super::stream::{BodyError, FramePoll, StreamLength};
use super::{BodyDeadline, BufferedBody};
use crate::proxy::budget::Reservation;
use crate::proxy::counters::Counters;
use crate::proxy::size_limits::MAX_FORWARDED_BODY_BYTES;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until};

/// How far an upload is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum UploadState {
    /// Its last byte was not forwarded yet.
    #[default]
    Sending,
    /// Its last byte was forwarded at that time.
    Finished(Instant),
    /// The client did not send it as it should have.
    Broken,
}

/// The progress of a body that is streamed to a backend.
#[derive(Debug, Default)]
pub struct Progress {
    state: Cell<UploadState>,
    /// Some of it was forwarded, and is not held any more.
    consumed: Cell<bool>,
    finished: Notify,
}

impl Progress {
    /// Returns when its last byte was forwarded.
    #[must_use]
    pub fn finished_at(&self) -> Option<Instant> {
        match self.state.get() {
            UploadState::Finished(at) => Some(at),
            UploadState::Sending | UploadState::Broken => None,
        }
    }

    /// Returns whether some of it was forwarded, so that it can't be sent again.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Returns whether the client did not send it as it should have.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.state.get() == UploadState::Broken
    }

    /// Waits until its last byte was forwarded, and returns when that was.
    pub async fn finished(&self) -> Instant {
        loop {
            if let Some(at) = self.finished_at() {
                return at;
            }
            self.finished.notified().await;
        }
    }

    /// Records the time of the last byte, once.
    fn finish(&self) {
        if self.finished_at().is_none() {
            self.state.set(UploadState::Finished(Instant::now()));
            self.finished.notify_one();
        }
    }
}

/// A request's body that is streamed: what has come of it, and the rest.
pub struct Upload {
    first: BufferedBody,
    /// Memory for `first`, a reservation a piece.
    reserved: Vec<Reservation>,
    rest: Incoming,
    deadline: BodyDeadline,
    sleep: Pin<Box<Sleep>>,
    length: StreamLength,
    pub(super) progress: Rc<Progress>,
    counters: Rc<Counters>,
}

impl Upload {
    /// Creates an upload, of which `first` has come.
    #[must_use]
    pub fn new(
        first: BufferedBody,
        reserved: Vec<Reservation>,
        rest: Incoming,
        deadline: BodyDeadline,
        counters: Rc<Counters>,
    ) -> Self {
        let received = first.remaining;
        let total = rest.size_hint().exact().map(|rest| rest + received);
        Self {
            first,
            reserved,
            rest,
            deadline,
            sleep: Box::pin(sleep_until(deadline.after(received))),
            length: StreamLength::new(total),
            progress: Rc::default(),
            counters,
        }
    }

    /// Reads what is still to come and drops it, within its time.
    pub async fn drain(mut self) {
        while let Some(Ok(_)) = self.frame().await {}
    }

    /// Hands data to the writer, and counts it.
    fn forward(&mut self, data: Bytes) -> FramePoll {
        self.progress.consumed.set(true);
        self.length.forward(data.len());
        if self.length.forwarded() > MAX_FORWARDED_BODY_BYTES {
            return self.fail(BodyError::TooLarge);
        }
        if self.length.is_complete() {
            self.progress.finish();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Ends the body early.
    fn fail(&self, error: BodyError) -> FramePoll {
        self.progress.state.set(UploadState::Broken);
        Poll::Ready(Some(Err(error)))
    }

    /// Ends the body after its last byte.
    fn finish(&self) {
        // A body of unknown length is written completely only now.
        if self.length.remaining().is_none() && self.progress.finished_at().is_none() {
            self.counters.record_attempt();
        }
        self.progress.finish();
    }

    /// Fails once the body is late.
    fn poll_late(&mut self, cx: &mut Context<'_>) -> FramePoll {
        let deadline = self.deadline.after(self.length.forwarded());
        if self.sleep.deadline() < deadline {
            self.sleep.as_mut().reset(deadline);
        }
        ready!(self.sleep.as_mut().poll(cx));
        self.fail(BodyError::TimedOut)
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        if let Some(piece) = self.first.pieces.pop_front() {
            // Whoever wants a further one has written the one before.
            self.reserved.pop();
            return self.forward(piece);
        }
        self.reserved.clear();
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers say nothing that a backend needs.
                    if let Ok(data) = frame.into_data() {
                        return self.forward(data);
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    return self.fail(BodyError::Incomplete(Some(error)));
                }
                Poll::Ready(None) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Pending => return self.poll_late(cx),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.length.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        self.length.size_hint()
    }
}
