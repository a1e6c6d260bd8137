//! The HTTP/1.1 client for calls to discovery.

use super::error::DiscoveryError;
use crate::proxy::connect;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::task::JoinHandle;

/// Maximum size of a response: enough for thousands of endpoints.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Calls discovery, and keeps the connection open for the next call.
#[derive(Default)]
pub(super) struct DiscoveryClient {
    connection: Option<Connection>,
}

impl DiscoveryClient {
    /// Fetches the resource `target` and returns the body of the response. A call that fails or is dropped closes the
    /// connection.
    ///
    /// # Errors
    /// [`DiscoveryError`] if connecting, the request or the response fails, or the status is not 200.
    pub(super) async fn fetch(
        &mut self,
        address: SocketAddr,
        target: &str,
    ) -> Result<Bytes, DiscoveryError> {
        let request = Request::get(target)
            .header(HOST, address.to_string())
            .body(Empty::new())
            .map_err(|error| DiscoveryError::InvalidRequest(error.into()))?;
        let mut connection = self.ready_connection(address).await?;
        let response = connection
            .sender
            .send_request(request)
            .await
            .map_err(DiscoveryError::Connection)?;
        let status = response.status();
        let body = read_body(response).await?;
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        self.connection = Some(connection);
        Ok(body)
    }

    /// Closes the connection, if one is open.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Returns the connection of the last call if it is still open, otherwise a new connection.
    async fn ready_connection(
        &mut self,
        address: SocketAddr,
    ) -> Result<Connection, DiscoveryError> {
        if let Some(mut connection) = self.connection.take()
            && connection.sender.ready().await.is_ok()
        {
            return Ok(connection);
        }
        Connection::open(address).await
    }
}

/// An open connection, which is closed when it is dropped.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, DiscoveryError> {
        let stream = connect(address).await.map_err(DiscoveryError::Connect)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(DiscoveryError::Connection)?;
        let task = tokio::task::spawn_local(async move {
            // An error of the connection is also returned to the call in flight, which reports it.
            let _ = connection.await;
        });
        Ok(Self { sender, task })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, DiscoveryError> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(DiscoveryError::ResponseBody)?;
    Ok(body.to_bytes())
}
