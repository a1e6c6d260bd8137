//! HTTP client functions of the lab, without retries and timeouts.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// An HTTP call failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection can't be opened.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the connection.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Sending the request or reading the response failed.
    #[error("HTTP exchange with {address} failed: {source}")]
    Exchange {
        /// Address of the connection.
        address: SocketAddr,
        /// Error of the request or of the response.
        source: hyper::Error,
    },
    /// The path or a header is malformed, so the request can't be built.
    #[error("the request is malformed: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Opens a connection, which stays open for as long as the returned sender exists.
///
/// # Errors
/// The connection can't be opened.
pub async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, HttpError> {
    let connect_error = |source| HttpError::Connect { address, source };
    let stream = TcpStream::connect(address).await.map_err(connect_error)?;
    stream.set_nodelay(true).map_err(connect_error)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|source| HttpError::Exchange { address, source })?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends a GET request on a new connection and returns the status and the body.
///
/// # Errors
/// Any [`HttpError`]; a status other than 200 is no error.
pub async fn get(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), HttpError> {
    let mut sender = connect(address).await?;
    get_on(&mut sender, address, path).await
}

/// Sends a GET request on an open connection and returns the status and the body.
///
/// # Errors
/// [`HttpError::Exchange`] or [`HttpError::Request`]; a status other than 200 is no error.
pub async fn get_on(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> Result<(StatusCode, Bytes), HttpError> {
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())?;
    let exchange_error = |source| HttpError::Exchange { address, source };
    let response = sender.send_request(request).await.map_err(exchange_error)?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(exchange_error)?;
    Ok((status, body.to_bytes()))
}
