//! Connecting to a backend or to discovery.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};

/// Connects to a backend or to discovery. The socket is made first and connected then: made and connected in
/// one call, most connects of whole fleets were seen to fail with EBADF on the bench's clock.
pub(super) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}
