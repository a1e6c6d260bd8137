//! Single HTTP calls.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why a call failed; the lab only counts them.
pub type CallError = Box<dyn Error + Send + Sync>;

/// Opens a connection, which lasts as long as its sender.
///
/// # Errors
/// Where none comes up.
pub async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, CallError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// One GET on a connection of its own: status and body.
///
/// # Errors
/// Where the call fails on the way.
pub async fn get(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), CallError> {
    let mut sender = connect(address).await?;
    get_on(&mut sender, address, path).await
}

/// One GET on an open connection: status and body.
///
/// # Errors
/// Where the call fails on the way.
pub async fn get_on(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> Result<(StatusCode, Bytes), CallError> {
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    Ok((status, response.into_body().collect().await?.to_bytes()))
}
