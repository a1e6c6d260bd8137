//! The socket of a connection. hyper reads and writes it, and the connection itself also reads and closes it.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time without received bytes after which a connection that is being closed is no longer read. If it were not read at
/// all, the kernel would answer late bytes with a reset, which destroys a response that the peer has not read yet.
const LINGER_QUIET_TIME: Duration = Duration::from_millis(500);
/// The longest time for which a connection that is being closed is read.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);
/// Interval at which the kernel is asked whether it has sent all bytes.
const SENT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The number of bytes that the kernel holds for a peer that does not take them yet. A kernel that buffers megabytes
/// reports only after many seconds that a slow peer has taken some, and sends them even after their sender has given up.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;
/// Size of the buffer for the bytes that are read from a connection that is being closed, and discarded.
const LINGER_BUFFER_BYTES: usize = 8 * 1024;

/// The kind of data that has arrived on a socket and has not been read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// No data has arrived, and the connection is open.
    Nothing,
    /// At least one byte.
    Bytes,
    /// The end of the connection: the peer has closed it, or it broke.
    End,
}

/// A shared TCP socket. Clones refer to the same socket.
#[derive(Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// Creates a socket from a connected stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // A kernel without the option buffers more.
        let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Self(Rc::new(stream))
    }

    /// Returns what can be read. This takes a system call, because the runtime may not have been notified yet.
    #[must_use]
    pub fn unread(&self) -> Unread {
        let mut byte = [MaybeUninit::uninit()];
        match socket2::SockRef::from(&*self.0).peek(&mut byte) {
            Ok(1..) => Unread::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Ok(0) | Err(_) => Unread::End,
        }
    }

    /// Waits until the peer has closed its sending side or the connection broke, even if there are unread bytes.
    pub async fn closed_by_peer(&self) {
        // The kernel reports no urgent data, so only the close makes the socket ready for `Interest::PRIORITY`.
        while self
            .0
            .ready(Interest::PRIORITY)
            .await
            .is_ok_and(|ready| !ready.is_read_closed())
        {}
    }

    /// Waits until bytes can be read, without reading them. Returns false at the end of the connection.
    pub async fn wait_for_bytes(&self) -> bool {
        matches!(self.0.peek(&mut [0]).await, Ok(1..))
    }

    /// Reads without waiting. Returns the number of bytes read, or `None` if there are none or the connection has
    /// ended.
    pub fn read_now(&self, buffer: &mut [u8]) -> Option<usize> {
        self.0.try_read(buffer).ok().filter(|&read| read > 0)
    }

    /// Acknowledges all received bytes at once. Otherwise the kernel may wait up to 40 ms for bytes to send with the
    /// acknowledgement, and a peer that has not disabled Nagle's algorithm holds further bytes back meanwhile.
    pub fn acknowledge(&self) {
        let _ = self.0.set_quickack(true);
    }

    /// Closes the sending side.
    ///
    /// # Errors
    /// [`io::Error`] if the connection has already ended.
    pub fn end_sending(&self) -> io::Result<()> {
        socket2::SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Waits until the kernel has sent all bytes that were written, for at most `MAX_LINGER_TIME`. A reset would discard
    /// the others.
    pub async fn all_sent(&self) {
        // The kernel reports the socket as writable only below this number of unsent bytes.
        if socket2::SockRef::from(&*self.0)
            .set_tcp_notsent_lowat(1)
            .is_err()
        {
            return;
        }
        let _ = timeout(MAX_LINGER_TIME, async {
            while self.has_unsent() {
                sleep(SENT_CHECK_INTERVAL).await;
            }
        })
        .await;
    }

    /// Returns whether the kernel reports the socket as not writable. This takes a system call, because the runtime is
    /// notified of changes only.
    fn has_unsent(&self) -> bool {
        let mut sockets = [PollFd::new(&*self.0, PollFlags::OUT)];
        let no_wait = Timespec::default();
        matches!(poll(&mut sockets, Some(&no_wait)), Ok(0))
    }

    /// Makes the close of the socket send a reset, so that the peer sees the connection break.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&*self.0).set_linger(Some(Duration::ZERO));
    }

    /// Waits for bytes and reads them. Returns the number of bytes read, or `None` at the end of the connection.
    pub async fn read(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            self.0.readable().await.ok()?;
            match self.0.try_read(buffer) {
                Ok(read) => return Some(read).filter(|&read| read > 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }

    /// Closes the sending side, then reads and discards bytes until none have arrived for `LINGER_QUIET_TIME` or
    /// `MAX_LINGER_TIME` has passed.
    pub async fn linger(&self) {
        if self.end_sending().is_err() {
            return;
        }
        let _ = timeout(MAX_LINGER_TIME, async {
            let mut buffer = vec![0; LINGER_BUFFER_BYTES];
            while let Ok(Some(_)) = timeout(LINGER_QUIET_TIME, self.read(&mut buffer)).await {}
        })
        .await;
    }

    /// Reads like [`tokio::io::AsyncRead::poll_read`].
    pub fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Calls `write` when the socket is writable. A `write` that fails with [`io::ErrorKind::WouldBlock`] is repeated.
    pub fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}
