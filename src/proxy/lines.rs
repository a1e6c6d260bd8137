//! The clients' connections as they look from outside: how far each one is, since when, and what it would cost to
//! lose it.

use super::ANSWER_STALL;
use super::clients::REQUEST_TIME;
use super::framing::Framing;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
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
    pub fn new(head_cap: usize) -> Self {
        let now = Instant::now();
        Self {
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

    /// Whether no request is on it, nor a part of one.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.has_request() && !self.stuck.get() && self.framing.borrow().is_between()
    }

    /// Whether no whole request is on it.
    #[must_use]
    pub fn is_cheap(&self) -> bool {
        self.cost().is_some()
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
        let cheapest = staying.filter_map(|line| Some(((line.cost()?, line.moved.get()), line)));
        if let Some((_, line)) = cheapest.min_by_key(|(cost, _)| *cost) {
            line.going.set(true);
            line.go.notify_one();
        }
    }
}

/// A connection's socket, watched.
pub struct LineIo {
    stream: TcpStream,
    line: Rc<Line>,
}

impl LineIo {
    /// Watches this socket.
    #[must_use]
    pub fn new(stream: TcpStream, line: Rc<Line>) -> Self {
        Self { stream, line }
    }

    /// The socket alone.
    #[must_use]
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.line.stuck.set(written.is_pending());
        if written.is_ready() {
            self.line.moved.set(Instant::now());
        }
        written
    }
}

impl AsyncRead for LineIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let old = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > old {
            self.line.read(&buf.filled()[old..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LineIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &[u8] = b"GET /up HTTP/1.1\r\n\r\n";

    fn lines<const N: usize>() -> (Lines, [Rc<Line>; N]) {
        let mut lines = Lines::default();
        let all = std::array::from_fn(|_| Rc::new(Line::new(1_000)));
        all.iter().for_each(|line| {
            lines.add(line);
        });
        (lines, all)
    }

    fn going<const N: usize>(all: &[Rc<Line>; N]) -> Vec<usize> {
        (0..N).filter(|&i| all[i].going.get()).collect()
    }

    #[tokio::test(start_paused = true)]
    async fn the_cheapest_to_lose_goes_first_and_one_with_a_request_never() {
        let (lines, all) = lines::<9>();
        let step = || tokio::time::advance(Duration::from_millis(10));
        let [asking, begun, begun_later, kept, silent, _pipelined, stuck, fresh, coming] = &all;
        stuck.stuck.set(true);
        asking.read(HEAD);
        let _ = asking.ask();
        all[5].read(&HEAD.repeat(2));
        let _ = all[5].ask();
        all[5].answer();
        kept.read(HEAD);
        let _ = kept.ask();
        kept.answer();
        begun.read(&HEAD[..5]);
        step().await;
        begun_later.read(&HEAD[..5]);
        tokio::time::advance(FRESH).await;
        fresh.moved.set(Instant::now());
        coming.read(&HEAD[..5]);
        assert!(silent.is_idle() && kept.is_idle() && !begun.is_idle() && begun.is_cheap());
        for most in 1..=4 {
            lines.make_room();
            let mut order = [4, 3, 1, 2][..most].to_vec();
            order.sort_unstable();
            assert_eq!(going(&all), order);
        }
        (0..3).for_each(|_| lines.make_room());
        assert_eq!(going(&all), [1, 2, 3, 4, 7, 8], "those that may go on come last");
    }

    #[tokio::test(start_paused = true)]
    async fn a_client_has_its_time_for_a_head_and_for_staying_idle() {
        let (_, [line]) = lines::<1>();
        let start = Instant::now();
        assert_eq!(line.late(), Some(start + REQUEST_TIME), "it says nothing");
        tokio::time::advance(Duration::from_secs(1)).await;
        line.read(&HEAD[..5]);
        assert_eq!(line.late(), Some(start + HEAD_TIME), "the first head counts from connecting");
        line.read(&HEAD[5..]);
        let _ = line.ask();
        assert_eq!(line.late(), None, "it is the proxy's turn");
        line.answer();
        tokio::time::advance(Duration::from_secs(2)).await;
        line.read(&HEAD[..5]);
        let begun = Instant::now();
        tokio::time::advance(Duration::from_secs(1)).await;
        line.read(&HEAD[5..9]);
        assert_eq!(line.late(), Some(begun + HEAD_TIME), "a later one counts from its first byte");
        line.stuck.set(true);
        assert!(line.late() > Some(begun + HEAD_TIME), "an answer is not cut off while its client reads");
    }
}
