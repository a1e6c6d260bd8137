//! Attempts over loopback sockets in paused time: what backends send at the wrong moment. Time passes only when
//! nothing else can go on.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tillerproxy::api::{BackendId, Outcome, Readiness};
use tillerproxy::proxy::backends::{AttemptDeadlines, BackendClient, Call, RequestOver, Served};
use tillerproxy::proxy::bodies::{BufferedBody, CallBody, ResponseBody, ServedBody};
use tillerproxy::proxy::counters::Counters;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

const BACKEND: BackendId = BackendId(7);

/// How long after the first a second response comes.
const SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(5);

/// Reads the head of a request; `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).expect("text"))
}

/// A backend that responds to each request with its path, and once more a little later.
async fn respond_twice(mut stream: TcpStream) {
    while let Some(head) = read_head(&mut stream).await {
        let path = head.split(' ').nth(1).expect("a path");
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}",
            path.len()
        );
        for _ in 0..2 {
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            sleep(SECOND_RESPONSE_DELAY).await;
        }
    }
}

fn call(path: &'static str) -> Rc<Call> {
    Rc::new(Call {
        method: Method::GET,
        target: Uri::from_static(path),
        headers: HeaderMap::new(),
        body: CallBody::from(BufferedBody::from(Bytes::new())),
        over: RequestOver::default(),
    })
}

/// Returns the deadlines of an attempt that has a second.
fn one_second() -> AttemptDeadlines {
    AttemptDeadlines {
        deadline: Instant::now() + Duration::from_secs(1),
        write_deadline: None,
    }
}

/// Returns one backend, each of whose connections `serve` handles.
async fn backend_client<F: Future<Output = ()> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
) -> Rc<BackendClient> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream));
        }
    });
    let backend_client =
        BackendClient::new(10, 250_000, 60_000_000, Vec::new(), Counters::new(&[]));
    backend_client.update(BACKEND, address, Readiness::Ready, None);
    backend_client
}

/// Sends a request and returns the body of its response.
async fn get(backend_client: &Rc<BackendClient>, path: &'static str) -> String {
    let (_cancel_sender, cancel) = oneshot::channel();
    let connections = backend_client.connections(BACKEND).expect("it is listed");
    let ended = Rc::clone(backend_client)
        .attempt(connections, call(path), one_second(), cancel, |_| {})
        .await;
    assert_eq!(ended.outcome, Outcome::Ok);
    let ServedBody::Buffered(body) = ended.served.expect("a response").body else {
        panic!("it fits")
    };
    String::from_utf8(body.joined()).expect("text")
}

#[tokio::test(start_paused = true)]
async fn once_a_second_response_was_seen_none_is_taken_for_that_of_the_next_request() {
    let test = async {
        let backend_client = backend_client(respond_twice).await;
        assert_eq!(get(&backend_client, "/first").await, "/first");
        // No request is in flight meanwhile, so the second response is seen for what it is.
        sleep(2 * SECOND_RESPONSE_DELAY).await;
        for path in ["/second", "/third", "/fourth"] {
            assert_eq!(get(&backend_client, path).await, path);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A chunked response, and how its client reads it.
#[derive(Clone, Copy)]
struct ChunkedResponse {
    chunk_size: usize,
    /// Pause after each chunk.
    pause: Duration,
    chunks: usize,
    /// How long the client takes to read a byte.
    client_time_per_byte: Duration,
}

impl ChunkedResponse {
    /// Sends the response to one request, then keeps the connection open.
    async fn serve(self, mut stream: TcpStream) {
        read_head(&mut stream).await.expect("a head");
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head).await.expect("the proxy reads");
        let data = "x".repeat(self.chunk_size);
        let chunk = format!("{:x}\r\n{data}\r\n", self.chunk_size);
        for _ in 0..self.chunks {
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            sleep(self.pause).await;
        }
        let _ = stream.write_all(b"0\r\n\r\n").await;
        sleep(Duration::from_secs(60)).await;
    }

    /// Reads the response as slowly as the client does; returns the number of bytes.
    async fn read(self, body: oneshot::Receiver<ResponseBody>) -> usize {
        let mut body = body.await.expect("the response starts");
        let mut received = 0;
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.into_data().expect("data").len();
            received += size;
            sleep(self.client_time_per_byte * size as u32).await;
        }
        received
    }
}

/// How the attempt of a chunked response ended.
struct ChunkedAttempt {
    outcome: Outcome,
    duration: Duration,
    /// Bytes that the client received.
    received: usize,
}

/// Requests the response; the request is over after `request_timeout`.
async fn attempt_chunked(response: ChunkedResponse, request_timeout: Duration) -> ChunkedAttempt {
    let backend_client = backend_client(move |stream| response.serve(stream)).await;
    let call = call("/long");
    let deadlines = one_second();
    let (_cancel_sender, cancel) = oneshot::channel();
    let (body_sender, body) = oneshot::channel::<ResponseBody>();
    let connections = backend_client.connections(BACKEND).expect("it is listed");
    let timed_out = Rc::clone(&call);
    spawn_local(async move {
        sleep(request_timeout).await;
        timed_out.over.set();
    });
    let client = spawn_local(response.read(body));
    let on_response_start = |served: Served| assert!(body_sender.send(served.body.into()).is_ok());
    let started_at = Instant::now();
    let ended = backend_client
        .attempt(connections, call, deadlines, cancel, on_response_start)
        .await;
    ChunkedAttempt {
        outcome: ended.outcome,
        duration: started_at.elapsed(),
        received: client.await.expect("a client"),
    }
}

/// Guards against cutting off responses whose request is over after they have started, as long as they come
/// quickly. How long one takes is not known ahead: it has no length.
#[tokio::test(start_paused = true)]
async fn a_response_without_a_length_is_cut_off_only_where_it_comes_too_slowly() {
    const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
    const LONGEST_AFTER_TIMEOUT: Duration = Duration::from_millis(500);
    let steady = ChunkedResponse {
        chunk_size: 4_096,
        pause: Duration::from_millis(62),
        chunks: 50,
        client_time_per_byte: Duration::ZERO,
    };
    let slow = ChunkedResponse {
        chunk_size: 1,
        pause: Duration::from_millis(20),
        chunks: 100_000,
        client_time_per_byte: Duration::ZERO,
    };
    let slowly_read = ChunkedResponse {
        chunk_size: 16_384,
        pause: Duration::from_millis(200),
        chunks: 5,
        client_time_per_byte: Duration::from_micros(200),
    };
    for response in [steady, slow, slowly_read] {
        let attempt = LocalSet::new()
            .run_until(attempt_chunked(response, REQUEST_TIMEOUT))
            .await;
        if response.chunk_size == 1 {
            assert_eq!(
                attempt.outcome,
                Outcome::Timeout,
                "nothing tells that it ends"
            );
            assert!(
                attempt.duration <= REQUEST_TIMEOUT + LONGEST_AFTER_TIMEOUT,
                "{:?}",
                attempt.duration
            );
        } else {
            assert_eq!(
                (attempt.outcome, attempt.received),
                (Outcome::Ok, response.chunk_size * response.chunks),
                "its backend was still sending"
            );
        }
    }
}
