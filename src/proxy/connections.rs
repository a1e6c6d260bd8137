//! Client connections: their state, and the deadlines that follow from it. The module `eviction` selects the connection
//! that is closed so that another client can be accepted; `body_arrival` tells whether a client may have sent its last byte.

mod body_arrival;
mod eviction;

pub use eviction::ClientConnections;

use super::bodies::BodyProgress;
use super::client_presence::ClientPresence;
use super::framing::Framing;
use super::memory::{MemoryBudget, MemoryUse};
use super::read_ahead::{READ_PIECE_BYTES, ReadAhead};
use super::socket::{Socket, Unread};
use super::socket_io::SocketObserver;
use super::time_limits::{CLIENT_IDLE_TIMEOUT, CLIENT_READ_TIMEOUT, READ_AHEAD_RETRY_INTERVAL};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// The longest time until a request head must be complete, and the longest time for which bytes that belong to no open
/// request are read.
///
/// The time counts from the accept for the first head of a connection, and from the first byte for later heads. It
/// exceeds [`CLIENT_IDLE_TIMEOUT`], which also counts from the accept on a new connection: a first head that begins
/// just before that timeout still has 250 ms to complete.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_750);

/// The state of a connection, which determines its deadline and its eviction cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// The kernel accepts no more bytes of the response, because the client reads it too slowly.
    WriteBlocked,
    /// A request has no complete response yet.
    Serving,
    /// A part of the body of the only request without a response has not been received.
    ReadingBody,
    /// No byte of a request has been received yet.
    Unused,
    /// All requests have their responses, and no byte of a further request has been received.
    Idle,
    /// A part of a head has been received.
    ReadingHead,
    /// The received bytes are malformed, or belong to a body whose request already has its response.
    Discarding,
    /// The last response has been written, and bytes are discarded until the client closes the connection.
    Lingering,
}

/// A connection of a client.
pub struct ClientConnection {
    socket: Socket,
    /// Bytes that were read before hyper asked for them.
    read_ahead: RefCell<ReadAhead>,
    memory: MemoryBudget,
    framing: RefCell<Framing>,
    connected_at: Instant,
    /// The time at which bytes were last read or written; at first the time of the accept.
    last_activity: Cell<Instant>,
    /// The time at which the first byte of the current head was read.
    head_started_at: Cell<Instant>,
    /// The number of requests received so far.
    requests: Cell<u64>,
    /// The number of requests that have their responses.
    responses: Cell<u64>,
    /// Whether the last write has to wait until the client reads.
    write_blocked: Cell<bool>,
    /// The last time at which the client is known not to have sent the last byte of the current request's body.
    body_incomplete_at: Cell<Instant>,
    /// The progress of the current body.
    body_progress: Cell<BodyProgress>,
    /// The time since which the connection has been lingering; `None` before.
    lingering_since: Cell<Option<Instant>>,
    /// Notifies the connection's task that it should close the connection, so that another client can be accepted.
    eviction: Notify,
    /// Whether an eviction was requested that the connection's task has not received yet.
    eviction_pending: Cell<bool>,
}

impl ClientConnection {
    /// Creates the state of a connection that has just been accepted. `max_head_bytes` is the maximum size of a
    /// request head in bytes. Nothing is read while `memory` is exhausted.
    #[must_use]
    pub fn new(stream: TcpStream, max_head_bytes: usize, memory: MemoryBudget) -> Self {
        let now = Instant::now();
        Self {
            socket: Socket::new(stream),
            read_ahead: RefCell::default(),
            memory,
            framing: RefCell::new(Framing::new(max_head_bytes)),
            connected_at: now,
            last_activity: Cell::new(now),
            head_started_at: Cell::new(now),
            requests: Cell::new(0),
            responses: Cell::new(0),
            write_blocked: Cell::new(false),
            body_incomplete_at: Cell::new(now),
            body_progress: Cell::new(BodyProgress::begin()),
            lingering_since: Cell::new(None),
            eviction: Notify::new(),
            eviction_pending: Cell::new(false),
        }
    }

    /// Returns whether the runtime has seen the client close the connection. Bytes may still be unread.
    #[must_use]
    pub fn is_closed_by_client(&self) -> bool {
        pin!(self.socket.closed_by_peer())
            .poll(&mut Context::from_waker(Waker::noop()))
            .is_ready()
    }

    /// Waits until the client has closed the connection.
    ///
    /// Bytes that the client sends in the meantime are read ahead while there is memory for them. Otherwise the close would
    /// not be seen if the client sent more bytes before it than the kernel buffers. `presence` records whether it would
    /// be. The current request must have been read completely, because the rest of it would be read ahead as well.
    pub async fn closed_by_client(&self, presence: &ClientPresence) {
        tokio::select! {
            () = self.socket.closed_by_peer() => {}
            () = self.read_ahead_until_closed(presence) => {}
        }
    }

    /// Reads ahead until the client has closed the connection.
    async fn read_ahead_until_closed(&self, presence: &ClientPresence) {
        while self.socket.wait_for_bytes().await {
            let has_room = self.read_ahead.borrow().has_room(&self.memory);
            presence.set_seen(has_room);
            if !has_room {
                sleep(READ_AHEAD_RETRY_INTERVAL).await;
                continue;
            }
            let mut piece = [0; READ_PIECE_BYTES];
            if let Some(read) = self.socket.read_now(&mut piece) {
                self.read_ahead.borrow_mut().add(&piece[..read]);
            }
        }
    }

