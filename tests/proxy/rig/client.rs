//! A client of the proxy, and the requests that it sends.

use super::TEST_TIMEOUT;
use super::message::{Message, read_message};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A health check of the proxy.
pub const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A connection of a client to the proxy.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to this address. Reads time out as failed tests do.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the proxy accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        Self {
            reader: BufReader::new(stream.try_clone().expect("a clone")),
            stream,
        }
    }

    /// Sends this text.
    pub fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the proxy reads");
    }

    /// Receives one response.
    pub fn receive(&mut self) -> Message {
        read_message(&mut self.reader).expect("a complete response")
    }

    /// Sends a request and receives its response.
    pub fn exchange(&mut self, text: &str) -> Message {
        self.send(text);
        self.receive()
    }

    /// Returns whether the proxy closes the connection without a reset and without a further byte.
    pub fn ends_cleanly(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 64]), Ok(0))
    }
}

/// Returns a request of a class as clients send it. `id` is also its idempotency key.
pub fn request(class: &str, id: &str, body: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "submit" {
        format!("Idempotency-Key: {id}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} /{class}?key=7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: 15000\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
