//! A connection's socket that more than the HTTP library looks at.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a closing connection is read on after its last byte, and in all, so that the kernel does not
/// answer late bytes with a reset that destroys an answer on its way.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_TOTAL: Duration = Duration::from_secs(2);
const LINGER_BUFFER: usize = 8 * 1024;

/// What has come in and was not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// Some bytes.
    Bytes,
    /// The other side has ended the connection, or it broke.
    End,
}

/// The socket; clones share it.
#[derive(Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// Shares this one.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// What waits to be read. The runtime may not have seen yet what the kernel knows already, so the socket
    /// itself is asked.
    #[must_use]
    pub fn unread(&self) -> Unread {
        let mut byte = [MaybeUninit::uninit()];
        match socket2::SockRef::from(&*self.0).peek(&mut byte) {
            Ok(1..) => Unread::Bytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Ok(0) | Err(_) => Unread::End,
        }
    }

    /// Waits until the other side has ended its sending or the connection broke, whatever is still unread.
    pub async fn ended(&self) {
        // No urgent data is waited for at the kernel, so this is woken by nothing else.
        while self
            .0
            .ready(Interest::PRIORITY)
            .await
            .is_ok_and(|ready| !ready.is_read_closed())
        {}
    }

    /// Waits until something can be read, without taking it; `false` at the end.
    pub async fn has_bytes(&self) -> bool {
        matches!(self.0.peek(&mut [0]).await, Ok(1..))
    }

    /// Reads what has come; `None` where nothing has, and at the end.
    pub fn read_now(&self, buffer: &mut [u8]) -> Option<usize> {
        self.0.try_read(buffer).ok().filter(|&read| read > 0)
    }

    /// Ends the sending side.
    ///
    /// # Errors
    /// Where it is gone already.
    pub fn end_sending(&self) -> io::Result<()> {
        socket2::SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// When it is closed, the other side sees it break.
    pub fn break_off(&self) {
        let _ = socket2::SockRef::from(&*self.0).set_linger(Some(Duration::ZERO));
    }

    /// Reads what has come, once something has; `None` at the end.
    pub async fn read(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            self.0.readable().await.ok()?;
            match self.0.try_read(buffer) {
                Ok(read) => return Some(read).filter(|&read| read > 0),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }

    /// Ends the sending side and reads what still comes, until nothing does for a while.
    pub async fn linger(&self) {
        if self.end_sending().is_err() {
            return;
        }
        let _ = timeout(LINGER_TOTAL, async {
            let mut buffer = vec![0; LINGER_BUFFER];
            while let Ok(Some(_)) = timeout(LINGER, self.read(&mut buffer)).await {}
        })
        .await;
    }

    /// As [`tokio::io::AsyncRead::poll_read`].
    pub fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Writes as `write` does, once there is room.
    pub fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}
