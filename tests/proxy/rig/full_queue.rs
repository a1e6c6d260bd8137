//! A stand-in for a backend that accepts no connection until the test says so.

use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A backend whose accept queue is full: connects to it wait until it is emptied.
pub struct FullQueue {
    pub address: SocketAddr,
    listener: TcpListener,
    _filler: TcpStream,
}

impl FullQueue {
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(address).expect("the queue takes one");
        Self {
            address,
            listener,
            _filler: filler,
        }
    }

    /// Lets the waiting connects succeed.
    pub fn empty(self) -> TcpListener {
        drop(self.listener.accept().expect("the filler"));
        self.listener
    }
}
