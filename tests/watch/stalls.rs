//! Watches that stall or wait in the queue of discovery, and agents that return.

use crate::discovery::{Discovery, ONE_REMOVED, list};
use crate::proxy::{Proxy, local};
use crate::{LONGEST_QUEUE_TIME, SHORTEST_GRACE_PERIOD};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// The list of a new discovery counts as known this long after the signal that names its address.
const KNOWN_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);

/// The watch stalls right after a call, which leaves the least time, both when it opens and when it
/// continues. Where discovery is polled, the call that opens it again has to queue; a draining
/// backend may get no request after the grace period.
#[tokio::test(start_paused = true)]
async fn a_change_that_a_stalled_watch_misses_is_known_in_time() {
    for (mode, queue_time, grace_period) in [
        ("pushed", Duration::ZERO, Duration::ZERO),
        ("on_request", LONGEST_QUEUE_TIME, SHORTEST_GRACE_PERIOD),
    ] {
        for answers in 0..3 {
            local(async {
                let (discovery, address) = Discovery::start().await;
                let proxy = Proxy::start(0, 1, mode, address);
                let mut stalled = discovery.next().await;
                for revision in 0..answers {
                    stalled = stalled
                        .answer(&list(2 + revision, false, &[]))
                        .await
                        .expect("a further call");
                }
                let counts_as_known_at = stalled.counts_as_known_at();
                let revision = stalled.after;
                let again = discovery.next().await;
                assert_eq!(again.after, revision, "{mode}: it requests what it lacks");
                sleep(queue_time).await;
                let _open = again.answer(&list(100, false, &ONE_REMOVED)).await;
                let known = proxy.lists(1).await;
                let late = known.saturating_duration_since(counts_as_known_at + grace_period);
                assert_eq!(late, Duration::ZERO, "{mode}, after {answers} answers");
                drop(stalled);
            })
            .await;
        }
    }
}

/// After a change of discovery's address the complete list is fetched, and that call may stall as
/// well.
#[tokio::test(start_paused = true)]
async fn a_call_that_stalls_after_an_address_change_is_made_again_in_time() {
    for mode in ["pushed", "on_request"] {
        local(async {
            let (old, address) = Discovery::start().await;
            let proxy = Proxy::start(0, 1, mode, address);
            let _watch = old.next().await;
            let (new, address) = Discovery::start().await;
            let counts_as_known_at = Instant::now() + KNOWN_AFTER_ADDRESS_CHANGE;
            proxy.discovery_address.send_replace(address);
            let stalled = new.next().await;
            assert_eq!(
                stalled.after, None,
                "revisions of two services are not comparable"
            );
            assert!(
                counts_as_known_at <= stalled.counts_as_known_at(),
                "an address change counts as known sooner than a stall"
            );
            let again = new.next().await;
            let _open = again.answer(&list(7, true, &[("s-1", "active")])).await;
            let known = proxy.lists(1).await;
            assert!(
                known <= counts_as_known_at,
                "{mode}: {:?} late",
                known - counts_as_known_at
            );
        })
        .await;
    }
}

/// Watches that open together at a change, and stall together, open again one after another.
#[tokio::test(start_paused = true)]
async fn proxies_whose_watches_stall_together_do_not_call_again_together() {
    const PROXY_COUNT: u32 = 60;
    local(async {
        let (discovery, address) = Discovery::start().await;
        let proxies: Vec<_> = (0..PROXY_COUNT)
            .map(|index| Proxy::start(index, PROXY_COUNT, "on_request", address))
            .collect();
        let mut opened = Vec::new();
        for _ in 0..PROXY_COUNT {
            opened.push(discovery.next().await);
        }
        let mut watches = Vec::new();
        for call in opened {
            watches.push(
                call.answer(&list(2, false, &[]))
                    .await
                    .expect("the watch continues"),
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

/// An agent that was down for long is called again within the shortest drain grace period.
#[tokio::test(start_paused = true)]
async fn a_change_is_known_at_once_after_an_agents_return() {
    local(async {
        // An address of its own: nobody else can be given the port in between.
        let (discovery, address) = Discovery::start_at("127.78.0.1:0").await;
        let proxy = Proxy::start(0, 1, "pushed", address);
        drop((discovery.next().await, discovery));
        sleep(Duration::from_millis(7_310)).await;
        let returned_at = Instant::now();
        let discovery = Discovery(TcpListener::bind(address).await.expect("the same port"));
        let _open = discovery
            .next()
            .await
            .answer(&list(2, false, &ONE_REMOVED))
            .await;
        let known = proxy.lists(1).await - returned_at;
        assert!(known <= SHORTEST_GRACE_PERIOD, "{known:?} after its return");
    })
    .await;
}

/// A call that queues at discovery is not dropped and made again: that would make the queue longer.
#[tokio::test(start_paused = true)]
async fn a_call_that_opens_a_watch_has_time_to_queue() {
    local(async {
        let (discovery, address) = Discovery::start().await;
        let _proxy = Proxy::start(0, 1, "on_request", address);
        let call = discovery.next().await;
        sleep(Duration::from_secs(3) + call.long_poll_timeout).await;
        let next = call
            .answer(&list(2, false, &[]))
            .await
            .expect("the next call comes on the same connection");
        assert_eq!(next.after, Some(2));
        assert!(
            next.long_poll_timeout > Duration::from_secs(10),
            "a call that continues a watch does not queue"
        );
    })
    .await;
}
