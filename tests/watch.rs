//! The watch on discovery, over loopback sockets in paused time: balancer, driver and watcher wired
//! as in the program, and a stand-in for discovery on the same runtime. Time advances when nothing
//! else can.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tillerproxy::api::DiscoveryMode;
use tillerproxy::balancer::Balancer;
use tillerproxy::proxy::backends::Backends;
use tillerproxy::proxy::clock::Clock;
use tillerproxy::proxy::counters::Counters;
use tillerproxy::proxy::discovery::{Polling, Translator, Watcher};
use tillerproxy::proxy::driver::{Driver, DriverSettings};
use tillerproxy::proxy::lifecycle::Lifecycle;
use tillerproxy::settings_json::Names;
use tillerproxy::simulator::parse_settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// A call as discovery receives it.
struct Call {
    received_at: Instant,
    /// The revision that the proxy holds.
    after: Option<u64>,
    long_poll_timeout: Duration,
    stream: TcpStream,
}

/// A change that a stalled watch misses counts as known to the proxy this long after the watch
/// stalled, or this long after its long-poll timeout, whichever is later.
const KNOWN_AFTER_STALL: Duration = Duration::from_secs(6);
const KNOWN_AFTER_LONG_POLL: Duration = Duration::from_secs(2);
/// The list of a new discovery counts as known this long after the signal that names its address.
const KNOWN_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);

/// The shortest drain grace period of the known sites, and the longest time that a new call was
/// seen to queue there.
const SHORTEST_GRACE_PERIOD: Duration = Duration::from_millis(250);
const LONGEST_QUEUE_TIME: Duration = Duration::from_millis(1_950);

async fn read_call(mut stream: TcpStream) -> Option<Call> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("text");
    let number = |name: &str| {
        let (_, rest) = head.lines().next()?.split_once(name)?;
        rest.split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse()
            .ok()
    };
    let long_poll_timeout = Duration::from_millis(number("wait_ms=").unwrap_or_default());
    Some(Call {
        received_at: Instant::now(),
        after: number("after="),
        long_poll_timeout,
        stream,
    })
}

impl Call {
    /// Answers, and waits for the next call on this connection.
    async fn answer(mut self, list: &Value) -> Option<Call> {
        let text = list.to_string();
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        self.stream.write_all(text.as_bytes()).await.ok()?;
        read_call(self.stream).await
    }

    /// When a change that it misses counts as known if it stalls at once.
    fn counts_as_known_at(&self) -> Instant {
        let after_long_poll = self.long_poll_timeout + KNOWN_AFTER_LONG_POLL;
        self.received_at + KNOWN_AFTER_STALL.max(after_long_poll)
    }
}

struct Discovery(TcpListener);

impl Discovery {
    async fn start() -> (Self, SocketAddr) {
        Self::start_at("127.0.0.1:0").await
    }

    async fn start_at(address: &str) -> (Self, SocketAddr) {
        let listener = TcpListener::bind(address).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        (Self(listener), address)
    }

    /// The first call on the next connection.
    async fn next(&self) -> Call {
        let accepted = timeout(Duration::from_secs(600), self.0.accept())
            .await
            .expect("a connection in time");
        read_call(accepted.expect("a connection").0)
            .await
            .expect("a call")
    }
}

/// An endpoint list of these ids and phases.
fn list(revision: u64, complete: bool, endpoints: &[(&str, &str)]) -> Value {
    let endpoint = |&(id, phase): &(&str, &str)| {
        json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "flavor": "m", "cell": 0,
               "phase": phase, "up_since_ms": 0})
    };
    json!({"revision": revision, "complete": complete, "members": endpoints.iter().map(endpoint).collect::<Vec<_>>()})
}

/// The parts of one proxy that follow discovery.
struct Proxy {
    backends: Rc<Backends>,
    discovery_address: watch::Sender<SocketAddr>,
}

impl Proxy {
    fn start(proxy_index: u32, proxy_count: u32, mode: &str, discovery: SocketAddr) -> Self {
        Self::start_with(proxy_index, proxy_count, mode, Duration::ZERO, discovery)
    }

