//! The state of each client connection, as its deadline and its eviction need it: what the client and the proxy do
//! on it, since when, and what it would cost to close it.

use super::budget::MemoryBudget;
use super::framing::Framing;
use super::read_ahead::{READ_PIECE_BYTES, ReadAhead};
use super::socket::{Socket, Unread};
use super::socket_io::ObservedSocket;
use super::time_limits::{CLIENT_IDLE_TIMEOUT, RESPONSE_STALL_TIMEOUT};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time in which a client has to send a head, and for which bytes that belong to no open request are read. For the
/// first head on a connection it counts from the accept, for others from their first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_750);

/// A connection that has brought no complete request yet is closed last to make room for another client while its last
/// activity is more recent than this: the request may still be on its way.
const ACTIVE_WINDOW: Duration = Duration::from_millis(500);

/// The state of a connection, as its deadline and its eviction need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// The client reads more slowly than its response comes.
    WriteBlocked,
    /// It has a request without a complete response.
    Serving,
    /// No byte of a request has come yet.
    Unused,
    /// It had requests and has none now.
    Idle,
    /// A part of a head has come.
    ReadingHead,
    /// What comes is the rest of a body whose request is answered, or malformed.
    Discarding,
}

/// What it costs to close a connection, the cheapest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCost {
    /// It never brought a byte, and had time for some.
    Unused,
    /// It had requests and has none now.
    Idle,
    /// A part of a head has come, and nothing more for a while.
    PartialHead,
    /// A request may come at any moment: the connection is new, or a head is coming.
    Active,
}

/// A connection of a client.
pub struct ClientConnection {
    socket: Socket,
    ahead: RefCell<ReadAhead>,
    framing: RefCell<Framing>,
    connected_at: Instant,
    /// When bytes last went either way.
    last_activity: Cell<Instant>,
    /// When the present head began.
    head_started_at: Cell<Instant>,
    /// Requests that have come, and those of them that have their responses.
    requests: Cell<u64>,
    responses: Cell<u64>,
    /// Its client reads more slowly than its response comes.
    write_blocked: Cell<bool>,
    /// Tells the connection's task to close it, so that another client can be accepted.
    eviction: Notify,
    /// The task was notified, and has not checked yet.
    eviction_pending: Cell<bool>,
}

impl ClientConnection {
    /// Creates a connection that was accepted now. `head_cap` is the largest head, in bytes.
    #[must_use]
    pub fn new(stream: TcpStream, head_cap: usize) -> Self {
        let now = Instant::now();
        Self {
            socket: Socket::new(stream),
            ahead: RefCell::default(),
            framing: RefCell::new(Framing::new(head_cap)),
            connected_at: now,
            last_activity: Cell::new(now),
            head_started_at: Cell::new(now),
            requests: Cell::new(0),
            responses: Cell::new(0),
            write_blocked: Cell::new(false),
            eviction: Notify::new(),
            eviction_pending: Cell::new(false),
        }
    }

    /// Returns whether the client has closed the connection, as far as the runtime knows, whatever is still unread.
    #[must_use]
    pub fn is_closed_by_client(&self) -> bool {
        pin!(self.socket.closed_by_peer())
            .poll(&mut Context::from_waker(Waker::noop()))
            .is_ready()
    }

    /// Waits until the client has closed the connection. What the client sends meanwhile is read ahead, as far as
    /// there is `memory` for it: the end would not be seen after more bytes than the kernel buffers. The present
    /// request must be complete, because the rest of it would be read ahead as well.
    pub async fn closed_by_client(&self, memory: &MemoryBudget) {
        tokio::select! {
            () = self.socket.closed_by_peer() => {}
            () = self.read_ahead(memory) => {}
        }
    }

    /// Reads ahead until the client has closed the connection.
    async fn read_ahead(&self, memory: &MemoryBudget) {
        while self.socket.wait_for_bytes().await {
            if !self.ahead.borrow_mut().make_room(memory) {
                return std::future::pending().await;
            }
            let mut piece = [0; READ_PIECE_BYTES];
            if let Some(read) = self.socket.read_now(&mut piece) {
                self.ahead.borrow_mut().add(&piece[..read]);
            }
        }
    }

    /// Returns when the connection was accepted.
    #[must_use]
    pub fn connected_at(&self) -> Instant {
        self.connected_at
    }

    /// Begins a request, and returns its number, from 1 on.
    #[must_use]
    pub fn begin_request(&self) -> u64 {
        self.requests.set(self.requests.get() + 1);
        self.requests.get()
    }

    /// Ends the present request: its response is complete, or ready to be written completely.
    pub fn end_request(&self) {
        self.responses.set(self.responses.get() + 1);
    }

    /// Returns whether the end of the body of the request of that number is ambiguous.
    #[must_use]
    pub fn is_ambiguous(&self, number: u64) -> bool {
        self.framing.borrow().is_ambiguous(number)
    }

