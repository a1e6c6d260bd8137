//! Listening sockets of the process.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1_024;

/// An address cannot be listened on.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Listens on an address.
///
/// # Errors
/// The kernel does not permit it, for example because the address is taken.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    try_listen(address).map_err(|source| ListenError { address, source })
}

fn try_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // A restarted proxy takes its old address although connections of the old process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
