//! Many at once: crowds of idle clients that fill the descriptors, fleets of proxies that start together.

use crate::UP;
use crate::rig::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The descriptors of a small proxy, and more clients than it may hold.
const DESCRIPTORS: usize = 64;
const CROWD: usize = 100;

/// Clients that connect, say what they have to say, and stay until the proxy ends the connection; then they
/// come again.
struct Crowd {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Each client says the next one of these words.
    fn gather(address: SocketAddr, words: &[String]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |number: usize| {
            let (stop, words) = (Arc::clone(&stop), words[number % words.len()].clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    stay(address, &words, &stop);
                }
            })
        };
        let clients = (0..CROWD).map(client).collect();
        Self { stop, clients }
    }

    /// Ends it.
    fn leave(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients
            .into_iter()
            .for_each(|client| client.join().expect("a client ends"));
    }
}

/// One connection of an idle client.
fn stay(address: SocketAddr, words: &str, stop: &AtomicBool) {
    const LOOK_EVERY: Duration = Duration::from_millis(50);
    thread::sleep(LOOK_EVERY);
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    stream
        .set_read_timeout(Some(LOOK_EVERY))
        .expect("a time-out");
    let _ = stream.write_all(words.as_bytes());
    while !stop.load(Ordering::Relaxed) {
        match stream.read(&mut [0; 1_024]) {
            Ok(1..) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => return,
        }
    }
}

/// One request on a connection of its own; nothing where the proxy shuts it unread.
fn try_once(proxy: &Proxy, id: &str) -> Option<Seen> {
    let mut client = proxy.client();
    client
        .stream
        .write_all(request("read", id, "").as_bytes())
        .ok()?;
    read_message(&mut client.reader)
}

/// An address where nobody listens. Its host is its own, so that nobody else can be given the port.
fn nobody_at(host: &str) -> SocketAddr {
    TcpListener::bind((host, 0))
        .expect("a port")
        .local_addr()
        .expect("an address")
}

/// While discovery is down idle clients take every descriptor that they can get. Discovery and a backend that
/// it names at its return still get theirs, and once the crowd has left every new client is served at once.
#[test]
fn idle_clients_leave_descriptors_to_discovery_and_to_backends() {
    const SERVED_WITHIN: Duration = Duration::from_secs(8);
    let half = request("read", "half", "");
    let words = [
        String::new(),
        UP.to_owned(),
        half[..half.len() / 2].to_owned(),
    ];
    for mode in ["pushed", "on_request"] {
        let discovery = nobody_at(&format!("127.79.0.{}", mode.len()));
        let mut config = config_at(&format!("crowd-{mode}"), discovery);
        config["limits"]["sockets"] = DESCRIPTORS.into();
        config["settings"]["membershipMode"] = mode.into();
        let known = entry("old", nobody_at("127.79.0.1"), "active", 0);
        config["known"] = json!({"revision": 3, "complete": true, "members": [known]});
        let proxy = Proxy::start_limited(&format!("crowd-{mode}"), &config, DESCRIPTORS);
        let crowd = Crowd::gather(proxy.address, &words);
        // It has held as many as it takes for a while by then.
        thread::sleep(Duration::from_secs(2));
        let discovery = Discovery::start_at(&discovery.to_string());
        let back = Instant::now();
        let backend = Backend::start(|_| ok("there"));
        discovery.post(true, &[entry("new", backend.address, "active", 0)]);
        let mut tries = 0;
        while try_once(&proxy, &format!("crowded-{tries}")).is_none_or(|got| got.status() != 200) {
            tries += 1;
            assert!(
                back.elapsed() < SERVED_WITHIN,
                "{mode}: not served {:?} after its return",
                back.elapsed()
            );
        }
        crowd.leave();
        let held: Vec<_> = (0..8).map(|_| proxy.client()).collect();
        for id in 0..8 {
            let got = try_once(&proxy, &format!("after-{id}")).expect("an answer");
            assert_eq!(
                (got.status(), got.body.as_slice()),
                (200, b"there".as_slice()),
                "{mode}"
            );
        }
        drop(held);
    }
}