    /// Returns whether the connection has no request and no part of one, not even unread bytes in the kernel.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_idle = matches!(
            self.state(),
            ConnectionState::Unused | ConnectionState::Idle
        );
        is_idle && !self.has_unread()
    }

    /// Returns whether the connection may be closed to make room: it has no complete request, and no unread bytes
    /// that may be one.
    #[must_use]
    pub fn is_evictable(&self) -> bool {
        self.eviction_cost().is_some() && !self.has_unread()
    }

    /// Returns whether bytes have come that were not read yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        !self.ahead.borrow().is_empty() || self.socket.unread() == Unread::Bytes
    }

    /// Returns when the client will have taken too long; `None` while the proxy has to respond.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match self.state() {
            ConnectionState::Serving => None,
            ConnectionState::WriteBlocked => {
                Some(self.last_activity.get() + RESPONSE_STALL_TIMEOUT)
            }
            ConnectionState::Unused | ConnectionState::Idle => {
                Some(self.last_activity.get() + CLIENT_IDLE_TIMEOUT)
            }
            // The library rejects what is malformed. It has as long as a head, or it could stay open for ever.
            ConnectionState::ReadingHead | ConnectionState::Discarding => {
                let started_at = if self.requests.get() == 0 {
                    self.connected_at
                } else {
                    self.head_started_at.get()
                };
                Some(started_at + HEAD_TIMEOUT)
            }
        }
    }

    /// Waits until the connection should be closed so that another client can be accepted.
    pub async fn eviction_requested(&self) {
        self.eviction.notified().await;
        self.eviction_pending.set(false);
    }

    /// Tells the connection's task to close it, if it still may be closed then.
    fn request_eviction(&self) {
        self.eviction_pending.set(true);
        self.eviction.notify_one();
    }

    /// Derives the state from what was read, answered and written.
    fn state(&self) -> ConnectionState {
        let framing = self.framing.borrow();
        if self.write_blocked.get() {
            ConnectionState::WriteBlocked
        } else if self.requests.get().max(framing.heads()) > self.responses.get() {
            ConnectionState::Serving
        } else if framing.is_between_messages() && self.requests.get() == 0 {
            ConnectionState::Unused
        } else if framing.is_between_messages() {
            ConnectionState::Idle
        } else if framing.is_in_head() {
            ConnectionState::ReadingHead
        } else {
            ConnectionState::Discarding
        }
    }

    /// Returns what it costs to close the connection; `None` where it must not be closed for another client.
    fn eviction_cost(&self) -> Option<EvictionCost> {
        let is_active = self.last_activity.get().elapsed() < ACTIVE_WINDOW;
        match self.state() {
            ConnectionState::Idle => Some(EvictionCost::Idle),
            ConnectionState::Unused | ConnectionState::ReadingHead if is_active => {
                Some(EvictionCost::Active)
            }
            ConnectionState::Unused => Some(EvictionCost::Unused),
            ConnectionState::ReadingHead => Some(EvictionCost::PartialHead),
            ConnectionState::WriteBlocked
            | ConnectionState::Serving
            | ConnectionState::Discarding => None,
        }
    }

    fn record_read(&self, bytes: &[u8]) {
        let mut framing = self.framing.borrow_mut();
        let was_in_head = framing.is_in_head();
        framing.feed(bytes);
        self.last_activity.set(Instant::now());
        if !was_in_head {
            self.head_started_at.set(self.last_activity.get());
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
    /// Adds a connection, and returns its number.
    pub fn add(&mut self, connection: &Rc<ClientConnection>) -> u64 {
        self.next += 1;
        self.open.insert(self.next, Rc::clone(connection));
        self.next
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Closes the connection that is cheapest to close, of several the one without activity for longest. One with a
    /// request is never closed.
    ///
    /// The task of the connection is notified, and closes it unless a request has come by then.
    pub fn evict_one(&self) {
        let mut candidates = Vec::new();
        for connection in self.open.values() {
            if connection.eviction_pending.get() {
                continue;
            }
            if let Some(cost) = connection.eviction_cost() {
                candidates.push(((cost, connection.last_activity.get()), connection));
            }
        }
        candidates.sort_unstable_by_key(|(order, _)| *order);
        // Whether bytes are unread costs a system call, so it is looked up for few of them.
        let evicted = candidates
            .into_iter()
            .find(|(_, connection)| !connection.has_unread());
        if let Some((_, connection)) = evicted {
            connection.request_eviction();
        }
    }
}

impl ObservedSocket for ClientConnection {
    fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Reads what was read ahead before anything else.
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut ahead = self.ahead.borrow_mut();
        if !ahead.is_empty() {
            ahead.move_into(buf);
            return Poll::Ready(Ok(()));
        }
        let read = self.socket.poll_read(cx, buf);
        if read.is_pending() {
            ahead.register_reader(cx.waker());
        }
        read
    }

    fn on_read(&self, bytes: &[u8]) {
        self.record_read(bytes);
    }

    fn on_write(&self, written: &Poll<io::Result<usize>>) {
        self.write_blocked.set(written.is_pending());
        if written.is_ready() {
            self.last_activity.set(Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
