//! Connecting to a backend or to discovery.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};

/// Connects to a backend or to discovery, and turns Nagle's algorithm off.
///
/// The socket is created before it is connected, in two calls: under an emulated clock, a connect that creates its
/// own socket may fail with `EBADF`.
///
/// # Errors
/// Where there is no socket, or the peer cannot be reached.
pub(super) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}
