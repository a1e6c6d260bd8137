//! A backend of the test that accepts no connection until the test allows it.

use super::TEST_TIMEOUT;
use super::message::{read_message, response};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A backend whose listen backlog is full. Connection attempts wait until the test calls `accept_pending`.
pub struct FullBacklog {
    pub address: SocketAddr,
    listener: TcpListener,
    _filler: TcpStream,
}

impl FullBacklog {
    /// Starts the backend and fills its backlog with one connection.
    pub fn start() -> Self {
        let socket =
            Socket::new(Domain::IPV4, Type::STREAM, None).expect("the test has a free descriptor");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a loopback port is free");
        socket.listen(0).expect("a bound socket can listen");
        let listener = TcpListener::from(socket);
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let filler = TcpStream::connect(address).expect("a backlog of 0 holds one connection");
        Self {
            address,
            listener,
            _filler: filler,
        }
    }

    /// Frees the backlog, so that the waiting connects succeed, and returns the listener.
    pub fn accept_pending(self) -> TcpListener {
        drop(
            self.listener
                .accept()
                .expect("the backlog holds the connection that fills it"),
        );
        self.listener
    }
}

/// The kernel retries a connect within this time after the backlog of the listener has space.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Accepts connections and answers one request on each until no connection arrives within the time of a retried
/// connect. Returns the correlation ids of the requests.
pub fn serve_and_collect_ids(listener: TcpListener) -> Vec<String> {
    let listener = socket2::Socket::from(listener);
    listener
        .set_read_timeout(Some(CONNECT_RETRY_INTERVAL))
        .expect("the timeout is not zero");
    let mut ids = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        let mut stream = TcpStream::from(stream);
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is not zero");
        let Some(request) = read_message(&mut BufReader::new(&stream)) else {
            continue;
        };
        ids.push(
            request
                .header("x-correlation-id")
                .expect("a forwarded request has a correlation id")
                .to_owned(),
        );
        stream
            .write_all(&response("200 OK", "", b"there"))
            .expect("the proxy reads the response");
    }
    ids
}
