//! Discovery of the test: it receives the calls of proxies and answers or fails each as the test decides.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// Time from the stall of a watch until rule 3 (draining) treats the proxy as informed of a change that the stalled
/// call missed. If `MAX_CHANGE_DELAY_AFTER_LONG_POLL` after the long-poll timeout is later, that time applies instead.
const MAX_CHANGE_DELAY_AFTER_STALL: Duration = Duration::from_secs(6);

/// Time from the long-poll timeout of a stalled call until rule 3 (draining) treats the proxy as informed of a change
/// that the call missed. If `MAX_CHANGE_DELAY_AFTER_STALL` after the stall is later, that time applies instead.
const MAX_CHANGE_DELAY_AFTER_LONG_POLL: Duration = Duration::from_secs(2);

/// A call that discovery has received and not yet answered.
pub struct Call {
    pub received_at: Instant,
    /// The revision of the proxy's list, or `None` if the call requests the complete list.
    pub after: Option<u64>,
    pub long_poll_timeout: Duration,
    stream: TcpStream,
}

/// Reads the next call on a connection. Returns `None` if the connection ends before the call does.
async fn read_call(mut stream: TcpStream) -> Option<Call> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("a call is UTF-8 text");
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
    /// Answers with this list and waits for the next call on the connection. Returns `None` if the connection ends.
    pub async fn answer(mut self, list: &Value) -> Option<Call> {
        let text = list.to_string();
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        self.stream.write_all(text.as_bytes()).await.ok()?;
        read_call(self.stream).await
    }

    /// Returns the time from which rule 3 (draining) treats the proxy as informed of a change that this call misses
    /// because it has stalled since its start.
    pub fn time_limit_for_missed_change(&self) -> Instant {
        let after_long_poll = self.long_poll_timeout + MAX_CHANGE_DELAY_AFTER_LONG_POLL;
        self.received_at + MAX_CHANGE_DELAY_AFTER_STALL.max(after_long_poll)
    }
}

/// How discovery fails a call.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// Answers with status 503.
    Unavailable,
    /// Closes the connection without an answer.
    Reset,
    /// Answers with a complete body that is not an endpoint list.
    Malformed,
    /// Closes the connection within the answer.
    Truncated,
    /// Does not answer before the call times out.
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
    /// Fails the call in this way. Returns the call if its connection must stay open.
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
            .expect("the proxy keeps the connection open");
        None
    }
}

/// The listener of discovery.
pub struct Discovery(pub TcpListener);

impl Discovery {
    /// Starts discovery on a free loopback port.
    pub async fn start() -> (Self, SocketAddr) {
        Self::start_at("127.0.0.1:0").await
    }

    /// Starts discovery at this address.
    pub async fn start_at(address: &str) -> (Self, SocketAddr) {
        let listener = TcpListener::bind(address)
            .await
            .expect("the loopback address is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        (Self(listener), address)
    }

    /// Waits for the next connection and returns the first call on it.
    pub async fn next_call(&self) -> Call {
        let accepted = timeout(Duration::from_secs(600), self.0.accept())
            .await
            .expect("a proxy connects within 600 s");
        read_call(accepted.expect("the listener stays open").0)
            .await
            .expect("the proxy sends a complete call")
    }
}

/// Returns an endpoint list with endpoints of these ids and phases.
pub fn list(revision: u64, complete: bool, endpoints: &[(&str, &str)]) -> Value {
    let endpoint = |&(id, phase): &(&str, &str)| {
        json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "flavor": "m", "cell": 0,
               "phase": phase, "up_since_ms": 0})
    };
    json!({"revision": revision, "complete": complete, "members": endpoints.iter().map(endpoint).collect::<Vec<_>>()})
}

/// The change that removes one of the two cached endpoints.
pub const REMOVAL_OF_ONE_BACKEND: [(&str, &str); 1] = [("s-2", "left")];
