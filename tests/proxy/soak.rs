//! Planned restarts under load: clients use their connections for as long as these stay open, and the process is killed
//! as early as a platform may do so. Deadlines, signals, limits, idle clients and what the backends do come from seeds.

use crate::rig::*;
use fastrand::Rng;
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The number of clients that send requests.
const CLIENTS: usize = 8;
const BACKENDS: usize = 4;
/// The number of connections of a client that rest at a time.
const RESTING_CONNECTIONS: usize = 4;
/// The number of seeds that are played at a time.
const CONCURRENT_SEEDS: u64 = 8;
/// Time after SIGTERM in which clients open new connections.
const NEW_CONNECTIONS_TIME: Duration = Duration::from_millis(300);
/// Time from the end of the longest deadline, counted from SIGTERM, to the kill.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time after a request's timeout in which its answer is late, but not lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// What a backend does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reaction {
    Respond,
    /// Responds with the end of the connection as the end of the body.
    RespondAndClose,
    /// Sends a part of a response of unknown length and resets the connection.
    Break,
    /// Refuses the request without running it.
    Refuse,
    Hang,
}

/// One run of a proxy from its start to its kill.
struct Restart {
    seed: u64,
    /// The longest time that a client waits for a response.
    longest_deadline: Duration,
    sockets: u64,
    memory_mb: u64,
    /// The number of clients that connect and send nothing or a part of a request.
    idle_clients: usize,
    /// Pauses before SIGHUPs in series; the next pause is the one before SIGTERM.
    pauses: Vec<Duration>,
    /// Whether SIGHUP and SIGTERM come again after SIGTERM.
    repeats_signals: bool,
    /// Whether the first backend answers nothing from SIGTERM on.
    has_hanging_backend: bool,
}

/// What has been seen of a request.
struct SentRequest {
    id: String,
    class: &'static str,
    timeout: Duration,
    /// Whether the connection ended before the request could be written.
    was_written: bool,
    received: Received,
    elapsed: Duration,
    ended_at: Instant,
}

/// What backends did with the requests, by their ids.
type Reactions = Arc<Mutex<HashMap<String, Vec<Reaction>>>>;

/// The times at which a process was told to end and was killed; the first until then unknown.
#[derive(Default)]
struct Schedule {
    terminated_at: Mutex<Option<Instant>>,
}

impl Schedule {
    fn terminated_at(&self) -> Option<Instant> {
        *self.terminated_at.lock().expect("no thread has panicked")
    }
}

/// Returns the body of the response to the request with this id.
fn body_of(id: &str) -> Vec<u8> {
    id.repeat(1 + id.len() * 40 % 700).into_bytes()
}

/// A backend whose reactions come from a seed.
struct SoakBackend {
    random: Mutex<Rng>,
    reactions: Reactions,
    schedule: Arc<Schedule>,
    hangs_after_sigterm: bool,
}

impl SoakBackend {
    fn start(self) -> SocketAddr {
        let (listener, address) = bind_listener("127.0.0.1:0");
        let backend = Arc::new(self);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let backend = Arc::clone(&backend);
                thread::spawn(move || while backend.serve_one(&stream).is_some() {});
            }
        });
        address
    }

    /// Chooses the reaction to a request, and the time until it.
    fn choose(&self) -> (Reaction, Duration) {
        let mut random = self.random.lock().expect("no thread has panicked");
        let delay = Duration::from_micros(random.u64(..40_000));
        if self.hangs_after_sigterm && self.schedule.terminated_at().is_some() {
            return (Reaction::Hang, delay);
        }
        let reaction = match random.u8(..100) {
            0..60 => Reaction::Respond,
            60..80 => Reaction::RespondAndClose,
            80..92 => Reaction::Break,
            92..97 => Reaction::Refuse,
            _ => Reaction::Hang,
        };
        (reaction, delay)
    }

    /// Serves one request. Returns `None` at the end of the connection.
    fn serve_one(&self, mut stream: &TcpStream) -> Option<()> {
        let request = read_message(&mut BufReader::new(stream))?;
        let id = request.header("x-correlation-id")?.to_owned();
        let (reaction, delay) = self.choose();
        let mut reactions = self.reactions.lock().expect("no thread has panicked");
        reactions.entry(id.clone()).or_default().push(reaction);
        drop(reactions);
        thread::sleep(delay);
        let body = body_of(&id);
        let close = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec();
        match reaction {
            Reaction::Respond => stream.write_all(&response("200 OK", "", &body)).ok(),
            Reaction::RespondAndClose => {
                let _ = stream.write_all(&[close, body].concat());
                None
            }
            Reaction::Break => {
                let part = &body[..body.len() / 2];
                let _ = stream.write_all(&[&close[..], part].concat());
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                None
            }
            Reaction::Refuse => {
                let fields = "X-Unprocessed: 1\r\n";
                let refusal = response("503 Service Unavailable", fields, b"full");
                stream.write_all(&refusal).ok()
            }
            Reaction::Hang => {
                thread::sleep(TEST_TIMEOUT);
                None
            }
        }
    }
}