    /// Returns the time at which the connection was accepted.
    #[must_use]
    pub fn connected_at(&self) -> Instant {
        self.connected_at
    }

    /// Records the start of a request and returns its number, counted from 1.
    #[must_use]
    pub fn begin_request(&self) -> u64 {
        self.requests.set(self.requests.get() + 1);
        self.requests.get()
    }

    /// Records the end of the current request, whose response has been written or is completely in memory.
    pub fn end_request(&self) {
        self.responses.set(self.responses.get() + 1);
    }

    /// Returns whether the length of the body of request `number` is ambiguous.
    #[must_use]
    pub fn has_ambiguous_body_length(&self, number: u64) -> bool {
        self.framing.borrow().has_ambiguous_body_length(number)
    }

    /// Returns whether the connection has neither an open request nor a part of one, including unread bytes in the
    /// kernel.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_idle = matches!(
            self.state(),
            ConnectionState::Unused | ConnectionState::Idle
        );
        is_idle && !self.has_unread()
    }

    /// Returns whether a request has no complete response yet, or a response may not have reached the client yet, so that
    /// a reset of the connection could destroy it.
    #[must_use]
    pub fn has_response_in_progress(&self) -> bool {
        matches!(
            self.state(),
            ConnectionState::Serving | ConnectionState::WriteBlocked | ConnectionState::Lingering
        )
    }

    /// Records that the last response has been written, and that bytes are discarded from now on.
    pub fn begin_linger(&self) {
        self.lingering_since.set(Some(Instant::now()));
    }

    /// Returns whether hyper has bytes to write that the kernel does not accept yet.
    #[must_use]
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Returns whether bytes have been received that hyper has not read yet. Unless bytes were read ahead, this takes a
    /// system call.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        !self.read_ahead.borrow().is_empty() || self.socket.unread() == Unread::Bytes
    }

    /// Returns whether bytes after request `number` have been received, which may be further requests. Unless they were
    /// read, this takes a system call.
    #[must_use]
    pub fn has_further_request(&self, number: u64) -> bool {
        let framing = self.framing.borrow();
        framing.heads() > number || framing.is_in_head() || self.has_unread()
    }

    /// Returns whether the connection has ended and all bytes before its end have been read. This takes a system call.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.read_ahead.borrow().is_empty() && self.socket.unread() == Unread::End
    }

    /// Returns the time by which the client must send or read more, or `None` while the proxy has to respond, or while
    /// a body or the end of the connection has a time limit of its own.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match self.state() {
            ConnectionState::Serving
            | ConnectionState::ReadingBody
            | ConnectionState::Lingering => None,
            ConnectionState::WriteBlocked => Some(self.last_activity.get() + CLIENT_READ_TIMEOUT),
            ConnectionState::Unused | ConnectionState::Idle => {
                Some(self.last_activity.get() + CLIENT_IDLE_TIMEOUT)
            }
            // hyper rejects malformed bytes. Discarding bytes has the same time limit as reading a head; without a
            // limit, the connection could stay open forever.
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

    /// Waits until the eviction of the connection is requested so that another client can be accepted.
    pub async fn eviction_requested(&self) {
        self.eviction.notified().await;
        self.eviction_pending.set(false);
    }

    /// Asks the connection's task to close the connection. The task closes it only if it is still evictable.
    fn request_eviction(&self) {
        self.eviction_pending.set(true);
        self.eviction.notify_one();
    }

    /// Returns the state, which follows from the bytes read, the numbers of requests and responses, and the last write.
    fn state(&self) -> ConnectionState {
        let framing = self.framing.borrow();
        let open_requests = self
            .requests
            .get()
            .max(framing.heads())
            .saturating_sub(self.responses.get());
        if self.lingering_since.get().is_some() {
            ConnectionState::Lingering
        } else if self.write_blocked.get() {
            ConnectionState::WriteBlocked
        } else if open_requests == 1 && framing.is_in_body() {
            ConnectionState::ReadingBody
        } else if open_requests > 0 {
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

    /// Updates the framing and the times of the connection for bytes that hyper has read.
    fn record_read(&self, bytes: &[u8]) {
        let mut framing = self.framing.borrow_mut();
        let was_in_head = framing.is_in_head();
        let was_in_body = framing.is_in_body();
        framing.feed(bytes);
        self.last_activity.set(Instant::now());
        self.body_progress.set(if was_in_body {
            self.body_progress.get().after_receiving(bytes.len())
        } else {
            BodyProgress::begin()
        });
        if !was_in_head {
            self.head_started_at.set(self.last_activity.get());
        }
        drop(framing);
        self.record_long_rest();
    }
}

impl SocketObserver for ClientConnection {
    fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Returns the bytes that were read ahead, and reads from the socket once there are none.
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut read_ahead = self.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            read_ahead.move_into(buf);
            return Poll::Ready(Ok(()));
        }
        if !self
            .memory
            .has_room(buf.remaining(), MemoryUse::ClientInput)
        {
            self.memory.wake_with_room(cx.waker());
            return Poll::Pending;
        }
        let read = self.socket.poll_read(cx, buf);
        if read.is_pending() {
            read_ahead.register_reader(cx.waker());
            drop(read_ahead);
            self.record_drained();
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
