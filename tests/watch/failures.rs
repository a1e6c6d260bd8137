//! Failed calls and a discovery that is down: the time until a proxy applies a change afterwards.

use crate::discovery::{Discovery, FAILURES, Failure, REMOVAL_OF_ONE_BACKEND, list};
use crate::proxy::{Proxy, run_on_local_set};
use crate::{LONGEST_QUEUE_TIME, SHORTEST_GRACE_PERIOD};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time after which rule 3 (draining) treats a proxy as notified of a change, whichever calls failed before. It counts
/// from the moment at which discovery has the change and can be reached.
const MAX_CHANGE_DELAY_AFTER_REACHABLE: Duration = Duration::from_secs(6);

/// The largest number of proxies that the program is designed for.
const MAX_PROXY_COUNT: u32 = 710;

/// A poll interval so long that it has no effect in these tests.
const INEFFECTIVE_POLL_INTERVAL: Duration = Duration::from_secs(600);

/// The number of failed calls after which the backoff of the balancer is at its maximum.
const FAILED_CALLS: usize = 6;

/// Returns the time from the last failed call until the proxy applies a change that discovery had at that call.
async fn delay_after_failures(proxy_index: u32, failure: Failure) -> Duration {
    let (discovery, address) = Discovery::start().await;
    let proxy = Proxy::start_with_poll_interval(
        proxy_index,
        MAX_PROXY_COUNT,
        "on_request",
        INEFFECTIVE_POLL_INTERVAL,
        address,
    );
    let mut reachable_at = Instant::now();
    let mut open = Vec::new();
    for _ in 0..FAILED_CALLS {
        let call = discovery.next_call().await;
        reachable_at = Instant::now();
        open.push(call.fail(failure).await);
    }
    let call = discovery.next_call().await;
    sleep(LONGEST_QUEUE_TIME).await;
    let _watch = call
        .answer(&list(100, false, &REMOVAL_OF_ONE_BACKEND))
        .await;
    proxy.wait_for_listed_backends(1).await - reachable_at
}

#[tokio::test(start_paused = true)]
async fn a_change_is_applied_in_time_after_failed_calls_at_the_largest_number_of_proxies() {
    for failure in FAILURES {
        let mut latest = Duration::ZERO;
        for proxy_index in (0..MAX_PROXY_COUNT).step_by(71) {
            latest = latest.max(run_on_local_set(delay_after_failures(proxy_index, failure)).await);
        }
        let max_delay = MAX_CHANGE_DELAY_AFTER_REACHABLE + SHORTEST_GRACE_PERIOD;
        assert!(
            latest <= max_delay,
            "{failure:?}: change applied {latest:?} after discovery had it, expected at most {max_delay:?}"
        );
    }
}

/// Discovery is down for 8 s, so that connections to it fail, and has a change when it returns.
#[tokio::test(start_paused = true)]
async fn a_change_is_applied_in_time_after_discovery_returns_at_the_largest_number_of_proxies() {
    let mut latest = Duration::ZERO;
    for proxy_index in (0..MAX_PROXY_COUNT).step_by(71) {
        let delay = run_on_local_set(async {
            // No other test uses this loopback address, so the port stays free until discovery returns.
            let (discovery, address) = Discovery::start_at("127.78.0.2:0").await;
            let proxy = Proxy::start_with_poll_interval(
                proxy_index,
                MAX_PROXY_COUNT,
                "on_request",
                INEFFECTIVE_POLL_INTERVAL,
                address,
            );
            drop((
                discovery
                    .next_call()
                    .await
                    .answer(&list(2, false, &[]))
                    .await,
                discovery,
            ));
            sleep(Duration::from_secs(8)).await;
            let returned_at = Instant::now();
            let discovery = Discovery(
                TcpListener::bind(address)
                    .await
                    .expect("the port is still free"),
            );
            let call = discovery.next_call().await;
            sleep(LONGEST_QUEUE_TIME).await;
            let _watch = call
                .answer(&list(100, false, &REMOVAL_OF_ONE_BACKEND))
                .await;
            proxy.wait_for_listed_backends(1).await - returned_at
        });
        latest = latest.max(delay.await);
    }
    let max_delay = MAX_CHANGE_DELAY_AFTER_REACHABLE + SHORTEST_GRACE_PERIOD;
    assert!(
        latest <= max_delay,
        "change applied {latest:?} after the return of discovery, expected at most {max_delay:?}"
    );
}
