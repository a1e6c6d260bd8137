//! Discovery's watches over loopback sockets in paused time: the module, the driver and the watcher as the program
//! puts them together, and a stand-in for discovery on the same runtime. Time moves on when nothing else can.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tillerproxy::balancer::Balancer;
use tillerproxy::proxy::backends::Backends;
use tillerproxy::proxy::clock::Clock;
use tillerproxy::proxy::config::Names;
use tillerproxy::proxy::counters::Counters;
use tillerproxy::proxy::discovery::{Asked, Translator, Watcher};
use tillerproxy::proxy::driver::{Driver, Limits};
use tillerproxy::proxy::lifecycle::Lifecycle;
use tillerproxy::simulator::parse_settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// A call as discovery sees it.
struct Call {
    at: Instant,
    after: Option<u64>,
    wait: Duration,
    stream: TcpStream,
}

/// What the rules say of silence: what is missed counts as told this long after a watch fell silent, or this long
/// after its wait, whichever is later.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
/// What a new discovery has to tell counts as told this long after the signal that names it.
const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);

/// The shortest grace for drains of the sites that we know, and how long new calls were seen to wait for their turn there.
const SHORTEST_GRACE: Duration = Duration::from_millis(250);
const LONGEST_TURN: Duration = Duration::from_millis(1_950);

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
    let wait = Duration::from_millis(number("wait_ms=").unwrap_or_default());
    Some(Call {
        at: Instant::now(),
        after: number("after="),
        wait,
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

    /// When what it misses counts as told if it falls silent at once.
    fn told_at(&self) -> Instant {
        self.at + TOLD_AFTER_SILENCE.max(self.wait + TOLD_AFTER_WAIT)
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

fn list(revision: u64, complete: bool, states: &[(&str, &str)]) -> Value {
    let member = |&(id, phase): &(&str, &str)| {
        json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "flavor": "m", "cell": 0,
               "phase": phase, "up_since_ms": 0})
    };
    json!({"revision": revision, "complete": complete, "members": states.iter().map(member).collect::<Vec<_>>()})
}

/// One proxy without clients, as far as it follows discovery.
struct Proxy {
    fleet: Rc<Backends>,
    moves: watch::Sender<SocketAddr>,
}

impl Proxy {
    fn start(me: u32, proxies: u32, mode: &str, discovery: SocketAddr) -> Self {
        Self::start_with(me, proxies, mode, Duration::ZERO, discovery)
    }

    /// One that has that long for asking.
    fn start_with(
        me: u32,
        proxies: u32,
        mode: &str,
        ask_within: Duration,
        discovery: SocketAddr,
    ) -> Self {
        let settings = json!({"me": me, "balancers": proxies, "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
            "membershipMode": mode,
            "classes": [{"name": "c", "aimUs": 1_000_000, "deadlineUs": 2_000_000, "worth": 1.0, "effect": "fragile"}],
            "permissions": {"maxAttempts": 1},
            "safety": {"askWithinUs": ask_within.as_micros() as u64, "coldFrom": 0.3, "coldUs": 1_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}});
        let settings = parse_settings(settings.to_string().as_bytes()).expect("good settings");
        let asked = settings.discovery_mode == tillerproxy::api::DiscoveryMode::Polled;
        let clock = Clock::start();
        let fleet = Backends::new(10, 250_000, 1_000_000, Vec::new(), Counters::new(&[]));
        let balancer =
            Balancer::new(settings, u64::from(me) + 1, clock.now()).expect("good settings");
        let (subscribe, calls) = mpsc::unbounded_channel();
        let limits = Limits {
            max_attempts: 1,
            report_by_probe: false,
        };
        let lifecycle = Lifecycle::start();
        let (driver, handle) = Driver::new(
            balancer,
            clock,
            Rc::clone(&fleet),
            limits,
            subscribe,
            Rc::clone(&lifecycle),
        );
        let names = Names {
            zones: vec!["a".into()],
            kinds: vec!["m".into()],
            ..Names::default()
        };
        let (moves, addresses) = watch::channel(discovery);
        let asked = asked.then(|| Asked::new(calls, me, proxies));
        let translator = Translator::new(clock, &names);
        let mut watcher = Watcher::new(addresses, translator, handle, lifecycle, asked);
        watcher.start_from(list(1, true, &[("s-1", "active"), ("s-2", "active")]));
        spawn_local(driver.run());
        spawn_local(watcher.run());
        Self { fleet, moves }
    }

    /// Waits until it holds so many backends; when that was.
    async fn holds(&self, backends: usize) -> Instant {
        while self.fleet.len() != backends {
            sleep(Duration::from_millis(1)).await;
        }
        Instant::now()
    }
}

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

const ONE_LEFT: [(&str, &str); 1] = [("s-2", "left")];

/// Silence right behind a call, which leaves the least time, at a watch that begins and at one that is continued. Where
/// discovery is asked, the call that opens it anew has to wait for its turn; nothing new may go to a backend that drains
/// once the grace is over.
#[tokio::test(start_paused = true)]
async fn what_a_silent_watch_misses_is_known_before_it_counts_as_told() {
    for (mode, turn, grace) in [
        ("pushed", Duration::ZERO, Duration::ZERO),
        ("on_request", LONGEST_TURN, SHORTEST_GRACE),
    ] {
        for answers in 0..3 {
            local(async {
                let (discovery, address) = Discovery::start().await;
                let proxy = Proxy::start(0, 1, mode, address);
                let mut silent = discovery.next().await;
                for revision in 0..answers {
                    silent = silent
                        .answer(&list(2 + revision, false, &[]))
                        .await
                        .expect("a further call");
                }
                let (told_at, revision) = (silent.told_at(), silent.after);
                let again = discovery.next().await;
                assert_eq!(again.after, revision, "{mode}: it asks for what it lacks");
                sleep(turn).await;
                let _open = again.answer(&list(100, false, &ONE_LEFT)).await;
                let known = proxy.holds(1).await;
                let late = known.saturating_duration_since(told_at + grace);
                assert_eq!(late, Duration::ZERO, "{mode}, behind {answers} answers");
                drop(silent);
            })
            .await;
        }
    }
}

/// After a move the whole list is asked for, and that call may fall silent as well.
#[tokio::test(start_paused = true)]
async fn a_call_that_falls_silent_behind_a_move_is_made_again_in_time() {
    for mode in ["pushed", "on_request"] {
        local(async {
            let (old, address) = Discovery::start().await;
            let proxy = Proxy::start(0, 1, mode, address);
            let _watch = old.next().await;
            let (new, address) = Discovery::start().await;
            let told_at = Instant::now() + TOLD_AFTER_MOVE;
            proxy.moves.send_replace(address);
            let silent = new.next().await;
            assert_eq!(
                silent.after, None,
                "the version of another service means nothing to this one"
            );
            assert!(
                told_at <= silent.told_at(),
                "a move is told sooner than silence"
            );
            let again = new.next().await;
            let _open = again.answer(&list(7, true, &[("s-1", "active")])).await;
            let known = proxy.holds(1).await;
            assert!(known <= told_at, "{mode}: {:?} late", known - told_at);
        })
        .await;
    }
}

/// Watches that begin together at a change, and fall silent together, come back one after another.
#[tokio::test(start_paused = true)]
async fn proxies_whose_watches_fall_silent_together_do_not_come_back_together() {
    const PROXIES: u32 = 60;
    local(async {
        let (discovery, address) = Discovery::start().await;
        let proxies: Vec<_> = (0..PROXIES)
            .map(|me| Proxy::start(me, PROXIES, "on_request", address))
            .collect();
        let mut began = Vec::new();
        for _ in 0..PROXIES {
            began.push(discovery.next().await);
        }
        let mut watches = Vec::new();
        for call in began {
            watches.push(
                call.answer(&list(2, false, &[]))
                    .await
                    .expect("the watch goes on"),
            );
        }
        let back: Vec<_> = watches.iter().map(|call| call.at + call.wait).collect();
        let busiest = back.iter().map(|&at| {
            back.iter()
                .filter(|&&other| other >= at && other < at + Duration::from_secs(1))
                .count()
        });
        let busiest = busiest.max().unwrap_or_default();
        assert!(busiest <= 4, "{busiest} calls in the busiest second");
        drop((watches, proxies));
    })
    .await;
}

/// An agent that is down for long is asked anew within the shortest grace for drains that is known.
#[tokio::test(start_paused = true)]
async fn what_an_agent_hears_at_its_return_is_asked_for_at_once() {
    local(async {
        // An address of its own: nobody else can be given the port in between.
        let (discovery, address) = Discovery::start_at("127.78.0.1:0").await;
        let proxy = Proxy::start(0, 1, "pushed", address);
        drop((discovery.next().await, discovery));
        sleep(Duration::from_millis(7_310)).await;
        let back = Instant::now();
        let discovery = Discovery(TcpListener::bind(address).await.expect("the same port"));
        let _open = discovery
            .next()
            .await
            .answer(&list(2, false, &ONE_LEFT))
            .await;
        let known = proxy.holds(1).await - back;
        assert!(known <= SHORTEST_GRACE, "{known:?} after its return");
    })
    .await;
}

/// One call of a proxy that discovery has not come to yet is not dropped and made again.
#[tokio::test(start_paused = true)]
async fn a_call_that_begins_a_watch_has_time_to_wait_for_its_turn() {
    local(async {
        let (discovery, address) = Discovery::start().await;
        let _proxy = Proxy::start(0, 1, "on_request", address);
        let call = discovery.next().await;
        sleep(Duration::from_secs(3) + call.wait).await;
        let next = call
            .answer(&list(2, false, &[]))
            .await
            .expect("it goes on on the same connection");
        assert_eq!(next.after, Some(2));
        assert!(
            next.wait > Duration::from_secs(10),
            "one that is continued waits for no turn"
        );
    })
    .await;
}

/// Whatever failed, was refused or was given up before, a change counts as told this long after discovery had it and
/// could be reached.
const TOLD_AFTER_REACHABLE: Duration = Duration::from_secs(6);
/// The largest fleet that is aimed at, and a time for asking that bounds nothing.
const LARGEST_FLEET: u32 = 710;
const LONG_ASK_WITHIN: Duration = Duration::from_secs(600);
/// So many failed calls make the module's back-off as long as it gets.
const FAILED_CALLS: usize = 6;

/// How discovery fails a call.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// It answers 503.
    Refusal,
    /// It breaks the connection.
    Reset,
    /// It answers what is no list.
    Malformed,
    /// It breaks the connection within its answer.
    Truncated,
    /// It says nothing until the call is given up.
    Silence,
}

