//! A client of the proxy and the requests that it sends.

use super::TEST_TIMEOUT;
use super::message::{Message, read_message};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A health check of the proxy, as a complete request.
pub const HEALTH_CHECK: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A connection of a client to the proxy.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to this address. A read that takes longer than `TEST_TIMEOUT` fails.
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("the proxy listens"))
    }

    /// Connects to this address. The kernel receives this many bytes before the client reads them.
    pub fn connect_with_receive_buffer(address: SocketAddr, bytes: usize) -> Self {
        let socket =
            Socket::new(Domain::IPV4, Type::STREAM, None).expect("the test has a free descriptor");
        socket
            .set_recv_buffer_size(bytes)
            .expect("the kernel allows small buffers");
        socket.connect(&address.into()).expect("the proxy listens");
        Self::new(socket.into())
    }

    fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is not zero");
        Self {
            reader: BufReader::new(stream.try_clone().expect("the test has a free descriptor")),
            stream,
        }
    }

    /// Sends this text.
    pub fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the proxy keeps the connection open");
    }

    /// Receives one response.
    pub fn receive(&mut self) -> Message {
        read_message(&mut self.reader).expect("the proxy sends a complete response")
    }

    /// Sends a request and receives its response.
    pub fn exchange(&mut self, text: &str) -> Message {
        self.send(text);
        self.receive()
    }

    /// Waits for the end of the connection, and reports whether the proxy closes it without a reset or a further byte.
    pub fn ends_cleanly(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 64]), Ok(0))
    }
}

/// The timeout that a client states in its requests.
const CLIENT_TIMEOUT_MS: u64 = 15_000;

/// Returns a request of a class as clients send it. The id is also the idempotency key if the class has one.
pub fn request(class: &str, id: &str, body: &str) -> String {
    request_with_timeout(class, id, body, CLIENT_TIMEOUT_MS)
}

/// Returns a request of a class whose client waits for this time.
pub fn request_with_timeout(class: &str, id: &str, body: &str, timeout_ms: u64) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "submit" {
        format!("Idempotency-Key: {id}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} /{class}?key=7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {timeout_ms}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
