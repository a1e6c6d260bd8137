//! Emulated backends: small HTTP/1.1 servers on loopback with a constant service time.
//!
//! The body of a response is the actual service time in microseconds, so that a client can subtract it from the
//! latency.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Starts `count` backends on ports that the kernel chooses and returns their addresses.
///
/// # Errors
/// A listener can't be opened, for example because no port is free.
pub async fn start(count: u32, service_time: Duration) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(accept(listener, service_time));
    }
    Ok(addresses)
}

async fn accept(listener: TcpListener, service_time: Duration) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, service_time));
            }
            Err(error) => {
                tracing::warn!(%error, "accept at an emulated backend failed");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, service_time: Duration) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(request, service_time));
    // The client detects and counts broken connections.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond(
    request: Request<Incoming>,
    service_time: Duration,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    request.into_body().collect().await?;
    let started_at = Instant::now();
    if !service_time.is_zero() {
        sleep(service_time).await;
    }
    let elapsed_us = started_at.elapsed().as_micros().to_string();
    Ok(Response::new(Full::new(Bytes::from(elapsed_us))))
}