/// Discovery as one service for a whole fleet, of which each call takes a while: it answers them in turn, and
/// ends with 503 those that wait too long. A call for what is newer than its list stays open.
fn serve_in_turn(address: SocketAddr, list: Value) {
    const TAKES: Duration = Duration::from_millis(200);
    const LONGEST_WAIT: Duration = Duration::from_secs(3);
    let listener = TcpListener::bind(address).expect("the address");
    let (calls, queue) = channel::<(Instant, TcpStream)>();
    let newest = format!("after={}&", list["revision"]);
    thread::spawn(move || {
        for (came, mut stream) in queue {
            let reply = if came.elapsed() > LONGEST_WAIT {
                answer("503 Service Unavailable", "", b"")
            } else {
                thread::sleep(TAKES);
                answer("200 OK", "", list.to_string().as_bytes())
            };
            let _ = stream.write_all(&reply);
        }
    });
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), calls, newest) = (stream, calls.clone(), newest.clone()) else {
                return;
            };
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                while let Some(call) = read_message(&mut reader) {
                    if !call.first_line().contains(&newest) {
                        let _ = calls.send((Instant::now(), stream.try_clone().expect("a clone")));
                    }
                }
            });
        }
    });
}

/// How a fleet that starts finds discovery, and what its configuration knows.
#[derive(Clone, Copy, Debug)]
enum Start {
    /// Discovery answers in turn.
    SlowDiscovery,
    /// Discovery is down for longer than it may take to be ready.
    NoDiscovery,
    /// Discovery answers in turn and no backend is known.
    NothingKnown,
}

/// A fleet of processes that start together, as after a crash of many: nine in ten are ready in time.
#[test]
fn nine_in_ten_of_the_proxies_that_start_together_are_ready_in_time() {
    const FLEET: usize = 16;
    const READY_WITHIN: Duration = Duration::from_secs(10);
    for start in [
        Start::SlowDiscovery,
        Start::NoDiscovery,
        Start::NothingKnown,
    ] {
        let backend = Backend::start(|_| ok("there"));
        let members = json!([entry("s-1", backend.address, "active", 0)]);
        let discovery = nobody_at("127.79.1.1");
        if !matches!(start, Start::NoDiscovery) {
            serve_in_turn(
                discovery,
                json!({"revision": 9, "complete": true, "members": members}),
            );
        }
        let began = Instant::now();
        let launch = |me: usize| {
            let name = format!("fleet-{start:?}-{me}");
            let mut config = config_at(&name, discovery);
            config["settings"]["membershipMode"] = "on_request".into();
            config["settings"]["me"] = me.into();
            config["settings"]["balancers"] = FLEET.into();
            config["settings"]["safety"]["askWithinUs"] = 10_000_000.into();
            if !matches!(start, Start::NothingKnown) {
                config["known"] = json!({"revision": 3, "complete": true, "members": members});
            }
            config["seed"] = format!("{me:016x}").into();
            Proxy::start_with(&name, config)
        };
        let proxies: Vec<_> = (0..FLEET).map(launch).collect();
        let mut waiting: Vec<_> = proxies.iter().collect();
        while !waiting.is_empty() && began.elapsed() < READY_WITHIN {
            waiting.retain(|proxy| proxy.client().ask(UP).status() != 200);
            thread::sleep(Duration::from_millis(20));
        }
        assert!(
            waiting.len() * 10 <= FLEET,
            "{start:?}: {} of {FLEET} are not ready",
            waiting.len()
        );
        let ready = proxies
            .iter()
            .filter(|proxy| !waiting.iter().any(|other| std::ptr::eq(*proxy, *other)));
        for (i, proxy) in ready.enumerate() {
            assert_eq!(
                proxy
                    .client()
                    .ask(&request("read", &i.to_string(), ""))
                    .status(),
                200,
                "{start:?}"
            );
        }
    }
}
