//! A stand-in for discovery that receives the calls of proxies and answers or fails them.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// A change that a stalled watch misses counts as known to the proxy this long after the watch
/// stalled, or this long after its long-poll timeout, whichever is later.
const KNOWN_AFTER_STALL: Duration = Duration::from_secs(6);

const KNOWN_AFTER_LONG_POLL: Duration = Duration::from_secs(2);

/// A call as discovery receives it.
pub struct Call {
    pub received_at: Instant,
    /// The revision that the proxy holds.
    pub after: Option<u64>,
    pub long_poll_timeout: Duration,
    stream: TcpStream,
}

async fn read_call(mut stream: TcpStream) -> Option<Call> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("text");
    let number = |name: &str| {
        let (_, rest) = head.lines().next()?.split_once(name)?;
        rest.split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse()
            .ok()
    };
    let long_poll_timeout = Duration::from_millis(number("wait_ms=").unwrap_or_default());
    Some(Call {
        received_at: Instant::now(),
        after: number("after="),
        long_poll_timeout,
        stream,
    })
}

impl Call {
    /// Answers, and waits for the next call on this connection.
    pub async fn answer(mut self, list: &Value) -> Option<Call> {
        let text = list.to_string();
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        self.stream.write_all(text.as_bytes()).await.ok()?;
        read_call(self.stream).await
    }

    /// When a change that it misses counts as known if it stalls at once.
    pub fn counts_as_known_at(&self) -> Instant {
        let after_long_poll = self.long_poll_timeout + KNOWN_AFTER_LONG_POLL;
        self.received_at + KNOWN_AFTER_STALL.max(after_long_poll)
    }
}

/// How discovery fails a call.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// It answers 503.
    Unavailable,
    /// It breaks the connection.
    Reset,
    /// Its answer is no endpoint list.
    Malformed,
    /// It breaks the connection within its answer.
    Truncated,
    /// It does not answer until the call times out.
    Stall,
}

pub const FAILURES: [Failure; 5] = [
    Failure::Unavailable,
    Failure::Reset,
    Failure::Malformed,
    Failure::Truncated,
    Failure::Stall,
];

impl Call {
    /// Fails the call, and returns it if it stays open.
    pub async fn fail(mut self, failure: Failure) -> Option<Call> {
        let text = match failure {
            Failure::Unavailable => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
            Failure::Malformed => "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"revisi",
            Failure::Truncated => "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{\"revisi",
            Failure::Reset => "",
            Failure::Stall => return Some(self),
        };
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the proxy reads");
        None
    }
}

/// The service, as its listener.
pub struct Discovery(pub TcpListener);

impl Discovery {
    pub async fn start() -> (Self, SocketAddr) {
        Self::start_at("127.0.0.1:0").await
    }

    pub async fn start_at(address: &str) -> (Self, SocketAddr) {
        let listener = TcpListener::bind(address).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        (Self(listener), address)
    }

    /// The first call on the next connection.
    pub async fn next(&self) -> Call {
        let accepted = timeout(Duration::from_secs(600), self.0.accept())
            .await
            .expect("a connection in time");
        read_call(accepted.expect("a connection").0)
            .await
            .expect("a call")
    }
}

/// An endpoint list of these ids and phases.
pub fn list(revision: u64, complete: bool, endpoints: &[(&str, &str)]) -> Value {
    let endpoint = |&(id, phase): &(&str, &str)| {
        json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "flavor": "m", "cell": 0,
               "phase": phase, "up_since_ms": 0})
    };
    json!({"revision": revision, "complete": complete, "members": endpoints.iter().map(endpoint).collect::<Vec<_>>()})
}

pub const ONE_REMOVED: [(&str, &str); 1] = [("s-2", "left")];
