//! Responses that break in the moment in which they begin.

use crate::rig::*;
use std::cell::Cell;
use std::time::Duration;
use tillerproxy::api::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Time from the request to its response, in an attempt that may last one second: a response of unknown length that
/// begins then is streamed at once.
const WORK: Duration = Duration::from_millis(995);

/// Sends a response shortly before the deadline of its attempt, and resets the connection at once.
async fn send_and_reset(mut stream: TcpStream, response: &'static str) {
    read_head(&mut stream)
        .await
        .expect("the client sends a request");
    sleep(WORK).await;
    stream
        .write_all(response.as_bytes())
        .await
        .expect("the client waits for the response");
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
    wait_for_delivery();
}

/// Guards against the incident 820e8d: a response counted as begun although the kernel already had its break.
#[tokio::test(start_paused = true)]
async fn a_response_does_not_begin_if_its_break_has_already_arrived() {
    let responses = [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
        "HTTP/1.0 200 OK\r\n\r\nbody",
    ];
    for response in responses {
        let test = async move {
            let backend_client =
                start_backend(move |stream| send_and_reset(stream, response)).await;
            let connections = backend_client
                .connections(BACKEND)
                .expect("the backend is listed");
            let (_cancel_sender, cancel) = oneshot::channel();
            let has_begun = Cell::new(false);
            let ended = backend_client
                .attempt(
                    connections,
                    get_request("/broken"),
                    deadlines_in_one_second(),
                    cancel,
                    |_| has_begun.set(true),
                )
                .await;
            (ended.outcome, has_begun.get())
        };
        let ended = LocalSet::new().run_until(test).await;
        assert_eq!(ended, (Outcome::Reset, false), "{response}");
    }
}
