//! Attempts over loopback sockets in paused time: what backends send at the wrong moment. Time moves on when nothing
//! else can.

use bytes::Bytes;
use haventrack::api::{Outcome, Readiness};
use haventrack::proxy::backends::{Call, Ends, Fleet, Over};
use haventrack::proxy::bodies::{AnswerBody, CallBody, Held};
use haventrack::proxy::counters::Counters;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;
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
            let Ok(byte) = stream.read_u8().await else { return };
            head.push(byte);
        }
        let head = String::from_utf8(head).expect("text");
        let path = head.split(' ').nth(1).expect("a path");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}", path.len());
        for _ in 0..2 {
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            sleep(LATE).await;
        }
    }
}

async fn ask(fleet: &Rc<Fleet>, path: &'static str) -> String {
    let (headers, body) = (HeaderMap::new(), CallBody::from(Held::from(Bytes::new())));
    let (method, target) = (Method::GET, Uri::from_static(path));
    let call = Rc::new(Call { method, target, headers, body, over: Over::default() });
    let ends = Ends { give_up: Instant::now() + Duration::from_secs(1), write_by: None };
    let (_keep, cancel) = oneshot::channel();
    let server = fleet.server(BACKEND).expect("it is listed");
    let ended = Rc::clone(fleet).attempt(server, call, ends, cancel, |_| {}).await;
    assert_eq!(ended.outcome, Outcome::Ok);
    let AnswerBody::Whole(body) = ended.served.expect("an answer").body else { panic!("it fits") };
    String::from_utf8(body.joined()).expect("text")
}

#[tokio::test(start_paused = true)]
async fn once_second_answers_were_seen_none_is_taken_for_the_next_requests_own() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(answers_twice(stream));
            }
        });
        let fleet = Fleet::new(10, 250_000, 60_000_000, Vec::new(), Counters::new(&[]));
        fleet.update(BACKEND, address, Readiness::Ready, None);
        assert_eq!(ask(&fleet, "/first").await, "/first");
        // Nobody asks meanwhile, so the second answer is seen for what it is.
        sleep(2 * LATE).await;
        for path in ["/second", "/third", "/fourth"] {
            assert_eq!(ask(&fleet, path).await, path);
        }
    };
    LocalSet::new().run_until(test).await;
}