const FAILURES: [Failure; 5] = [
    Failure::Refusal,
    Failure::Reset,
    Failure::Malformed,
    Failure::Truncated,
    Failure::Silence,
];

impl Call {
    /// Fails it in that way; a call that it leaves open is returned.
    async fn fail(mut self, failure: Failure) -> Option<Call> {
        let text = match failure {
            Failure::Refusal => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
            Failure::Malformed => "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"revisi",
            Failure::Truncated => "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n{\"revisi",
            Failure::Reset => "",
            Failure::Silence => return Some(self),
        };
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the proxy reads");
        None
    }
}

/// How long after its last failed call a proxy of the largest fleet holds what discovery had by then.
async fn known_after_failures(me: u32, failure: Failure) -> Duration {
    let (discovery, address) = Discovery::start().await;
    let proxy = Proxy::start_with(me, LARGEST_FLEET, "on_request", LONG_ASK_WITHIN, address);
    let mut reachable = Instant::now();
    let mut open = Vec::new();
    for _ in 0..FAILED_CALLS {
        let call = discovery.next().await;
        reachable = Instant::now();
        open.push(call.fail(failure).await);
    }
    let call = discovery.next().await;
    sleep(LONGEST_TURN).await;
    let _watch = call.answer(&list(100, false, &ONE_LEFT)).await;
    proxy.holds(1).await - reachable
}