/// A connection of a client to the proxy.
type Connection = BufReader<TcpStream>;

/// A client that sends one request after another. Some of its connections rest until after SIGTERM.
struct SoakClient {
    number: usize,
    random: Rng,
    address: SocketAddr,
    longest_deadline: Duration,
    schedule: Arc<Schedule>,
    resting: Vec<Connection>,
    sent: Vec<SentRequest>,
}

impl SoakClient {
    /// Sends requests until the process is killed. Returns them.
    fn run(mut self) -> Vec<SentRequest> {
        self.use_new_connections();
        self.use_resting_connections();
        self.sent
    }

    /// Sends requests until no connection can be opened any more.
    fn use_new_connections(&mut self) {
        while self.may_connect() {
            let Ok(stream) = TcpStream::connect(self.address) else {
                break;
            };
            let _ = stream.set_read_timeout(Some(TEST_TIMEOUT));
            let mut connection = BufReader::new(stream);
            while self.exchange(&mut connection) {
                thread::sleep(Duration::from_micros(self.random.u64(..30_000)));
                if self.resting.len() < RESTING_CONNECTIONS && self.random.u8(..20) == 0 {
                    self.resting.push(connection);
                    break;
                }
            }
        }
    }

    /// Sends a request on each resting connection at a random time before the kill.
    fn use_resting_connections(&mut self) {
        let Some(terminated_at) = self.schedule.terminated_at() else {
            return;
        };
        let kill_delay = self.longest_deadline + KILL_DELAY;
        let mut times: Vec<_> = std::mem::take(&mut self.resting)
            .into_iter()
            .map(|connection| (kill_delay.mul_f64(self.random.f64()), connection))
            .collect();
        times.sort_by_key(|(delay, _)| *delay);
        for (delay, mut connection) in times {
            let at = terminated_at + delay;
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.exchange(&mut connection);
        }
    }

    fn may_connect(&self) -> bool {
        let terminated_at = self.schedule.terminated_at();
        terminated_at.is_none_or(|at| at.elapsed() < NEW_CONNECTIONS_TIME)
    }

    /// Sends a request and receives its response. Returns whether the connection stays open.
    fn exchange(&mut self, connection: &mut Connection) -> bool {
        let id = format!("{}-{}", self.number, self.sent.len());
        let classes = ["read", "submit", "charge"];
        let class = self.random.choice(classes).expect("there are classes");
        let longest_ms = self.longest_deadline.as_millis() as u64;
        let timeouts = [53, 120, 400, longest_ms];
        let timeout_ms = self.random.choice(timeouts).expect("there are timeouts");
        let timeout_ms = timeout_ms.min(longest_ms);
        let text = request_with_timeout(class, &id, "", timeout_ms);
        let was_written = connection.get_mut().write_all(text.as_bytes()).is_ok();
        let sent_at = Instant::now();
        let received = Received::read(connection);
        let stays_open = matches!(&received, Received::Whole(message)
            if message.header("connection") != Some("close"));
        self.sent.push(SentRequest {
            id,
            class,
            timeout: Duration::from_millis(timeout_ms),
            was_written,
            received,
            elapsed: sent_at.elapsed(),
            ended_at: Instant::now(),
        });
        stays_open
    }
}

/// How the requests of one or several seeds ended.
#[derive(Debug, Default)]
struct Tally {
    requests: usize,
    served: usize,
    /// The number of requests that met a close of their connection before they were read.
    closed_unread: usize,
    failures: Vec<String>,
}

