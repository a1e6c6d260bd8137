//! The socket of a connection. Besides the HTTP library, the connection reads and closes it.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A closing connection is still read until nothing has come for this long: the kernel would answer late bytes with a
/// reset, which destroys a response on its way.
const LINGER_QUIET_TIME: Duration = Duration::from_millis(500);
/// How long a closing connection is read at the most.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);
const LINGER_BUFFER_BYTES: usize = 8 * 1024;

/// What has come in and was not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// Some bytes.
    Bytes,
    /// The peer has closed the connection, or it broke.
    End,
}

/// The socket; clones share it.
#[derive(Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// Shares this stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Returns what waits to be read, as the kernel knows it: the runtime may not have seen it yet.
    #[must_use]
    pub fn unread(&self) -> Unread {
        let mut byte = [MaybeUninit::uninit()];
        match socket2::SockRef::from(&*self.0).peek(&mut byte) {
            Ok(1..) => Unread::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Ok(0) | Err(_) => Unread::End,
        }
    }

    /// Waits until the peer has closed its sending side or the connection broke, whatever is still unread.
    pub async fn closed_by_peer(&self) {
        // The kernel reports no urgent data, so nothing else wakes this.
        while self
            .0
            .ready(Interest::PRIORITY)
            .await
            .is_ok_and(|ready| !ready.is_read_closed())
        {}
    }

    /// Waits until something can be read, without taking it. Returns false at the end.
    pub async fn has_bytes(&self) -> bool {
        matches!(self.0.peek(&mut [0]).await, Ok(1..))
    }

    /// Reads what has come. Returns `None` where nothing has, and at the end.
    pub fn read_now(&self, buffer: &mut [u8]) -> Option<usize> {
        self.0.try_read(buffer).ok().filter(|&read| read > 0)
    }

    /// Closes the sending side.
    ///
    /// # Errors
    /// Where the connection has ended already.
    pub fn end_sending(&self) -> io::Result<()> {
        socket2::SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Makes the close a reset, so that the peer sees the connection break.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&*self.0).set_linger(Some(Duration::ZERO));
    }

    /// Reads what has come, once something has. Returns `None` at the end.
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

    /// Closes the sending side and reads what still comes, until nothing does for a while.
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

    /// Reads as [`tokio::io::AsyncRead::poll_read`] does.
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

    /// Writes as `write` does, once the kernel has room.
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
