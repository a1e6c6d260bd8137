//! Watches that stall or wait in the queue of discovery, and a discovery agent that returns.

use crate::discovery::{Discovery, REMOVAL_OF_ONE_BACKEND, list};
use crate::proxy::{Proxy, run_on_local_set};
use crate::{LONGEST_QUEUE_TIME, SHORTEST_GRACE_PERIOD};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time from a change of discovery's address until rule 3 (draining) treats the proxy as notified of the list that
/// discovery serves at the new address.
const MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);

/// Guards against a draining backend that receives requests after the drain grace period. The watch stalls right after
/// the call that opens it or after one that continues it. In both cases the proxy has the least time to learn of a
/// change before the grace period ends. If discovery is polled, the call that opens the watch again is queued.
#[tokio::test(start_paused = true)]
async fn a_change_that_a_stalled_watch_misses_is_applied_in_time() {
    for (mode, queue_time, grace_period) in [
        ("pushed", Duration::ZERO, Duration::ZERO),
        ("on_request", LONGEST_QUEUE_TIME, SHORTEST_GRACE_PERIOD),
    ] {
        for answers in 0..3 {
            run_on_local_set(async {
                let (discovery, address) = Discovery::start().await;
                let proxy = Proxy::start(0, 1, mode, address);
                let mut stalled = discovery.next_call().await;
                for revision in 0..answers {
                    stalled = stalled
                        .answer(&list(2 + revision, false, &[]))
                        .await
                        .expect("the proxy continues the watch");
                }
                let time_limit = stalled.time_limit_for_missed_change();
                let revision = stalled.after;
                let again = discovery.next_call().await;
                assert_eq!(
                    again.after, revision,
                    "{mode}: the new call requests the changes since the last answer"
                );
                sleep(queue_time).await;
                let _open = again
                    .answer(&list(100, false, &REMOVAL_OF_ONE_BACKEND))
                    .await;
                let applied_at = proxy.wait_for_listed_backends(1).await;
                let late = applied_at.saturating_duration_since(time_limit + grace_period);
                assert_eq!(
                    late,
                    Duration::ZERO,
                    "{mode}: the change is applied too late after {answers} answers"
                );
                drop(stalled);
            })
            .await;
        }
    }
}

/// After a change of discovery's address the proxy requests the complete list, and that call may stall as well.
#[tokio::test(start_paused = true)]
async fn a_call_that_stalls_after_an_address_change_is_repeated_in_time() {
    for mode in ["pushed", "on_request"] {
        run_on_local_set(async {
            let (old, address) = Discovery::start().await;
            let proxy = Proxy::start(0, 1, mode, address);
            let _watch = old.next_call().await;
            let (new, address) = Discovery::start().await;
            let time_limit = Instant::now() + MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE;
            proxy.discovery_address.send_replace(address);
            let stalled = new.next_call().await;
            assert_eq!(
                stalled.after, None,
                "the complete list is requested, because revisions of two services are not comparable"
            );
            assert!(
                time_limit <= stalled.time_limit_for_missed_change(),
                "the time limit of an address change ends before that of a stall"
            );
            let again = new.next_call().await;
            let _open = again.answer(&list(7, true, &[("s-1", "active")])).await;
            let applied_at = proxy.wait_for_listed_backends(1).await;
            assert!(
                applied_at <= time_limit,
                "{mode}: the list is applied {:?} too late",
                applied_at - time_limit
            );
        })
        .await;
    }
}

/// Guards against proxies whose watches stall after the same change and that all call discovery again at the same time.
#[tokio::test(start_paused = true)]
async fn proxies_whose_watches_stall_together_spread_their_next_calls() {
    const PROXY_COUNT: u32 = 60;
    run_on_local_set(async {
        let (discovery, address) = Discovery::start().await;
        let proxies: Vec<_> = (0..PROXY_COUNT)
            .map(|index| Proxy::start(index, PROXY_COUNT, "on_request", address))
            .collect();
        let mut opened = Vec::new();
        for _ in 0..PROXY_COUNT {
            opened.push(discovery.next_call().await);
        }
        let mut watches = Vec::new();
        for call in opened {
            watches.push(
                call.answer(&list(2, false, &[]))
                    .await
                    .expect("the proxy continues the watch"),
            );
        }
        let due: Vec<_> = watches
            .iter()
            .map(|call| call.received_at + call.long_poll_timeout)
            .collect();
        let busiest = due.iter().map(|&at| {
            due.iter()
                .filter(|&&other| other >= at && other < at + Duration::from_secs(1))
                .count()
        });
        let busiest = busiest.max().unwrap_or_default();
        assert!(busiest <= 4, "{busiest} calls in the busiest second");
        drop((watches, proxies));
    })
    .await;
}

/// Guards against a backoff longer than the shortest drain grace period after an agent was down for more than 7 s.
#[tokio::test(start_paused = true)]
async fn a_change_is_applied_within_the_grace_period_after_an_agent_returns() {
    run_on_local_set(async {
        // No other test uses this loopback address, so the port stays free until discovery returns.
        let (discovery, address) = Discovery::start_at("127.78.0.1:0").await;
        let proxy = Proxy::start(0, 1, "pushed", address);
        drop((discovery.next_call().await, discovery));
        sleep(Duration::from_millis(7_310)).await;
        let returned_at = Instant::now();
        let discovery = Discovery(
            TcpListener::bind(address)
                .await
                .expect("the port is still free"),
        );
        let _open = discovery
            .next_call()
            .await
            .answer(&list(2, false, &REMOVAL_OF_ONE_BACKEND))
            .await;
        let delay = proxy.wait_for_listed_backends(1).await - returned_at;
        assert!(
            delay <= SHORTEST_GRACE_PERIOD,
            "change applied {delay:?} after the return of the agent"
        );
    })
    .await;
}

/// Guards against abandoning and repeating a call that queues at discovery, because that makes the queue longer.
#[tokio::test(start_paused = true)]
async fn a_call_that_opens_a_watch_is_not_repeated_while_it_queues() {
    run_on_local_set(async {
        let (discovery, address) = Discovery::start().await;
        let _proxy = Proxy::start(0, 1, "on_request", address);
        let call = discovery.next_call().await;
        sleep(Duration::from_secs(3) + call.long_poll_timeout).await;
        let next = call
            .answer(&list(2, false, &[]))
            .await
            .expect("the next call uses the same connection");
        assert_eq!(next.after, Some(2));
        assert!(
            next.long_poll_timeout > Duration::from_secs(10),
            "a call that continues a watch does not queue, so its long poll may be long"
        );
    })
    .await;
}
