//! A stand-in for a backend that accepts no connection until the test lets it.

use super::TEST_TIMEOUT;
use super::message::{read_message, response};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A backend whose accept queue is full: connects to it wait until the test accepts.
pub struct FullBacklog {
    pub address: SocketAddr,
    listener: TcpListener,
    _filler: TcpStream,
}

impl FullBacklog {
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(address).expect("the backlog takes one");
        Self {
            address,
            listener,
            _filler: filler,
        }
    }

    /// Lets the waiting connects succeed.
    pub fn accept_pending(self) -> TcpListener {
        drop(self.listener.accept().expect("the filler"));
        self.listener
    }
}

/// The kernel retries a connect at most this long after the backlog of the listener has space.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Accepts connections and answers a request on each, until none arrives within the time for a retried connect.
/// Returns the ids of the requests.
pub fn received_ids(listener: TcpListener) -> Vec<String> {
    let listener = socket2::Socket::from(listener);
    listener
        .set_read_timeout(Some(CONNECT_RETRY_INTERVAL))
        .expect("a timeout");
    let mut ids = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        let mut stream = TcpStream::from(stream);
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        let Some(request) = read_message(&mut BufReader::new(&stream)) else {
            continue;
        };
        ids.push(
            request
                .header("x-correlation-id")
                .expect("an id")
                .to_owned(),
        );
        stream
            .write_all(&response("200 OK", "", b"there"))
            .expect("the proxy reads");
    }
    ids
}
