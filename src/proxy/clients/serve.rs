//! One client connection, from its first byte to its end.

use super::Clients;
use crate::proxy::bodies::ResponseBody;
use crate::proxy::connections::ClientConnection;
use crate::proxy::limits::{CLIENT_HEAD_CAP, REQUEST_TIME};
use crate::proxy::socket_io::{ObservedSocket, SocketIo};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A connection that is to go and has a request on it is looked at again after this time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Clients {
    /// Serves one connection to its end.
    pub(super) async fn serve(self: &Rc<Self>, connection: &Rc<ClientConnection>) {
        let (clients, shared) = (Rc::clone(self), Rc::clone(connection));
        let service = service_fn(move |request| -> Pin<Box<dyn Future<Output = _>>> {
            let (clients, connection) = (Rc::clone(&clients), Rc::clone(&shared));
            let number = connection.begin_request();
            Box::pin(async move {
                let mut response = clients.respond(request, &connection, number).await;
                match response.body_mut() {
                    ResponseBody::Buffered(_) => {
                        connection.end_request();
                        clients.notify_if_full();
                    }
                    ResponseBody::Streamed(streamed) => streamed.set_connection(connection),
                }
                Ok::<_, Infallible>(response)
            })
        });
        let mut http = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(CLIENT_HEAD_CAP)
            .serve_connection(TokioIo::new(SocketIo::new(connection)), service);
        let mut stages = self.lifecycle.subscribe();
        let mut close_at = self.lifecycle.closes_at();
        let mut recheck = pin!(sleep_until(
            connection.deadline().unwrap_or_else(Instant::now)
        ));
        let mut rechecked = false;
        let ended = loop {
            tokio::select! {
                biased;
                // How it ended matters only to the client: one that left has been reported by its guard.
                ended = std::future::poll_fn(|cx| http.poll_without_shutdown(cx)) => break ended,
                Ok(()) = stages.changed() => {
                    stages.mark_unchanged();
                    let closes_at = self.lifecycle.closes_at();
                    close_at = closes_at.map(|at| close_at.map_or(at, |sooner| sooner.min(at)));
                }
                () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                    // One with a request on it ends with the answer.
                    if connection.is_idle() {
                        return;
                    }
                    close_at = Some(Instant::now() + RECHECK_INTERVAL);
                }
                () = recheck.as_mut() => {
                    let late = connection.deadline();
                    let is_late = late.is_some_and(|late| late <= Instant::now());
                    // What has come and was not read yet may be a request: it is read within that time, or
                    // never.
                    if is_late && (rechecked || !connection.has_unread()) {
                        return;
                    }
                    rechecked = is_late;
                    let soon = Instant::now() + if is_late { RECHECK_INTERVAL } else { REQUEST_TIME / 4 };
                    recheck.as_mut().reset(late.filter(|_| !is_late).unwrap_or(soon));
                }
                () = connection.eviction_requested() => {
                    if connection.is_evictable() {
                        return;
                    }
                    self.notify_if_full();
                }
            }
        };
        // What the library holds of it, an unanswered request too, ends here.
        drop(http);
        if ended.is_err_and(|error| error.is_user()) {
            // An answer broke off: one whose length the client does not know would look whole at a plain end.
            connection.socket().reset_on_close();
        } else {
            connection.socket().linger().await;
        }
    }
}
