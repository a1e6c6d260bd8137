//! One client connection, from its first byte to its end.

use super::Clients;
use crate::proxy::bodies::ResponseBody;
use crate::proxy::connections::ClientConnection;
use crate::proxy::size_limits::MAX_CLIENT_HEAD_BYTES;
use crate::proxy::socket_io::{ObservedSocket, SocketIo};
use crate::proxy::time_limits::CLIENT_IDLE_TIMEOUT;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A connection that should be closed, but has a request on it, is checked again after this time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How the HTTP side of a connection ended.
enum ConnectionEnd {
    /// The proxy closes it: nothing is in flight on it.
    Closed,
    /// The library has ended it: its client has closed it, or it closes with its last response.
    Finished,
    /// A response broke off.
    ResponseFailed,
}

impl From<hyper::Result<()>> for ConnectionEnd {
    fn from(result: hyper::Result<()>) -> Self {
        match result {
            Err(error) if error.is_user() => Self::ResponseFailed,
            // Any other error is the client's. A disconnect was reported by the guard of its request.
            Ok(()) | Err(_) => Self::Finished,
        }
    }
}

impl Clients {
    /// Serves one connection to its end.
    pub(super) async fn serve(self: &Rc<Self>, connection: &Rc<ClientConnection>) {
        match self.serve_requests(connection).await {
            ConnectionEnd::Closed => {}
            ConnectionEnd::Finished => connection.socket().linger().await,
            // A response whose length the client does not know would look complete at a plain end.
            ConnectionEnd::ResponseFailed => connection.socket().reset_on_close(),
        }
    }

    /// Serves requests until the connection ends. What the library holds of it, an unanswered request too, is
    /// dropped by then.
    async fn serve_requests(self: &Rc<Self>, connection: &Rc<ClientConnection>) -> ConnectionEnd {
        let mut http = RequestService::serve(self, connection);
        let mut stages = self.lifecycle.subscribe();
        let mut close_at = self.lifecycle.idle_close_at(Instant::now());
        let mut deadline_check = DeadlineCheck::new(connection);
        let mut check_timer = pin!(sleep_until(
            connection.deadline().unwrap_or_else(Instant::now)
        ));
        loop {
            tokio::select! {
                biased;
                ended = std::future::poll_fn(|cx| http.poll_without_shutdown(cx)) => {
                    return ended.into();
                }
                Ok(()) = stages.changed() => {
                    stages.mark_unchanged();
                    close_at = earlier_of(self.lifecycle.idle_close_at(Instant::now()), close_at);
                }
                () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                    // A connection with a request on it ends with the response.
                    if connection.is_idle() {
                        return ConnectionEnd::Closed;
                    }
                    close_at = Some(Instant::now() + RECHECK_INTERVAL);
                }
                () = check_timer.as_mut() => match deadline_check.run() {
                    DeadlineState::Passed => return ConnectionEnd::Closed,
                    DeadlineState::CheckAgainAt(at) => check_timer.as_mut().reset(at),
                },
                () = connection.eviction_requested() => {
                    if connection.is_evictable() {
                        return ConnectionEnd::Closed;
                    }
                    self.notify_if_full();
                }
            }
        }
    }

    /// Responds to the request of that number. Its response ends it, at once or with its last byte.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        connection: Rc<ClientConnection>,
        number: u64,
    ) -> Response<ResponseBody> {
        let mut response = self.respond(request, &connection, number).await;
        match response.body_mut() {
            ResponseBody::Buffered(_) => {
                connection.end_request();
                self.notify_if_full();
            }
            ResponseBody::Streamed(streamed) => streamed.set_connection(connection),
        }
        response
    }
}

/// Responds to the requests of one connection.
struct RequestService {
    clients: Rc<Clients>,
    connection: Rc<ClientConnection>,
}

/// The HTTP side of a connection.
type HttpConnection = http1::Connection<TokioIo<SocketIo<ClientConnection>>, RequestService>;

impl RequestService {
    /// Returns the HTTP side of a connection. It does nothing unless it is polled.
    fn serve(clients: &Rc<Clients>, connection: &Rc<ClientConnection>) -> HttpConnection {
        let service = Self {
            clients: Rc::clone(clients),
            connection: Rc::clone(connection),
        };
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_CLIENT_HEAD_BYTES)
            .serve_connection(TokioIo::new(SocketIo::new(connection)), service)
    }
}

impl Service<Request<Incoming>> for RequestService {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let clients = Rc::clone(&self.clients);
        let connection = Rc::clone(&self.connection);
        let number = connection.begin_request();
        Box::pin(async move {
            let response = clients.serve_request(request, connection, number).await;
            Ok(response)
        })
    }
}

/// Returns the new time of a close, or the present one if that is sooner; `None` where there is no new one.
fn earlier_of(new: Option<Instant>, present: Option<Instant>) -> Option<Instant> {
    let new = new?;
    Some(present.map_or(new, |present| present.min(new)))
}

/// The result of a check of a connection's deadline.
enum DeadlineState {
    /// The client has taken too long.
    Passed,
    /// The deadline is checked again then.
    CheckAgainAt(Instant),
}

/// Checks whether a client takes too long.
struct DeadlineCheck<'a> {
    connection: &'a ClientConnection,
    /// The last check found the deadline passed.
    was_late: bool,
}

impl<'a> DeadlineCheck<'a> {
    fn new(connection: &'a ClientConnection) -> Self {
        Self {
            connection,
            was_late: false,
        }
    }

    /// Checks the deadline.
    fn run(&mut self) -> DeadlineState {
        let now = Instant::now();
        let deadline = self.connection.deadline();
        let is_late = deadline.is_some_and(|deadline| deadline <= now);
        // What has come and was not read yet may be a request: it is read until the next check, or never.
        if is_late && (self.was_late || !self.connection.has_unread()) {
            return DeadlineState::Passed;
        }
        self.was_late = is_late;
        DeadlineState::CheckAgainAt(match deadline {
            _ if is_late => now + RECHECK_INTERVAL,
            Some(deadline) => deadline,
            None => now + CLIENT_IDLE_TIMEOUT / 4,
        })
    }
}
