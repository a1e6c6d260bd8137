//! The clients' connections as they look from outside: how far each one is, since when, and what it would cost to
//! lose it.

use super::ANSWER_STALL;
use super::ahead::{READ_PIECE, ReadAhead};
use super::budget;
use super::clients::REQUEST_TIME;
use super::framing::Framing;
use super::socket::{Socket, Unread};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a client may take for a head; for the first one on a connection this counts from connecting.
const HEAD_TIME: Duration = Duration::from_millis(2_750);

/// What it costs to lose a connection, the cheapest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cost {
    /// It never brought a byte, and had time for some.
    Silent,
    /// It had requests and has none now.
    Idle,
    /// A part of a head has come, and nothing more for a while.
    Begun,
    /// It may bring a request at any moment: it came just now, or its head is coming.
    Fresh,
}

/// What has moved this lately may well go on.
const FRESH: Duration = Duration::from_millis(500);

/// One connection.
pub struct Line {
    socket: Socket,
    ahead: RefCell<ReadAhead>,
    framing: RefCell<Framing>,
    connected: Instant,
    /// When bytes last went either way.
    moved: Cell<Instant>,
    /// When the present head began.
    begun: Cell<Instant>,
    asked: Cell<u64>,
    answered: Cell<u64>,
    /// Its client takes what it is sent more slowly than it comes.
    stuck: Cell<bool>,
    go: Notify,
    going: Cell<bool>,
}

impl Line {
    /// One that was accepted now, whose heads may have so many bytes.
    #[must_use]
    pub fn new(stream: TcpStream, head_cap: usize) -> Self {
        let now = Instant::now();
        Self {
            socket: Socket::new(stream),
            ahead: RefCell::default(),
            framing: RefCell::new(Framing::new(head_cap)),
            connected: now,
            moved: Cell::new(now),
            begun: Cell::new(now),
            asked: Cell::new(0),
            answered: Cell::new(0),
            stuck: Cell::new(false),
            go: Notify::new(),
            going: Cell::new(false),
        }
    }

    /// Its socket.
    #[must_use]
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Whether its client has ended it, as far as the runtime knows, whatever is still unread.
    #[must_use]
    pub fn is_left(&self) -> bool {
        pin!(self.socket.ended()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Waits until its client has ended it. What the client sends meanwhile is read ahead, as far as there is
    /// `memory` for it: behind more than the kernel takes, the end would not be seen. Whatever of the request
    /// itself is still to come would be read as well, so it has to be whole.
    pub async fn left(&self, memory: &budget::Bytes) {
        tokio::select! {
            () = self.socket.ended() => {}
            () = self.read_ahead(memory) => {}
        }
    }

    /// Reads ahead; ends where its client has ended it.
    async fn read_ahead(&self, memory: &budget::Bytes) {
        while self.socket.has_bytes().await {
            if !self.ahead.borrow_mut().make_room(memory) {
                return std::future::pending().await;
            }
            let mut piece = [0; READ_PIECE];
            if let Some(read) = self.socket.read_now(&mut piece) {
                self.ahead.borrow_mut().add(&piece[..read]);
            }
        }
    }

    /// When it was accepted.
    #[must_use]
    pub fn connected(&self) -> Instant {
        self.connected
    }

    /// A request has come; its number, from 1 on.
    #[must_use]
    pub fn ask(&self) -> u64 {
        self.asked.set(self.asked.get() + 1);
        self.asked.get()
    }

    /// A request has its answer, or the head of it.
    pub fn answer(&self) {
        self.answered.set(self.answered.get() + 1);
    }

    /// Whether the body of that request can be read in two ways.
    #[must_use]
    pub fn is_ambiguous(&self, number: u64) -> bool {
        self.framing.borrow().is_ambiguous(number)
    }

    /// Whether no request is on it, nor a part of one, not even in the kernel.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.has_request() && !self.stuck.get() && self.framing.borrow().is_between() && !self.has_unread()
    }

    /// Whether no whole request is on it, as far as the kernel knows.
    #[must_use]
    pub fn is_cheap(&self) -> bool {
        self.cost().is_some() && !self.has_unread()
    }

    /// Whether bytes wait that were not read yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        !self.ahead.borrow().is_empty() || self.socket.unread() == Unread::Bytes
    }

