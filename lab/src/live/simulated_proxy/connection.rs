//! The connection of a simulated proxy to discovery.

use crate::live::traffic::{CountingStream, Side, TrafficCounters};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Number of bytes at the start of a response body that are searched for the revision.
const REVISION_PREFIX_BYTES: usize = 64;

/// An open connection to discovery.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

/// Status and first bytes of the body of a completely read response.
#[derive(Debug)]
pub(super) struct ListResponse {
    status: StatusCode,
    body_start: Vec<u8>,
}

impl ListResponse {
    /// Returns the revision of the list; `None` if the status is not 200 or the start of the body holds no revision.
    pub(super) fn revision(&self) -> Option<u64> {
        if self.status == StatusCode::OK {
            parse_revision(&self.body_start)
        } else {
            None
        }
    }
}

impl Connection {
    /// Opens a connection whose bytes are added to `traffic`; `None` if that fails.
    pub(super) async fn open(address: SocketAddr, traffic: Arc<TrafficCounters>) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let stream = CountingStream::new(stream, traffic, Side::Proxy);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(Self { sender, task })
    }

    /// Sends a GET request and reads the complete response; `None` if the connection breaks.
    pub(super) async fn get(&mut self, address: SocketAddr, target: &str) -> Option<ListResponse> {
        self.sender.ready().await.ok()?;
        let request = Request::get(target)
            .header(HOST, address.to_string())
            .body(Empty::new())
            .ok()?;
        let response = self.sender.send_request(request).await.ok()?;
        let status = response.status();
        let mut body = response.into_body();
        let mut body_start = Vec::with_capacity(REVISION_PREFIX_BYTES);
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            if let Some(data) = frame.data_ref() {
                let remaining = REVISION_PREFIX_BYTES - body_start.len();
                let taken = data.len().min(remaining);
                body_start.extend_from_slice(&data[..taken]);
            }
        }
        Some(ListResponse { status, body_start })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Parses the revision from the first bytes of a serialized endpoint list; `None` if they do not contain it.
#[must_use]
pub fn parse_revision(body_start: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body_start);
    let (_, after_key) = text.split_once("\"revision\":")?;
    let value = after_key.trim_start();
    let end = value.find(|c: char| !c.is_ascii_digit())?;
    value[..end].parse().ok()
}