impl Restart {
    /// Returns the restart of a seed.
    fn from_seed(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let mut choose = |values: &[u64]| values[random.usize(..values.len())];
        let deadline_ms = choose(&[500, 1_000, 2_000, 3_000]);
        let sockets = choose(&[256, 1_024]);
        let memory_mb = choose(&[32, 192]);
        let reloads = choose(&[0, 1, 2, 3]);
        let pauses = (0..=reloads).map(|_| Duration::from_millis(choose(&[30, 300, 700])));
        Self {
            seed,
            longest_deadline: Duration::from_millis(deadline_ms),
            sockets,
            memory_mb,
            pauses: pauses.collect(),
            idle_clients: choose(&[0, 0, 150]) as usize,
            repeats_signals: choose(&[0, 1]) == 1,
            has_hanging_backend: choose(&[0, 1]) == 1,
        }
    }

    /// Returns a configuration that names this address of discovery.
    fn config(&self, discovery: &Discovery) -> Value {
        let mut config = config(&self.name(), discovery);
        config["limits"]["sockets"] = self.sockets.into();
        config["limits"]["memory_mb"] = self.memory_mb.into();
        let classes = config["settings"]["classes"].as_array_mut();
        for class in classes.expect("the settings have classes") {
            let deadline = self.longest_deadline.as_micros() as u64;
            class["deadlineUs"] = deadline.into();
            class["aimUs"] = deadline.into();
        }
        config
    }

    fn name(&self) -> String {
        format!("soak-{}", self.seed)
    }

    /// Starts the backends and returns the endpoint list.
    fn start_backends(&self, reactions: &Reactions, schedule: &Arc<Schedule>) -> Vec<Value> {
        let endpoint = |number: usize| {
            let backend = SoakBackend {
                random: Mutex::new(Rng::with_seed(self.seed * 100 + number as u64)),
                reactions: Arc::clone(reactions),
                schedule: Arc::clone(schedule),
                hangs_after_sigterm: self.has_hanging_backend && number == 0,
            };
            active_endpoint(&format!("s-{number}"), backend.start())
        };
        (0..BACKENDS).map(endpoint).collect()
    }

    /// Sends the signals up to the kill, and returns the time of the kill.
    fn signal(&self, proxy: &mut Proxy, discovery: &[Discovery], schedule: &Schedule) -> Instant {
        let (last, reloads) = self.pauses.split_last().expect("there is one pause");
        for (number, pause) in reloads.iter().enumerate() {
            thread::sleep(*pause);
            let next = &discovery[(number + 1) % discovery.len()];
            proxy.reload(&self.config(next).to_string());
        }
        // A process may ignore a configuration that is replaced in its first second.
        thread::sleep(*last + Duration::from_millis(500));
        let mut terminated_at = schedule
            .terminated_at
            .lock()
            .expect("no thread has panicked");
        proxy.terminate();
        let kill_at = Instant::now() + self.longest_deadline + KILL_DELAY;
        *terminated_at = Some(Instant::now());
        drop(terminated_at);
        if self.repeats_signals {
            thread::sleep(Duration::from_millis(50));
            proxy.reload(&self.config(&discovery[0]).to_string());
            proxy.terminate();
        }
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        let killed_at = Instant::now();
        let _ = proxy.child.kill();
        killed_at
    }

    /// Connects clients that send nothing, or a part of a request.
    fn connect_idle_clients(&self, address: SocketAddr) -> Vec<TcpStream> {
        let connect = |number: usize| {
            let mut stream = TcpStream::connect(address).ok()?;
            if number % 3 == 0 {
                stream.write_all(b"GET /read HTTP/1.1\r\nHost:").ok()?;
            }
            Some(stream)
        };
        (0..self.idle_clients).filter_map(connect).collect()
    }

