//! Connecting to a backend or to discovery.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};

/// Connects to a backend or to discovery, and turns Nagle's algorithm off.
///
/// The socket is created first and connected then: created and connected in one call, most connects of many
/// proxies that start together were seen to fail with EBADF with the clock of the test bench.
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
