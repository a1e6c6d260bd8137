//! A request's body that is streamed to a backend, and how far it is.

use super::{BodyDeadline, BufferedBody};
use crate::proxy::budget::Reserved;
use crate::proxy::counters::Counters;
use crate::proxy::limits::PASS_CAP;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until};

/// How far a body is that flows through to a backend.
#[derive(Debug, Default)]
pub struct Progress {
    length: Option<u64>,
    finished_at: Cell<Option<Instant>>,
    spent: Cell<bool>,
    broken: Cell<bool>,
    finish_notify: Notify,
}

impl Progress {
    /// When its last byte was handed on.
    #[must_use]
    pub fn finished_at(&self) -> Option<Instant> {
        self.finished_at.get()
    }

    /// Some of it has left, so that it can't be sent again.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        self.spent.get()
    }

    /// The client did not send it as it should have.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Its length, if the client told it.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Waits until its last byte has been handed on.
    pub async fn finished(&self) -> Instant {
        loop {
            if let Some(at) = self.finished_at.get() {
                return at;
            }
            self.finish_notify.notified().await;
        }
    }

    fn finish(&self) {
        if self.finished_at.get().is_none() {
            self.finished_at.set(Some(Instant::now()));
            self.finish_notify.notify_one();
        }
    }
}

/// A request's body that flows through: what has come of it, and the rest.
pub struct Upload {
    first: BufferedBody,
    /// What `first` takes.
    reserved: Vec<Reserved>,
    rest: Incoming,
    deadline: BodyDeadline,
    sleep: Pin<Box<Sleep>>,
    passed: u64,
    pub(super) progress: Rc<Progress>,
    counters: Rc<Counters>,
}

impl Upload {
    /// Of whose bytes `first` have come.
    #[must_use]
    pub fn new(
        first: BufferedBody,
        reserved: Vec<Reserved>,
        rest: Incoming,
        deadline: BodyDeadline,
        counters: Rc<Counters>,
    ) -> Self {
        let came = first.left;
        let progress = Progress {
            length: rest.size_hint().exact().map(|l| l + came),
            ..Progress::default()
        };
        let sleep = Box::pin(sleep_until(deadline.after(came)));
        Self {
            first,
            reserved,
            rest,
            deadline,
            sleep,
            passed: 0,
            progress: Rc::new(progress),
            counters,
        }
    }

    /// Reads what is still to come, for nobody, within its time.
    pub async fn drain(mut self) {
        while let Some(Ok(_)) = self.frame().await {}
    }

    fn pass(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.progress.spent.set(true);
        self.passed += data.len() as u64;
        if self.passed > PASS_CAP {
            return self.broke(io::ErrorKind::FileTooLarge);
        }
        if self.progress.length == Some(self.passed) {
            self.progress.finish();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn broke(&self, kind: io::ErrorKind) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.progress.broken.set(true);
        Poll::Ready(Some(Err(kind.into())))
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(piece) = self.first.pieces.pop_front() {
            // Whoever wants a further one has written the one before.
            self.reserved.pop();
            return self.pass(piece);
        }
        self.reserved.clear();
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers say nothing that a backend needs.
                    if let Ok(data) = frame.into_data() {
                        return self.pass(data);
                    }
                }
                Poll::Ready(Some(Err(_))) => return self.broke(io::ErrorKind::UnexpectedEof),
                Poll::Ready(None) => {
                    if self.progress.length.is_none() && self.progress.finished_at.get().is_none() {
                        self.counters.record_attempt();
                    }
                    self.progress.finish();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    let late = self.deadline.after(self.passed);
                    if self.sleep.deadline() < late {
                        self.sleep.as_mut().reset(late);
                    }
                    ready!(self.sleep.as_mut().poll(cx));
                    return self.broke(io::ErrorKind::TimedOut);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.progress.length == Some(self.passed)
    }

    fn size_hint(&self) -> SizeHint {
        self.progress
            .length
            .map_or_else(SizeHint::default, |l| SizeHint::with_exact(l - self.passed))
    }
}
