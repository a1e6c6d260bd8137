//! Graceful shutdown: the proxy finishes its open requests and those that still arrive.

use super::clients::Clients;
use super::lifecycle::{Lifecycle, ShutdownTimes};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};

/// The shortest time for which connections are still accepted, because clients notice the shutdown late.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(800);
/// After [`MIN_ACCEPT_TIME`], connections are accepted until none has arrived for this time.
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(300);
/// How often the end of accepting is checked.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time after the longest client timeout at which the process ends, even if clients are still connected. The last
/// answer has the same margin.
const PROCESS_END_MARGIN: Duration = Duration::from_millis(500);
/// The upper limit of the client timeout from which the time of the last answer is calculated, because the platform may
/// kill the process 0.7 s after this time.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(3);

/// Drains the proxy. Returns when no client connection is left, and at the latest half a second after
/// `longest_timeout`, the longest time that a client waits for a response.
///
/// `listener` is the client listener if it belongs to this process alone. The connections queued at a shared listener
/// are left to the other processes.
pub async fn drain(
    clients: &Rc<Clients>,
    lifecycle: &Lifecycle,
    longest_timeout: Duration,
    listener: Option<&TcpListener>,
) {
    let start = Instant::now();
    let process_ends_at = start + longest_timeout + PROCESS_END_MARGIN;
    lifecycle.shut_down(ShutdownTimes {
        last_answer_at: start + longest_timeout.min(MAX_ANSWER_TIME) + PROCESS_END_MARGIN,
        process_ends_at,
    });
    if listener.is_some() {
        wait_until_quiet(clients, start, longest_timeout).await;
    }
    loop {
        if !all_disconnected_by(process_ends_at, clients).await {
            return;
        }
        // The end of the process would reset a connection that was queued in the meantime.
        let more_may_be_queued = listener.is_some_and(|listener| clients.accept_queued(listener));
        if !more_may_be_queued {
            return;
        }
    }
}

/// Waits until no client has connected for [`ACCEPT_QUIET_TIME`], or until `longest_timeout` has passed since `start`.
/// In either case it waits at least until [`MIN_ACCEPT_TIME`] after `start`.
async fn wait_until_quiet(clients: &Clients, start: Instant, longest_timeout: Duration) {
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

/// Waits until no client is connected, and returns whether that was the case by the deadline.
async fn all_disconnected_by(deadline: Instant, clients: &Clients) -> bool {
    while clients.open_connections() > 0 {
        if timeout_at(deadline, clients.connection_freed())
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}
