//! Graceful shutdown: the proxy finishes the requests that it has, and those that still arrive.

use super::clients::Clients;
use super::lifecycle::{Lifecycle, ShutdownTimes};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};

/// Connections are accepted for this long at least, because clients notice the shutdown late ...
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(800);
/// ... and until none has come for this long.
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(300);
/// How often it is checked whether connections still come.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time beyond the longest client timeout until the process ends with clients still connected.
const PROCESS_END_MARGIN: Duration = Duration::from_millis(500);
/// The part of the longest client timeout that is counted: the platform may kill the process 0.7 s
/// after it.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(3);

/// Drains the proxy. Returns when it has no client connection left, or at the latest shortly after
/// `longest_timeout`, the longest time that a client waits.
///
/// `listener` is the client listener, if it belongs to this process alone; what is queued at a
/// shared one is for the other processes.
pub async fn drain(
    clients: &Rc<Clients>,
    lifecycle: &Lifecycle,
    longest_timeout: Duration,
    listener: Option<&TcpListener>,
) {
    let start = Instant::now();
    let process_end = start + longest_timeout + PROCESS_END_MARGIN;
    lifecycle.shut_down(ShutdownTimes {
        last_answer_at: start + longest_timeout.min(MAX_ANSWER_TIME) + PROCESS_END_MARGIN,
        process_end,
    });
    if listener.is_some() {
        wait_until_none_connects(clients, start, longest_timeout).await;
    }
    loop {
        if !all_disconnected_by(process_end, clients).await {
            return;
        }
        // A connection that was queued in the meantime would be reset.
        let took_connection = listener.is_some_and(|listener| clients.accept_waiting(listener));
        if !took_connection {
            return;
        }
    }
}

async fn wait_until_none_connects(clients: &Clients, start: Instant, longest_timeout: Duration) {
    loop {
        let elapsed = start.elapsed();
        let clients_connect = clients.since_last_accept() < ACCEPT_QUIET_TIME;
        let is_quiet =
            elapsed >= MIN_ACCEPT_TIME && !(clients_connect && elapsed < longest_timeout);
        if is_quiet {
            return;
        }
        sleep(ACCEPT_CHECK_INTERVAL).await;
    }
}

/// Waits until no client is connected. Returns whether that was so by the deadline.
async fn all_disconnected_by(deadline: Instant, clients: &Clients) -> bool {
    while clients.open() > 0 {
        if timeout_at(deadline, clients.connection_freed())
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}
