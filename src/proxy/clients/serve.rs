//! Serves one client connection until it ends.

use super::Clients;
use crate::proxy::bodies::ResponseBody;
use crate::proxy::connections::ClientConnection;
use crate::proxy::size_limits::MAX_CLIENT_HEAD_BYTES;
use crate::proxy::socket_io::{SocketIo, SocketObserver};
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

/// Interval at which a connection that is due to be closed is checked again while it may still have a request.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The way in which the HTTP exchange on a connection ended.
enum ConnectionEnd {
    /// The proxy closes the connection, which has no request in flight.
    Closed,
    /// hyper has ended the exchange: the client has closed the connection, or the last response closes it.
    Finished,
    /// A response ended before it was complete, because its backend failed.
    ResponseFailed,
    /// The client reads nothing of its response.
    ClientStalled,
}

impl From<hyper::Result<()>> for ConnectionEnd {
    fn from(result: hyper::Result<()>) -> Self {
        match result {
            Err(error) if error.is_user() => Self::ResponseFailed,
            // The client caused any other error. If a request is open, its `DisconnectGuard` notifies the driver.
            Ok(()) | Err(_) => Self::Finished,
        }
    }
}

impl Clients {
    /// Serves one connection until it ends. Then, depending on the [`ConnectionEnd`], the proxy closes the
    /// connection, reads until the client closes it, or resets it.
    pub(super) async fn serve(self: &Rc<Self>, connection: &Rc<ClientConnection>) {
        match self.serve_requests(connection).await {
            ConnectionEnd::Closed => {}
            ConnectionEnd::Finished => {
                let closed = connection.socket().linger();
                self.linger(connection, closed).await;
            }
            // The kernel may still hold an earlier response to pipelined requests.
            ConnectionEnd::ResponseFailed => {
                let sent = connection.socket().all_sent();
                self.linger(connection, sent).await;
                reset(connection);
            }
            ConnectionEnd::ClientStalled => reset(connection),
        }
    }

    /// Waits for the end of `linger`, or until the connection is evicted.
    async fn linger(&self, connection: &ClientConnection, linger: impl Future<Output = ()>) {
        connection.begin_linger();
        self.notify_if_full();
        let mut linger = pin!(linger);
        loop {
            tokio::select! {
                biased;
                () = linger.as_mut() => return,
                () = connection.eviction_requested() => {
                    if connection.is_evictable() {
                        return;
                    }
                    self.notify_if_full();
                }
            }
        }
    }

    /// Serves requests until the connection ends. Everything that hyper holds for the connection, including a request
    /// without a response, is dropped before this returns.
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
                    // A connection with a request is closed by the response to it.
                    if connection.is_idle() {
                        return ConnectionEnd::Closed;
                    }
                    close_at = Some(Instant::now() + RECHECK_INTERVAL);
                }
                () = check_timer.as_mut() => match deadline_check.run() {
                    DeadlineState::Passed if connection.has_response_in_progress() => {
                        return ConnectionEnd::ClientStalled;
                    }
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

    /// Responds to request `number` of the connection. A buffered response ends the request at once, a streamed one
    /// with its last byte.
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

/// Resets a connection. After an ordinary close, an incomplete response of unknown length would seem complete to the
/// client.
fn reset(connection: &ClientConnection) {
    tracing::debug!("client connection reset: its response is not whole");
    connection.socket().reset_on_close();
}

/// Responds to the requests of one connection.
struct RequestService {
    clients: Rc<Clients>,
    connection: Rc<ClientConnection>,
}

/// The hyper connection that parses the requests of one client connection and writes its responses.
type HttpConnection = http1::Connection<TokioIo<SocketIo<ClientConnection>>, RequestService>;

impl RequestService {
    /// Creates the hyper connection of a client connection. The caller must poll it.
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

/// Returns the earlier of two times at which a connection is to be closed; `None` if `new` is `None`, even if `current`
/// is not.
fn earlier_of(new: Option<Instant>, current: Option<Instant>) -> Option<Instant> {
    let new = new?;
    Some(current.map_or(new, |current| current.min(new)))
}

/// The result of a deadline check.
enum DeadlineState {
    /// The deadline has passed, and the connection must be closed.
    Passed,
    /// The deadline must be checked again at this time.
    CheckAgainAt(Instant),
}

/// Repeated check of a client connection's deadline.
struct DeadlineCheck<'a> {
    connection: &'a ClientConnection,
    /// Whether the deadline had passed at the previous check.
    was_late: bool,
}

impl<'a> DeadlineCheck<'a> {
    fn new(connection: &'a ClientConnection) -> Self {
        Self {
            connection,
            was_late: false,
        }
    }

    /// Checks the deadline once.
    fn run(&mut self) -> DeadlineState {
        let now = Instant::now();
        let deadline = self.connection.deadline();
        let is_late = deadline.is_some_and(|deadline| deadline <= now);
        // Unread bytes may be a request, so hyper has until the next check to read them. If bytes are still unread at
        // that check, hyper is not going to read them.
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
