//! A backend over loopback sockets, and the attempts at it.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tillerproxy::api::{BackendId, Readiness};
use tillerproxy::proxy::backends::{AttemptDeadlines, BackendClient, Call, RequestEnded};
use tillerproxy::proxy::bodies::{BufferedBody, CallBody};
use tillerproxy::proxy::budget::Budget;
use tillerproxy::proxy::counters::Counters;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Id of the only backend.
pub const BACKEND: BackendId = BackendId(7);

/// Waits in real time until the kernel has delivered what was written: paused time may pass faster than that.
pub fn wait_for_delivery() {
    const DELIVERY_TIME: Duration = Duration::from_millis(1);
    std::thread::sleep(DELIVERY_TIME);
}

/// Reads the head of a request; returns `None` at the end of the connection.
pub async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).expect("the proxy sends an ASCII head"))
}

/// Returns a GET request with an empty body.
pub fn get_request(path: &'static str) -> Rc<Call> {
    Rc::new(Call {
        method: Method::GET,
        target: Uri::from_static(path),
        headers: HeaderMap::new(),
        body: CallBody::from(BufferedBody::from(Bytes::new())),
        presence: Rc::default(),
        executions: None,
        request_ended: RequestEnded::default(),
    })
}

/// Returns the deadlines of an attempt that may last one second.
pub fn deadlines_in_one_second() -> AttemptDeadlines {
    AttemptDeadlines {
        deadline: Instant::now() + Duration::from_secs(1),
        write_deadline: None,
        is_last: true,
    }
}

/// Starts a backend that handles each connection with `serve`, and returns a client that has the
/// backend in its list.
pub async fn start_backend<F: Future<Output = ()> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
) -> Rc<BackendClient> {
    start_backend_with_budget(serve, Budget::unlimited()).await
}

/// Starts a backend like [`start_backend`], for a client with this budget.
pub async fn start_backend_with_budget<F: Future<Output = ()> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
    budget: Rc<Budget>,
) -> Rc<BackendClient> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the test's socket binds a loopback port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream));
        }
    });
    let backend_client =
        BackendClient::new(250_000, 60_000_000, Vec::new(), Counters::new(&[]), budget);
    backend_client.update(BACKEND, address, Readiness::Ready, None);
    backend_client
}