#[tokio::test(start_paused = true)]
async fn a_change_is_known_in_time_after_calls_that_failed_however_large_the_fleet_is() {
    for failure in FAILURES {
        let mut latest = Duration::ZERO;
        for me in (0..LARGEST_FLEET).step_by(71) {
            latest = latest.max(local(known_after_failures(me, failure)).await);
        }
        let most = TOLD_AFTER_REACHABLE + SHORTEST_GRACE;
        assert!(
            latest <= most,
            "{failure:?}: known {latest:?} after discovery had it, {most:?} at the most"
        );
    }
}

/// Discovery is down for some seconds, so that connections to it are refused, and has a change at its return.
#[tokio::test(start_paused = true)]
async fn a_change_is_known_in_time_after_discoverys_return_however_large_the_fleet_is() {
    let mut latest = Duration::ZERO;
    for me in (0..LARGEST_FLEET).step_by(71) {
        let known = local(async {
            // An address of its own: nobody else can be given the port in between.
            let (discovery, address) = Discovery::start_at("127.78.0.2:0").await;
            let proxy =
                Proxy::start_with(me, LARGEST_FLEET, "on_request", LONG_ASK_WITHIN, address);
            drop((
                discovery.next().await.answer(&list(2, false, &[])).await,
                discovery,
            ));
            sleep(Duration::from_secs(8)).await;
            let back = Instant::now();
            let discovery = Discovery(TcpListener::bind(address).await.expect("the same port"));
            let call = discovery.next().await;
            sleep(LONGEST_TURN).await;
            let _watch = call.answer(&list(100, false, &ONE_LEFT)).await;
            proxy.holds(1).await - back
        });
        latest = latest.max(known.await);
    }
    let most = TOLD_AFTER_REACHABLE + SHORTEST_GRACE;
    assert!(
        latest <= most,
        "known {latest:?} after discovery's return, {most:?} at the most"
    );
}
