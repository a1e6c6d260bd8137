//! Outgoing connections, to backends and to discovery.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};

/// Connects to a backend or to discovery and disables Nagle's algorithm.
///
/// The socket is created and connected in two calls: under an emulated clock, [`TcpStream::connect`], which does both,
/// may fail with `EBADF`.
///
/// # Errors
/// [`io::Error`] if no socket can be created or the peer cannot be reached.
pub(super) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}