    fn play(self) -> Tally {
        let discovery = [Discovery::start(), Discovery::start()];
        let reactions = Reactions::default();
        let schedule = Arc::default();
        let endpoints = self.start_backends(&reactions, &schedule);
        let name = self.name();
        let mut command = proxy_command(&name, &self.config(&discovery[0]).to_string());
        command.env("EDGE_LOG", "info,tillerproxy::request=debug");
        command.env("EDGE_LOG_LINES_PER_SECOND", "10000");
        let mut proxy = Proxy::start_with_command(&name, command);
        let log = proxy.collect_log();
        discovery[0].publish_and_wait(true, &endpoints);
        discovery[1].publish(true, &endpoints);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let client = SoakClient {
                    number,
                    random: Rng::with_seed(self.seed * 1_000 + number as u64),
                    address: proxy.address,
                    longest_deadline: self.longest_deadline,
                    schedule: Arc::clone(&schedule),
                    resting: Vec::new(),
                    sent: Vec::new(),
                };
                thread::spawn(move || client.run())
            })
            .collect();
        let _idle_clients = self.connect_idle_clients(proxy.address);
        let killed_at = self.signal(&mut proxy, &discovery, &schedule);
        let sent = clients
            .into_iter()
            .flat_map(|client| client.join().expect("no client panics"))
            .collect();
        let log = log.join().expect("the log is readable text");
        let code = proxy.wait().code();
        let reactions = reactions.lock().expect("no thread has panicked");
        let mut tally = self.check(sent, &reactions, &log, killed_at);
        // A killed process has no exit code.
        if !matches!(code, Some(0) | None) {
            tally.failures.push(format!("{name}: exit code {code:?}"));
        }
        tally
    }

    /// Checks how the requests ended.
    fn check(
        &self,
        sent: Vec<SentRequest>,
        reactions: &HashMap<String, Vec<Reaction>>,
        log: &str,
        killed_at: Instant,
    ) -> Tally {
        let mut tally = Tally::default();
        for request in sent {
            let reactions = reactions.get(&request.id).map_or(&[][..], |list| list);
            let was_read = log.contains(&format!("correlation_id=\"{}\"", request.id));
            let ended_before_kill = request.ended_at < killed_at;
            // A connection may be closed before its next request is read.
            let is_unread = !was_read && reactions.is_empty();
            if matches!(request.received, Received::Nothing)
                && is_unread
                && (ended_before_kill || !request.was_written)
            {
                tally.closed_unread += 1;
                continue;
            }
            tally.requests += 1;
            let is_served =
                matches!(&request.received, Received::Whole(message) if message.status() == 200);
            tally.served += usize::from(is_served);
            if let Some(failure) = request.find_failure(reactions) {
                tally.failures.push(format!(
                    "{}, request {} of {}, timeout {:?}: {failure}, after {:?}, {:?} before the kill, read: {was_read}, {reactions:?}",
                    self.name(),
                    request.id,
                    request.class,
                    request.timeout,
                    request.elapsed,
                    killed_at.saturating_duration_since(request.ended_at),
                ));
            }
        }
        tally
    }
}

impl SentRequest {
    /// Returns what is wrong with the end of the request, if anything.
    fn find_failure(&self, reactions: &[Reaction]) -> Option<&'static str> {
        let must_run_once = self.class == "charge";
        let executions = reactions
            .iter()
            .filter(|&&reaction| reaction != Reaction::Refuse)
            .count();
        match &self.received {
            _ if self.elapsed > self.timeout + MAX_LATENESS => Some("late"),
            _ if must_run_once && executions > 1 => Some("executed again"),
            Received::Nothing => Some("no byte of an answer"),
            Received::Part if !reactions.contains(&Reaction::Break) => {
                Some("a whole response was cut off")
            }
            Received::Part => None,
            Received::Whole(message) => match message.status() {
                200 if message.body != body_of(&self.id) => Some("another body"),
                429 | 503 if must_run_once && executions > 0 => Some("rejected after it ran"),
                _ => None,
            },
        }
    }
}

/// Guards against requests that are lost, late, run twice or get another body while the proxy is restarted.
#[test]
fn requests_are_answered_through_restarts_up_to_the_earliest_kill() {
    let seeds = std::env::var("SOAK_SEEDS").map_or(24, |seeds| {
        seeds.parse().expect("the number of seeds is a number")
    });
    let mut sum = Tally::default();
    for first in (0..seeds).step_by(CONCURRENT_SEEDS as usize) {
        let plays: Vec<_> = (first..seeds.min(first + CONCURRENT_SEEDS))
            .map(|seed| thread::spawn(move || Restart::from_seed(seed).play()))
            .collect();
        for play in plays {
            let tally = play.join().expect("no play panics");
            sum.requests += tally.requests;
            sum.served += tally.served;
            sum.closed_unread += tally.closed_unread;
            sum.failures.extend(tally.failures);
        }
    }
    let Tally {
        requests,
        served,
        closed_unread,
        failures,
    } = sum;
    println!("{requests} requests, {served} served, {closed_unread} closed unread");
    assert!(
        failures.is_empty(),
        "{} of {requests}:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
