//! Listening sockets of the process.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};

/// The largest number of connections that the kernel queues until they are accepted.
const MAX_QUEUED_CONNECTIONS: u32 = 1_024;

/// The process cannot listen on an address.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Creates a socket that listens on an address.
///
/// # Errors
/// The kernel refuses the address, for example because another process listens on it.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    try_listen(address).map_err(|source| ListenError { address, source })
}

fn try_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // Allows a restarted proxy to bind its address while connections of the old process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_QUEUED_CONNECTIONS)
}
