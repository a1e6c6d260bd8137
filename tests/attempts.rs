//! Attempts over loopback sockets in paused time: what backends send at the wrong moment. Time moves on when
//! nothing else can.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tillerproxy::api::{Outcome, Readiness};
use tillerproxy::proxy::backends::{AttemptDeadlines, Backends, Call, CancelSignal, Served};
use tillerproxy::proxy::bodies::{BufferedBody, CallBody, ResponseBody, ServedBody};
use tillerproxy::proxy::counters::Counters;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

const BACKEND: u32 = 7;

/// How long behind the first a second answer comes.
const LATE: Duration = Duration::from_millis(5);

/// A backend that answers each request with its path, and once more a little later.
async fn answers_twice(mut stream: TcpStream) {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else {
                return;
            };
            head.push(byte);
        }
        let head = String::from_utf8(head).expect("text");
        let path = head.split(' ').nth(1).expect("a path");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}",
            path.len()
        );
        for _ in 0..2 {
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            sleep(LATE).await;
        }
    }
}

fn call(path: &'static str) -> Rc<Call> {
    let (headers, body) = (
        HeaderMap::new(),
        CallBody::from(BufferedBody::from(Bytes::new())),
    );
    let (method, target) = (Method::GET, Uri::from_static(path));
    Rc::new(Call {
        method,
        target,
        headers,
        body,
        cancel: CancelSignal::default(),
    })
}

/// One backend, whose connections are served so.
async fn backends<F: Future<Output = ()> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
) -> Rc<Backends> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream));
        }
    });
    let backends = Backends::new(10, 250_000, 60_000_000, Vec::new(), Counters::new(&[]));
    backends.update(BACKEND, address, Readiness::Ready, None);
    backends
}

async fn ask(backends: &Rc<Backends>, path: &'static str) -> String {
    let call = call(path);
    let deadlines = AttemptDeadlines {
        deadline: Instant::now() + Duration::from_secs(1),
        write_deadline: None,
    };
    let (_keep, cancel) = oneshot::channel();
    let endpoint = backends.endpoint(BACKEND).expect("it is listed");
    let ended = Rc::clone(backends)
        .attempt(endpoint, call, deadlines, cancel, |_| {})
        .await;
    assert_eq!(ended.outcome, Outcome::Ok);
    let ServedBody::Buffered(body) = ended.served.expect("an answer").body else {
        panic!("it fits")
    };
    String::from_utf8(body.joined()).expect("text")
}

#[tokio::test(start_paused = true)]
async fn once_second_answers_were_seen_none_is_taken_for_the_next_requests_own() {
    let test = async {
        let backends = backends(answers_twice).await;
        assert_eq!(ask(&backends, "/first").await, "/first");
        // Nobody asks meanwhile, so the second answer is seen for what it is.
        sleep(2 * LATE).await;
        for path in ["/second", "/third", "/fourth"] {
            assert_eq!(ask(&backends, path).await, path);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Its request's time is over when a part of it has come. How long it takes was never said.
#[tokio::test(start_paused = true)]
async fn an_answer_without_a_length_is_cut_off_only_where_it_comes_too_slowly() {
    const OVER: Duration = Duration::from_millis(400);
    const AT_MOST: Duration = Duration::from_millis(500);
    // What comes at a time, and how often; how many microseconds the client takes for a byte.
    let cases = [
        (4_096, 62, 50, 0),
        (1, 20, 100_000, 0),
        (16_384, 200, 5, 200),
    ];
    for (size, pause_ms, pieces, slowly) in cases {
        let test = async {
            let backends = backends(move |mut stream: TcpStream| async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    head.push(stream.read_u8().await.expect("a head"));
                }
                let began = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                stream.write_all(began).await.expect("the proxy reads");
                for _ in 0..pieces {
                    let piece = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
                    if stream.write_all(piece.as_bytes()).await.is_err() {
                        return;
                    }
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                let _ = stream.write_all(b"0\r\n\r\n").await;
                sleep(Duration::from_secs(60)).await;
            })
            .await;
            let call = call("/long");
            let deadlines = AttemptDeadlines {
                deadline: Instant::now() + Duration::from_secs(1),
                write_deadline: None,
            };
            let (_keep, cancel) = oneshot::channel();
            let (sender, body) = oneshot::channel();
            let endpoint = backends.endpoint(BACKEND).expect("it is listed");
            let over = Rc::clone(&call);
            spawn_local(async move {
                sleep(OVER).await;
                over.cancel.trigger();
            });
            let client = spawn_local(async move {
                let mut body: ResponseBody = body.await.expect("it begins");
                let mut got = 0;
                while let Some(Ok(frame)) = body.frame().await {
                    let taken = frame.into_data().expect("data").len();
                    got += taken;
                    sleep(Duration::from_micros(taken as u64 * slowly)).await;
                }
                got
            });
            let on_response_start =
                |served: Served| assert!(sender.send(served.body.into()).is_ok());
            let began = Instant::now();
            let ended = backends
                .attempt(endpoint, call, deadlines, cancel, on_response_start)
                .await;
            (
                ended.outcome,
                began.elapsed(),
                client.await.expect("a client"),
            )
        };
        let (outcome, took, got) = LocalSet::new().run_until(test).await;
        if size == 1 {
            assert_eq!(outcome, Outcome::Timeout, "nothing tells that it ends");
            assert!(took <= OVER + AT_MOST, "{took:?}");
        } else {
            assert_eq!(
                (outcome, got),
                (Outcome::Ok, size * pieces),
                "its backend was still giving"
            );
        }
    }
}
