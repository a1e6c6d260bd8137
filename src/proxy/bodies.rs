//! Bodies: held whole, or passed on piece by piece. One that is passed on is held back by whoever reads it,
//! so it takes the memory of a few pieces whatever its size.

use super::budget::Reserved;
use super::counters::{Counters, End, Ticket};
use super::lines::Line;
use super::{BODY_CAP, PASS_CAP};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, Sleep, sleep_until};

/// Whoever sends a body or an answer slower than this many bytes a second, beyond the time that any may take,
/// is cut off.
const SLOWEST: u64 = 32 * 1024;

/// How long a body may take.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// When one without bytes is late.
    pub late: Instant,
}

impl Pace {
    /// When one is late of which so many bytes have come.
    #[must_use]
    pub fn late(&self, bytes: u64) -> Instant {
        self.late + Duration::from_micros(bytes.saturating_mul(1_000_000) / SLOWEST)
    }
}

/// How far a body is that flows through to a backend.
#[derive(Debug, Default)]
pub struct Progress {
    length: Option<u64>,
    done_at: Cell<Option<Instant>>,
    spent: Cell<bool>,
    broken: Cell<bool>,
    done: Notify,
}

impl Progress {
    /// When its last byte was handed on.
    #[must_use]
    pub fn done_at(&self) -> Option<Instant> {
        self.done_at.get()
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
            if let Some(at) = self.done_at.get() {
                return at;
            }
            self.done.notified().await;
        }
    }

    fn finish(&self) {
        if self.done_at.get().is_none() {
            self.done_at.set(Some(Instant::now()));
            self.done.notify_one();
        }
    }
}

/// A request's body that flows through: what has come of it, and the rest.
pub struct Upload {
    first: Held,
    /// What `first` takes.
    reserved: Vec<Reserved>,
    rest: Incoming,
    pace: Pace,
    sleep: Pin<Box<Sleep>>,
    passed: u64,
    progress: Rc<Progress>,
    counters: Rc<Counters>,
}

impl Upload {
    /// Of whose bytes `first` have come.
    #[must_use]
    pub fn new(
        first: Held,
        reserved: Vec<Reserved>,
        rest: Incoming,
        pace: Pace,
        counters: Rc<Counters>,
    ) -> Self {
        let came = first.left;
        let progress = Progress { length: rest.size_hint().exact().map(|l| l + came), ..Progress::default() };
        let sleep = Box::pin(sleep_until(pace.late(came)));
        Self { first, reserved, rest, pace, sleep, passed: 0, progress: Rc::new(progress), counters }
    }

    /// Reads what is still to come, for nobody, within its time.
    pub async fn read_out(mut self) {
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
                    if self.progress.length.is_none() && self.progress.done_at.get().is_none() {
                        self.counters.tried();
                    }
                    self.progress.finish();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    let late = self.pace.late(self.passed);
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
        self.progress.length.map_or_else(SizeHint::default, |l| SizeHint::with_exact(l - self.passed))
    }
}

/// A body that flows through, until an attempt takes it.
pub type Waiting = Rc<RefCell<Option<Upload>>>;

/// A request's body as an attempt finds it.
pub enum CallBody {
    /// It can be sent as often as the module wants.
    Whole(Held, Vec<Reserved>),
    /// The first attempt that has a connection takes it.
    Passing(Waiting, Rc<Progress>),
}

impl fmt::Debug for CallBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(held, _) => write!(f, "{} bytes", held.left),
            Self::Passing(_, progress) => progress.fmt(f),
        }
    }
}

impl From<Held> for CallBody {
    fn from(held: Held) -> Self {
        Self::Whole(held, Vec::new())
    }
}

impl From<Upload> for CallBody {
    fn from(upload: Upload) -> Self {
        let progress = Rc::clone(&upload.progress);
        Self::Passing(Rc::new(RefCell::new(Some(upload))), progress)
    }
}

impl CallBody {
    /// How far it is, if it flows through.
    #[must_use]
    pub fn progress(&self) -> Option<&Rc<Progress>> {
        match self {
            Self::Whole(..) => None,
            Self::Passing(_, progress) => Some(progress),
        }
    }

    /// It, as long as no attempt has taken it, if it flows through.
    #[must_use]
    pub fn rest(&self) -> Option<Waiting> {
        match self {
            Self::Whole(..) => None,
            Self::Passing(upload, _) => Some(Rc::clone(upload)),
        }
    }

    /// What an attempt sends; `None` where another one has it.
    #[must_use]
    pub fn to_backend(&self) -> Option<ToBackend> {
        match self {
            Self::Whole(held, _) => Some(ToBackend::Whole(held.clone())),
            Self::Passing(upload, _) => upload.take().map(|upload| ToBackend::Passing(Box::new(upload))),
        }
    }
}

/// A body on its way out.
pub enum Sent<P> {
    /// Held whole.
    Whole(Held),
    /// Flows through.
    Passing(P),
}

/// The body of an attempt.
pub type ToBackend = Sent<Box<Upload>>;
/// The body of an answer to a client.
pub type ToClient = Sent<Passing>;

impl<P: Body<Data = Bytes, Error = io::Error> + Unpin> Body for Sent<P> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Passing(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Passing(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Passing(body) => body.size_hint(),
        }
    }
}

/// What goes through the channel of an answer.
enum Piece {
    Data(Bytes),
    /// It was whole.
    End,
}

