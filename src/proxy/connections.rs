//! The clients' connections as they look from outside: how far each one is, since when, and what it would
//! cost to lose it.

use super::budget;
use super::framing::Framing;
use super::limits::{ANSWER_STALL, REQUEST_TIME};
use super::read_ahead::{READ_PIECE, ReadAhead};
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
enum EvictionCost {
    /// It never brought a byte, and had time for some.
    Unused,
    /// It had requests and has none now.
    Idle,
    /// A part of a head has come, and nothing more for a while.
    PartialHead,
    /// It may bring a request at any moment: it came just now, or its head is coming.
    Active,
}

/// A connection on which something went this lately may well go on.
const ACTIVE_WINDOW: Duration = Duration::from_millis(500);

/// One connection of a client.
pub struct ClientConnection {
    socket: Socket,
    ahead: RefCell<ReadAhead>,
    framing: RefCell<Framing>,
    connected: Instant,
    /// When bytes last went either way.
    last_activity: Cell<Instant>,
    /// When the present head began.
    head_began: Cell<Instant>,
    /// Requests that have come, and those of them that have their answers.
    requests: Cell<u64>,
    answers: Cell<u64>,
    /// Its client takes what it is sent more slowly than it comes.
    write_blocked: Cell<bool>,
    /// Tells its task to close it, so that others get its place.
    evict: Notify,
    /// It was told so, and has not looked yet.
    evicting: Cell<bool>,
}

impl ClientConnection {
    /// One that was accepted now, whose heads may have so many bytes.
    #[must_use]
    pub fn new(stream: TcpStream, head_cap: usize) -> Self {
        let now = Instant::now();
        Self {
            socket: Socket::new(stream),
            ahead: RefCell::default(),
            framing: RefCell::new(Framing::new(head_cap)),
            connected: now,
            last_activity: Cell::new(now),
            head_began: Cell::new(now),
            requests: Cell::new(0),
            answers: Cell::new(0),
            write_blocked: Cell::new(false),
            evict: Notify::new(),
            evicting: Cell::new(false),
        }
    }

    /// Its socket.
    #[must_use]
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Whether its client has ended it, as far as the runtime knows, whatever is still unread.
    #[must_use]
    pub fn is_closed_by_client(&self) -> bool {
        pin!(self.socket.ended())
            .poll(&mut Context::from_waker(Waker::noop()))
            .is_ready()
    }

    /// Waits until its client has ended it. What the client sends meanwhile is read ahead, as far as there is
    /// `memory` for it: behind more than the kernel takes, the end would not be seen. Whatever of the request
    /// itself is still to come would be read as well, so it has to be whole.
    pub async fn closed_by_client(&self, memory: &budget::Bytes) {
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
    pub fn begin_request(&self) -> u64 {
        self.requests.set(self.requests.get() + 1);
        self.requests.get()
    }

    /// A request has its answer, or the head of it.
    pub fn end_request(&self) {
        self.answers.set(self.answers.get() + 1);
    }

    /// Whether the body of that request can be read in two ways.
    #[must_use]
    pub fn is_ambiguous(&self, number: u64) -> bool {
        self.framing.borrow().is_ambiguous(number)
    }

    /// Whether no request is on it, nor a part of one, not even in the kernel.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.has_request()
            && !self.write_blocked.get()
            && self.framing.borrow().is_between()
            && !self.has_unread()
    }

    /// Whether no whole request is on it, as far as the kernel knows.
    #[must_use]
    pub fn is_evictable(&self) -> bool {
        self.eviction_cost().is_some() && !self.has_unread()
    }

    /// Whether bytes wait that were not read yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        !self.ahead.borrow().is_empty() || self.socket.unread() == Unread::Bytes
    }

    /// When its client has taken too long, where it is the client's turn.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        if self.write_blocked.get() {
            return Some(self.last_activity.get() + ANSWER_STALL);
        }
        if self.has_request() {
            return None;
        }
        // What makes no sense is the library's to turn away, and has no longer than a head.
        Some(if self.framing.borrow().is_between() {
            self.last_activity.get() + REQUEST_TIME
        } else if self.requests.get() == 0 {
            self.connected + HEAD_TIME
        } else {
            self.head_began.get() + HEAD_TIME
        })
    }

    /// Waits until it is to be closed because others need its place.
    pub async fn eviction_requested(&self) {
        self.evict.notified().await;
        self.evicting.set(false);
    }

    fn has_request(&self) -> bool {
        self.requests.get().max(self.framing.borrow().heads()) > self.answers.get()
    }

    /// `None` for one with a request.
    fn eviction_cost(&self) -> Option<EvictionCost> {
        let framing = self.framing.borrow();
        if self.has_request() || self.write_blocked.get() {
            return None;
        }
        let cost = match (
            framing.is_between(),
            framing.is_in_head(),
            self.requests.get(),
        ) {
            (true, _, 0) => EvictionCost::Unused,
            (true, ..) => return Some(EvictionCost::Idle),
            (_, true, _) => EvictionCost::PartialHead,
            _ => return None,
        };
        Some(if self.last_activity.get().elapsed() < ACTIVE_WINDOW {
            EvictionCost::Active
        } else {
            cost
        })
    }

    fn record_read(&self, bytes: &[u8]) {
        let mut framing = self.framing.borrow_mut();
        let was_in_head = framing.is_in_head();
        framing.feed(bytes);
        self.last_activity.set(Instant::now());
        if !was_in_head {
            self.head_began.set(self.last_activity.get());
        }
    }
}

/// The clients' connections that are open.
#[derive(Default)]
pub struct ClientConnections {
    open: FxHashMap<u64, Rc<ClientConnection>>,
    next: u64,
}

impl ClientConnections {
    /// One more; its number.
    pub fn add(&mut self, connection: &Rc<ClientConnection>) -> u64 {
        self.next += 1;
        self.open.insert(self.next, Rc::clone(connection));
        self.next
    }

    /// It has ended.
    pub fn remove(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Has the one connection closed that is cheapest to lose, of several the one on which nothing has moved
    /// for longest; one with a request is none of them.
    pub fn evict_one(&self) {
        let staying = self
            .open
            .values()
            .filter(|connection| !connection.evicting.get());
        let mut cheapest: Vec<_> = staying
            .filter_map(|connection| {
                Some((
                    (connection.eviction_cost()?, connection.last_activity.get()),
                    connection,
                ))
            })
            .collect();
        cheapest.sort_unstable_by_key(|(cost, _)| *cost);
        // The kernel is asked of few of them.
        if let Some((_, connection)) = cheapest
            .into_iter()
            .find(|(_, connection)| !connection.has_unread())
        {
            connection.evicting.set(true);
            connection.evict.notify_one();
        }
    }
}

/// The half of a [`ClientConnection`] that the HTTP side drives.
pub struct ClientIo(pub Rc<ClientConnection>);

impl ClientIo {
    fn record_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.0.write_blocked.set(written.is_pending());
        if written.is_ready() {
            self.0.last_activity.set(Instant::now());
        }
        written
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let old = buf.filled().len();
        let mut ahead = self.0.ahead.borrow_mut();
        if !ahead.is_empty() {
            ahead.move_into(buf);
        } else if self.0.socket.poll_read(cx, buf)?.is_pending() {
            ahead.register_reader(cx.waker());
            return Poll::Pending;
        }
        drop(ahead);
        if buf.filled().len() > old {
            self.0.record_read(&buf.filled()[old..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record_written(self.0.socket.poll_write(cx, |stream| stream.try_write(buf)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_written(
            self.0
                .socket
                .poll_write(cx, |stream| stream.try_write_vectored(bufs)),
        )
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
