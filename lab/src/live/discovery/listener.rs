//! Listeners and connections of a discovery service, including their behavior during outages.

use super::service::{Availability, Caller, ConnectionState, Service};
use crate::live::scenario::OutageBehavior;
use crate::live::traffic::{CountingStream, Side};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

/// Longest queue of connections that wait to be accepted; all proxies may connect at once.
const ACCEPT_BACKLOG: u32 = 4_096;
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Opens a listener on loopback for one caller, serves it until the service has been replaced, and returns its
/// address.
///
/// # Errors
/// The listener can't be opened, for example because no port is free.
pub fn open(service: Arc<Service>, caller: Caller) -> io::Result<SocketAddr> {
    let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let listener = socket.listen(ACCEPT_BACKLOG)?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        if let Err(error) = accept_connections(service, listener, caller).await {
            tracing::warn!(%address, %error, "listener of discovery failed");
        }
    });
    Ok(address)
}

async fn accept_connections(
    service: Arc<Service>,
    mut listener: TcpListener,
    caller: Caller,
) -> io::Result<()> {
    let mut availability = service.availability();
    loop {
        let current = *availability.borrow_and_update();
        match current {
            Availability::Up
            | Availability::Down(OutageBehavior::Reset | OutageBehavior::Unavailable) => {
                tokio::select! {
                    _ = availability.changed() => {}
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => handle_accepted(&service, stream, current, &caller),
                        Err(error) => {
                            tracing::warn!(%error, "accept at discovery failed");
                            sleep(ACCEPT_BACKOFF).await;
                        }
                    },
                }
            }
            Availability::Down(OutageBehavior::Refused) => {
                let address = listener.local_addr()?;
                drop(listener);
                // A bound socket that does not listen refuses connections and reserves the port.
                let reserved = bind(address)?;
                let _ = availability.changed().await;
                listener = reserved.listen(ACCEPT_BACKLOG)?;
            }
            Availability::Draining | Availability::Closed => return Ok(()),
        }
    }
}

fn handle_accepted(
    service: &Arc<Service>,
    stream: TcpStream,
    availability: Availability,
    caller: &Caller,
) {
    if availability == Availability::Down(OutageBehavior::Reset) {
        reset(stream);
    } else {
        let service = Arc::clone(service);
        tokio::spawn(serve(service, stream, caller.clone()));
    }
}

/// Serves one connection until it ends, the service is closed, or an outage ends it with a reset.
async fn serve(service: Arc<Service>, stream: TcpStream, caller: Caller) {
    let _ = stream.set_nodelay(true);
    let traffic = match &caller {
        Caller::Real { traffic, .. } => Arc::clone(traffic),
        Caller::Simulated => Arc::default(),
    };
    let stream = CountingStream::new(stream, traffic, Side::Discovery);
    let mut availability = service.availability();
    let state = Arc::new(ConnectionState::default());
    let handler = service_fn(move |request| {
        let service = Arc::clone(&service);
        let caller = caller.clone();
        let state = Arc::clone(&state);
        Box::pin(async move {
            let response = service.respond(&request, &caller, &state).await;
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    let is_reset = tokio::select! {
        _ = std::future::poll_fn(|context| connection.poll_without_shutdown(context)) => false,
        ended = availability.wait_for(ends_connections) => {
            ended.is_ok_and(|availability| *availability != Availability::Closed)
        }
    };
    if is_reset {
        let stream = connection.into_parts().io.into_inner();
        reset(stream.into_inner());
    }
}

/// Reports whether a service with this availability ends its open connections.
fn ends_connections(availability: &Availability) -> bool {
    match availability {
        Availability::Closed
        | Availability::Down(OutageBehavior::Reset | OutageBehavior::Refused) => true,
        Availability::Up
        | Availability::Draining
        | Availability::Down(OutageBehavior::Unavailable) => false,
    }
}

/// Binds a socket to an address without listening.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Closes a connection with RST instead of FIN.
fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
