//! Responses that break in the moment in which they begin.

use crate::rig::*;
use std::cell::Cell;
use std::time::Duration;
use tillerproxy::api::Outcome;
use tillerproxy::proxy::backends::AttemptDeadlines;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// The beginnings of responses of unknown length.
const BEGINNINGS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
    "HTTP/1.0 200 OK\r\n\r\nbody",
];

/// A response that breaks.
#[derive(Clone, Copy, Debug)]
struct BrokenResponse {
    beginning: &'static str,
    /// Time that the attempt may take.
    timeout: Duration,
    begins_after: Duration,
    /// Time from the beginning to the reset of the connection.
    breaks_after: Duration,
}

impl BrokenResponse {
    /// Sends the response to one request and resets the connection.
    async fn serve(self, mut stream: TcpStream) {
        read_head(&mut stream)
            .await
            .expect("the client sends a request");
        sleep(self.begins_after).await;
        stream
            .write_all(self.beginning.as_bytes())
            .await
            .expect("the client waits for the response");
        if !self.breaks_after.is_zero() {
            wait_for_delivery();
            sleep(self.breaks_after).await;
        }
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        drop(stream);
        wait_for_delivery();
    }

    /// Runs an attempt with the response and checks that it fails, and that its client has received nothing.
    async fn check_unsent(self) {
        let backend_client = start_backend(move |stream| self.serve(stream)).await;
        let connections = backend_client
            .connections(BACKEND)
            .expect("the backend is listed");
        let deadlines = AttemptDeadlines {
            deadline: Instant::now() + self.timeout,
            ..deadlines_in_one_second()
        };
        let (_cancel_sender, cancel) = oneshot::channel();
        let has_begun = Cell::new(false);
        let on_response_start = |_| has_begun.set(true);
        let call = get_request("/broken");
        let ended = backend_client
            .attempt(connections, call, deadlines, cancel, on_response_start)
            .await;
        let end = (ended.outcome, has_begun.get());
        assert_eq!(end, (Outcome::Reset, false), "{self:?}");
    }
}

/// Guards against the incident 820e8d: a response counted as begun although the kernel already had its break.
#[tokio::test(start_paused = true)]
async fn a_response_does_not_begin_if_its_break_has_already_arrived() {
    for beginning in BEGINNINGS {
        let response = BrokenResponse {
            beginning,
            timeout: Duration::from_secs(1),
            begins_after: Duration::from_millis(995),
            breaks_after: Duration::ZERO,
        };
        LocalSet::new().run_until(response.check_unsent()).await;
    }
}

/// Guards against the incident 820e8d: of a short timeout nearly nothing was left in which a response was held back, so
/// that each one that broke had begun.
#[tokio::test(start_paused = true)]
async fn a_response_is_held_back_for_most_of_a_short_timeout() {
    for beginning in BEGINNINGS {
        for timeout in [20, 33, 50, 100] {
            let timeout = Duration::from_millis(timeout);
            let response = BrokenResponse {
                beginning,
                timeout,
                begins_after: timeout * 2 / 5,
                breaks_after: timeout / 5,
            };
            LocalSet::new().run_until(response.check_unsent()).await;
        }
    }
}