    /// When its client has taken too long, where it is the client's turn.
    #[must_use]
    pub fn late(&self) -> Option<Instant> {
        if self.stuck.get() {
            return Some(self.moved.get() + ANSWER_STALL);
        }
        if self.has_request() {
            return None;
        }
        // What makes no sense is the library's to turn away, and has no longer than a head.
        Some(if self.framing.borrow().is_between() {
            self.moved.get() + REQUEST_TIME
        } else if self.asked.get() == 0 {
            self.connected + HEAD_TIME
        } else {
            self.begun.get() + HEAD_TIME
        })
    }

    /// Waits until others need its place.
    pub async fn told_to_go(&self) {
        self.go.notified().await;
        self.going.set(false);
    }

    fn has_request(&self) -> bool {
        self.asked.get().max(self.framing.borrow().heads()) > self.answered.get()
    }

    /// `None` for one with a request.
    fn cost(&self) -> Option<Cost> {
        let framing = self.framing.borrow();
        if self.has_request() || self.stuck.get() {
            return None;
        }
        let cost = match (framing.is_between(), framing.is_in_head(), self.asked.get()) {
            (true, _, 0) => Cost::Silent,
            (true, ..) => return Some(Cost::Idle),
            (_, true, _) => Cost::Begun,
            _ => return None,
        };
        Some(if self.moved.get().elapsed() < FRESH { Cost::Fresh } else { cost })
    }

    fn read(&self, bytes: &[u8]) {
        let mut framing = self.framing.borrow_mut();
        let had_begun = framing.is_in_head();
        framing.feed(bytes);
        self.moved.set(Instant::now());
        if !had_begun {
            self.begun.set(self.moved.get());
        }
    }
}

/// The connections that are open.
#[derive(Default)]
pub struct Lines {
    open: FxHashMap<u64, Rc<Line>>,
    next: u64,
}

impl Lines {
    /// One more; its number.
    pub fn add(&mut self, line: &Rc<Line>) -> u64 {
        self.next += 1;
        self.open.insert(self.next, Rc::clone(line));
        self.next
    }

    /// It has ended.
    pub fn remove(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Has the connection closed that is cheapest to lose, of several the one on which nothing has moved for
    /// longest; one with a request is none of them.
    pub fn make_room(&self) {
        let staying = self.open.values().filter(|line| !line.going.get());
        let mut cheapest: Vec<_> =
            staying.filter_map(|line| Some(((line.cost()?, line.moved.get()), line))).collect();
        cheapest.sort_unstable_by_key(|(cost, _)| *cost);
        // The kernel is asked of few of them.
        if let Some((_, line)) = cheapest.into_iter().find(|(_, line)| !line.has_unread()) {
            line.going.set(true);
            line.go.notify_one();
        }
    }
}

/// The half of a [`Line`] that the HTTP side drives.
pub struct LineIo(pub Rc<Line>);

impl LineIo {
    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.0.stuck.set(written.is_pending());
        if written.is_ready() {
            self.0.moved.set(Instant::now());
        }
        written
    }
}

impl AsyncRead for LineIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let old = buf.filled().len();
        let mut ahead = self.0.ahead.borrow_mut();
        if !ahead.is_empty() {
            ahead.hand_over(buf);
        } else if self.0.socket.poll_read(cx, buf)?.is_pending() {
            ahead.wake_later(cx.waker());
            return Poll::Pending;
        }
        drop(ahead);
        if buf.filled().len() > old {
            self.0.read(&buf.filled()[old..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LineIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.wrote(self.0.socket.poll_write(cx, |stream| stream.try_write(buf)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.wrote(self.0.socket.poll_write(cx, |stream| stream.try_write_vectored(bufs)))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.socket.end_sending())
    }
}

#[cfg(test)]
mod tests;
