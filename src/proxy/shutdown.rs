//! Graceful shutdown: the proxy serves its open requests and those that still arrive, until no client is connected or
//! only clients without a response in progress are left at the end of the drain.

use super::clients::Clients;
use super::lifecycle::{Lifecycle, ShutdownTimes};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// The minimum time after the start of a shutdown for which connections are accepted, because clients notice the
/// shutdown late.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(800);
/// Time without a new connection after which no more connections are accepted, once [`MIN_ACCEPT_TIME`] has passed.
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(300);
/// Interval at which the proxy checks whether to stop accepting connections.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the proxy checks whether a response is still in progress.
const RESPONSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the end of the longest client timeout to the end of the drain. The deadline of the last answer is
/// calculated with the same margin.
const DRAIN_END_MARGIN: Duration = Duration::from_millis(500);
/// Upper limit of the client timeout in the calculation of the deadline of the last answer. The process supervisor may
/// kill the process 0.7 s after this time.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(3);

/// The client listener of a process that shuts down, and the task that accepts from it.
pub struct ClientListener {
    /// The listener.
    pub listener: Rc<TcpListener>,
    /// The task that accepts connections.
    pub accepting: JoinHandle<()>,
    /// Whether other processes accept from the listener too.
    pub is_shared: bool,
}

/// Drains the proxy. Returns when no client connection is left, or later than `DRAIN_END_MARGIN` after
/// `longest_timeout`, which is the longest time that a client waits for a response, once no response is in progress.
///
/// A response in progress has no time limit here: it ends with its backend or its client, and the process supervisor
/// kills a process that takes too long.
///
/// From a listener that belongs to this process alone, connections are accepted until then, or until the end of the
/// drain. The connections queued at a shared listener are left to the other processes.
pub async fn drain(
    clients: &Rc<Clients>,
    lifecycle: &Lifecycle,
    longest_timeout: Duration,
    client_listener: ClientListener,
) {
    let start = Instant::now();
    let drain_ends_at = start + longest_timeout + DRAIN_END_MARGIN;
    lifecycle.shut_down(ShutdownTimes {
        began_at: start,
        last_answer_at: start + longest_timeout.min(MAX_ANSWER_TIME) + DRAIN_END_MARGIN,
        drain_ends_at,
    });
    let ClientListener {
        listener,
        accepting,
        is_shared,
    } = client_listener;
    if is_shared {
        accepting.abort();
        all_disconnected_by(drain_ends_at, clients).await;
    } else {
        wait_until_quiet(clients, start, longest_timeout).await;
        // Connections that were queued since the last accept are accepted, because the end of the process would reset
        // them.
        while all_disconnected_by(drain_ends_at, clients).await && clients.accept_queued(&listener)
        {
        }
        // New clients are refused while the last responses are completed, as after the end of the process.
        accepting.abort();
    }
    drop(listener);
    while clients.has_response_in_progress() {
        sleep(RESPONSE_CHECK_INTERVAL).await;
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