    /// Starts a proxy with this poll interval.
    fn start_with(
        proxy_index: u32,
        proxy_count: u32,
        mode: &str,
        poll_interval: Duration,
        discovery: SocketAddr,
    ) -> Self {
        let settings = json!({"me": proxy_index, "balancers": proxy_count, "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
            "membershipMode": mode,
            "classes": [{"name": "c", "aimUs": 1_000_000, "deadlineUs": 2_000_000, "worth": 1.0, "effect": "fragile"}],
            "permissions": {"maxAttempts": 1},
            "safety": {"askWithinUs": poll_interval.as_micros() as u64, "coldFrom": 0.3, "coldUs": 1_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}});
        let settings = parse_settings(settings.to_string().as_bytes()).expect("good settings");
        let is_polled = settings.discovery_mode == DiscoveryMode::Polled;
        let clock = Clock::start();
        let backends = Backends::new(10, 250_000, 1_000_000, Vec::new(), Counters::new(&[]));
        let balancer = Balancer::new(settings, u64::from(proxy_index) + 1, clock.now())
            .expect("good settings");
        let (poll_sender, poll_requests) = mpsc::unbounded_channel();
        let driver_settings = DriverSettings {
            max_attempts: 1,
            load_report_by_health_check: false,
        };
        let lifecycle = Lifecycle::start();
        let (driver, handle) = Driver::new(
            balancer,
            clock,
            Rc::clone(&backends),
            driver_settings,
            poll_sender,
            Rc::clone(&lifecycle),
        );
        let names = Names {
            zones: vec!["a".into()],
            machine_types: vec!["m".into()],
            ..Names::default()
        };
        let (discovery_address, addresses) = watch::channel(discovery);
        let polling = is_polled.then(|| Polling::new(poll_requests, proxy_index, proxy_count));
        let translator = Translator::new(clock, &names);
        let mut watcher = Watcher::new(addresses, translator, handle, lifecycle, polling);
        watcher.start_from_cache(&list(1, true, &[("s-1", "active"), ("s-2", "active")]));
        spawn_local(driver.run());
        spawn_local(watcher.run());
        Self {
            backends,
            discovery_address,
        }
    }

    /// Waits until this many backends are listed, and returns when that was.
    async fn lists(&self, backends: usize) -> Instant {
        while self.backends.len() != backends {
            sleep(Duration::from_millis(1)).await;
        }
        Instant::now()
    }
}

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

const ONE_REMOVED: [(&str, &str); 1] = [("s-2", "left")];

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
                assert_eq!(again.after, revision, "{mode}: it asks for what it lacks");
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

/// Whatever calls failed before, a change counts as known this long after discovery had it and
/// could be reached.
const KNOWN_AFTER_REACHABLE: Duration = Duration::from_secs(6);
/// The largest number of proxies that is aimed at, and a poll interval that bounds nothing.
const MAX_PROXY_COUNT: u32 = 710;
const LONG_POLL_INTERVAL: Duration = Duration::from_secs(600);
/// Failed calls after which the balancer's backoff is at its longest.
const FAILED_CALLS: usize = 6;

/// How discovery fails a call.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// It answers 503.
    Unavailable,
    /// It breaks the connection.
    Reset,
    /// Its answer is no endpoint list.
    Malformed,
    /// It breaks the connection within its answer.
    Truncated,
    /// It does not answer until the call times out.
    Stall,
}

const FAILURES: [Failure; 5] = [
    Failure::Unavailable,
    Failure::Reset,
    Failure::Malformed,
    Failure::Truncated,
    Failure::Stall,
];

impl Call {
    /// Fails the call, and returns it if it stays open.
    async fn fail(mut self, failure: Failure) -> Option<Call> {
        let text = match failure {
            Failure::Unavailable => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
            Failure::Malformed => "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"revisi",
            Failure::Truncated => "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{\"revisi",
            Failure::Reset => "",
            Failure::Stall => return Some(self),
        };
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the proxy reads");
        None
    }
}

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
