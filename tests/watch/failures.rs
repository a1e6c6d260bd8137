//! Failed calls and a discovery that is down: how late a change is known.

use crate::discovery::{Discovery, FAILURES, Failure, ONE_REMOVED, list};
use crate::proxy::{Proxy, local};
use crate::{LONGEST_QUEUE_TIME, SHORTEST_GRACE_PERIOD};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Whatever calls failed before, a change counts as known this long after discovery had it and
/// could be reached.
const KNOWN_AFTER_REACHABLE: Duration = Duration::from_secs(6);

/// The largest number of proxies that is aimed at, and a poll interval that bounds nothing.
const MAX_PROXY_COUNT: u32 = 710;

const LONG_POLL_INTERVAL: Duration = Duration::from_secs(600);

/// Failed calls after which the balancer's backoff is at its longest.
const FAILED_CALLS: usize = 6;

/// Returns how long after its last failed call a proxy knows a change that discovery had by then.
async fn known_after_failures(proxy_index: u32, failure: Failure) -> Duration {
    let (discovery, address) = Discovery::start().await;
    let proxy = Proxy::start_with(
        proxy_index,
        MAX_PROXY_COUNT,
        "on_request",
        LONG_POLL_INTERVAL,
        address,
    );
    let mut reachable_at = Instant::now();
    let mut open = Vec::new();
    for _ in 0..FAILED_CALLS {
        let call = discovery.next().await;
        reachable_at = Instant::now();
        open.push(call.fail(failure).await);
    }
    let call = discovery.next().await;
    sleep(LONGEST_QUEUE_TIME).await;
    let _watch = call.answer(&list(100, false, &ONE_REMOVED)).await;
    proxy.lists(1).await - reachable_at
}

#[tokio::test(start_paused = true)]
async fn a_change_is_known_in_time_after_failed_calls_whatever_the_number_of_proxies() {
    for failure in FAILURES {
        let mut latest = Duration::ZERO;
        for proxy_index in (0..MAX_PROXY_COUNT).step_by(71) {
            latest = latest.max(local(known_after_failures(proxy_index, failure)).await);
        }
        let most = KNOWN_AFTER_REACHABLE + SHORTEST_GRACE_PERIOD;
        assert!(
            latest <= most,
            "{failure:?}: known {latest:?} after discovery had it, {most:?} at the most"
        );
    }
}

/// Discovery is down for some seconds, so that connections to it fail, and has a change at its
/// return.
#[tokio::test(start_paused = true)]
async fn a_change_is_known_in_time_after_discoverys_return_whatever_the_number_of_proxies() {
    let mut latest = Duration::ZERO;
    for proxy_index in (0..MAX_PROXY_COUNT).step_by(71) {
        let known = local(async {
            // An address of its own: nobody else can be given the port in between.
            let (discovery, address) = Discovery::start_at("127.78.0.2:0").await;
            let proxy = Proxy::start_with(
                proxy_index,
                MAX_PROXY_COUNT,
                "on_request",
                LONG_POLL_INTERVAL,
                address,
            );
            drop((
                discovery.next().await.answer(&list(2, false, &[])).await,
                discovery,
            ));
            sleep(Duration::from_secs(8)).await;
            let returned_at = Instant::now();
            let discovery = Discovery(TcpListener::bind(address).await.expect("the same port"));
            let call = discovery.next().await;
            sleep(LONGEST_QUEUE_TIME).await;
            let _watch = call.answer(&list(100, false, &ONE_REMOVED)).await;
            proxy.lists(1).await - returned_at
        });
        latest = latest.max(known.await);
    }
    let most = KNOWN_AFTER_REACHABLE + SHORTEST_GRACE_PERIOD;
    assert!(
        latest <= most,
        "known {latest:?} after discovery's return, {most:?} at the most"
    );
}