/// An answer that flows through, at the side of the backend.
pub struct Giver(mpsc::Sender<Piece>);

/// The client is gone, or reads no more.
#[derive(Debug)]
pub struct Unwanted;

impl Giver {
    /// Hands on a piece once there is room for it, within `patience`.
    ///
    /// # Errors
    /// Where nobody takes it.
    pub async fn give(&self, data: Bytes, patience: Duration) -> Result<(), Unwanted> {
        self.0.send_timeout(Piece::Data(data), patience).await.map_err(|_| Unwanted)
    }

    /// That was all. An answer whose giver is dropped without this has broken off.
    pub async fn end(self) {
        let _ = self.0.send(Piece::End).await;
    }

    /// Waits until nobody wants the answer any more.
    pub async fn unwanted(&self) {
        self.0.closed().await;
    }
}

/// An answer that flows through, at the side of the client.
pub struct Passing {
    pieces: mpsc::Receiver<Piece>,
    /// Its bytes that are still to come, where the backend told their number.
    left: Option<u64>,
    /// Counted as passed with its last byte.
    ticket: Option<Ticket>,
    /// The connection that it goes out on, which has its answer when this is dropped.
    line: Option<Rc<Line>>,
}

impl Drop for Passing {
    fn drop(&mut self) {
        self.line.iter().for_each(|line| line.answer());
    }
}

impl fmt::Debug for Passing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "passing, {:?} left", self.left)
    }
}

impl Passing {
    /// The two ends of an answer of that length.
    #[must_use]
    pub fn channel(length: Option<u64>) -> (Giver, Self) {
        let (sender, pieces) = mpsc::channel(1);
        (Giver(sender), Self { pieces, left: length, ticket: None, line: None })
    }

    /// The request that it answers, counted when it ends.
    pub fn carry(&mut self, ticket: Ticket) {
        self.ticket = Some(ticket);
    }

    /// The connection that it goes out on.
    pub fn hold(&mut self, line: Rc<Line>) {
        self.line = Some(line);
    }

    fn note(&self, end: End) {
        self.ticket.iter().for_each(|ticket| ticket.note(end));
    }
}

impl Body for Passing {
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
                    self.note(End::Passed);
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Piece::End) if self.left.is_none_or(|left| left == 0) => {
                self.note(End::Passed);
                Poll::Ready(None)
            }
            Some(Piece::End) | None => {
                self.note(End::BadGateway);
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A backend's answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Held whole.
    Whole(Held),
    /// It has begun.
    Passing(Passing),
}

impl From<AnswerBody> for ToClient {
    fn from(body: AnswerBody) -> Self {
        match body {
            AnswerBody::Whole(held) => Self::Whole(held),
            AnswerBody::Passing(passing) => Self::Passing(passing),
        }
    }
}

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

/// A body that is held whole, in pieces.
#[derive(Clone, Debug, Default)]
pub struct Held {
    pieces: VecDeque<Bytes>,
    left: u64,
}

impl From<Bytes> for Held {
    fn from(bytes: Bytes) -> Self {
        let left = bytes.len() as u64;
        Self { pieces: [bytes].into_iter().filter(|piece| !piece.is_empty()).collect(), left }
    }
}

impl Held {
    /// Its pieces, in order.
    pub fn into_pieces(self) -> impl Iterator<Item = Bytes> {
        self.pieces.into_iter()
    }

    /// Its bytes in one piece.
    #[must_use]
    pub fn joined(&self) -> Vec<u8> {
        self.pieces.iter().flat_map(|piece| piece.iter().copied()).collect()
    }
}

impl Body for Held {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let piece = self.pieces.pop_front();
        self.left -= piece.as_ref().map_or(0, |piece| piece.len() as u64);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Holds what comes, without a copy where it is a single piece, else in pieces of one size: grown in place,
/// large bodies left as much memory unused behind them as they took.
#[derive(Default)]
pub struct Gathered {
    full: Held,
    last: Vec<u8>,
}

impl Gathered {
    /// Adds a piece.
    pub fn add(&mut self, data: Bytes) {
        if self.is_empty() {
            self.full = data.into();
            return;
        }
        if self.last.is_empty() && self.full.pieces.len() == 1 && self.full.left < BODY_CAP as u64 {
            // The first one was not copied.
            let first = std::mem::take(&mut self.full);
            first.pieces.iter().for_each(|piece| self.copy(piece));
        }
        self.copy(&data);
    }

    fn copy(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            // Most bodies are small; what is larger than one piece takes whole ones.
            if self.last.is_empty() && !self.full.pieces.is_empty() {
                self.last.reserve_exact(BODY_CAP);
            }
            let (now, later) = data.split_at(data.len().min(BODY_CAP - self.last.len()));
            self.last.extend_from_slice(now);
            if self.last.len() == BODY_CAP {
                self.finish();
            }
            data = later;
        }
    }

    fn finish(&mut self) {
        let last = std::mem::take(&mut self.last);
        self.full.left += last.len() as u64;
        self.full.pieces.push_back(last.into());
    }

    /// How many bytes there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.full.left as usize + self.last.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All of them.
    #[must_use]
    pub fn take(mut self) -> Held {
        if !self.last.is_empty() {
            self.finish();
        }
        self.full
    }
}

#[cfg(test)]
mod tests;
