//! The proxy's program with fake backends, discovery and clients, all on loopback sockets. Nothing here waits for
//! a fixed time: tests wait for events, and the timeouts only end a test that has failed.

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

/// Ends a test that waits for an event that never comes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP message as it was received: its head and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// The number of the backend's connection that it came on.
    pub connection: usize,
}

impl Message {
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line()
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        fields
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut seen = Message {
        head,
        body: Vec::new(),
        connection: 0,
    };
    if seen.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let start = seen.body.len();
            seen.body.resize(start + size, 0);
            reader.read_exact(&mut seen.body[start..]).ok()?;
            reader.read_line(&mut line).ok()?;
            if size == 0 {
                return Some(seen);
            }
        }
    }
    let length = seen
        .header("content-length")
        .map_or(0, |l| l.parse().expect("a length"));
    seen.body.resize(length, 0);
    reader.read_exact(&mut seen.body).ok()?;
    Some(seen)
}

/// What a backend does with a request.
pub enum Reply {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Waits for a signal from the test, then does that.
    After(Receiver<()>, Box<Reply>),
    /// Writes these bytes, waits for a signal, then does that.
    Then(Vec<u8>, Receiver<()>, Box<Reply>),
    /// Writes these bytes, then those again and again with a pause between them.
    Endless(Vec<u8>, Vec<u8>, Duration),
    /// Never answers.
    Hang,
}

pub fn answer(status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn ok(body: &str) -> Reply {
    Reply::Write(answer("200 OK", "", body.as_bytes()))
}

type Script = Box<dyn FnMut(&Message) -> Reply + Send>;

/// A backend that answers by its script and sends the test what it received.
pub struct Backend {
    pub address: SocketAddr,
    pub seen: Receiver<Message>,
}

fn execute(reply: Reply, stream: &mut TcpStream) -> bool {
    match reply {
        Reply::Write(bytes) => stream.write_all(&bytes).is_ok(),
        Reply::WriteAndClose(bytes) => {
            let _ = stream.write_all(&bytes);
            false
        }
        Reply::After(signal, reply) => {
            let _ = signal.recv_timeout(TEST_TIMEOUT);
            execute(*reply, stream)
        }
        Reply::Then(bytes, signal, reply) => {
            let _ = stream.write_all(&bytes);
            let _ = signal.recv_timeout(TEST_TIMEOUT);
            execute(*reply, stream)
        }
        Reply::Endless(first, again, pause) => {
            let _ = stream.write_all(&first);
            while stream.write_all(&again).is_ok() {
                thread::sleep(pause);
            }
            false
        }
        Reply::Hang => true,
    }
}

impl Backend {
    pub fn start(script: impl FnMut(&Message) -> Reply + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, seen) = channel();
        let script: Arc<Mutex<Script>> = Arc::new(Mutex::new(Box::new(script)));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (Ok(mut stream), sender, script) =
                    (stream, sender.clone(), Arc::clone(&script))
                else {
                    return;
                };
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    while let Some(mut request) = read_message(&mut reader) {
                        request.connection = connection;
                        let reply = script.lock().expect("a script")(&request);
                        let _ = sender.send(request);
                        if !execute(reply, &mut stream) {
                            let _ = stream.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        });
        Self { address, seen }
    }

    /// Returns the next request that it receives.
    pub fn next(&self) -> Message {
        self.seen
            .recv_timeout(TEST_TIMEOUT)
            .expect("the backend sees a request")
    }

    /// Returns the number of requests that it has received beyond those.
    pub fn rest(&self) -> usize {
        self.seen.try_iter().count()
    }

    /// Waits until no connection to it looks open to its peer's kernel: each close has reached the peer's socket,
    /// whether or not the peer's process has seen it.
    pub fn wait_until_closed(&self) {
        let began = Instant::now();
        while has_established_to(self.address) {
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "a connection to the backend stays open"
            );
            thread::yield_now();
        }
    }
}

/// Returns whether some socket of this machine has an established IPv4 connection to that address.
fn has_established_to(address: SocketAddr) -> bool {
    const ESTABLISHED: &str = "01";
    let SocketAddr::V4(address) = address else {
        panic!("an IPv4 address")
    };
    let remote = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    );
    let table = fs::read_to_string("/proc/net/tcp").expect("the kernel's table of TCP sockets");
    table.lines().skip(1).any(|line| {
        let mut fields = line.split_ascii_whitespace().skip(2);
        fields.next() == Some(remote.as_str()) && fields.next() == Some(ESTABLISHED)
    })
}

/// A backend whose accept queue is full: connects to it wait until it is emptied.
pub struct FullQueue {
    pub address: SocketAddr,
    listener: TcpListener,
    _filler: TcpStream,
}

impl FullQueue {
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(address).expect("the queue takes one");
        Self {
            address,
            listener,
            _filler: filler,
        }
    }

    /// Lets the waiting connects succeed.
    pub fn empty(self) -> TcpListener {
        drop(self.listener.accept().expect("the filler"));
        self.listener
    }
}

/// A backend's entry in discovery's list.
pub fn entry(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": up_since_ms})
}

struct Published {
    revision: u64,
    list: Option<Value>,
}

/// Discovery that sends what the test posts, and reports which version each call holds.
pub struct Discovery {
    pub address: SocketAddr,
    published: Arc<(Mutex<Published>, Condvar)>,
    calls: Receiver<Option<u64>>,
}

fn serve_watch(
    stream: TcpStream,
    published: &(Mutex<Published>, Condvar),
    sender: &Sender<Option<u64>>,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let request = read_message(&mut reader)?;
        let after = request.first_line().split_once("after=").map(|(_, rest)| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().expect("a version")
        });
        sender.send(after).ok()?;
        let (lock, changed) = published;
        let mut published = lock.lock().expect("the published list");
        while published.list.is_none() || after == Some(published.revision) {
            published = changed.wait(published).expect("the published list");
        }
        let text = published.list.clone()?.to_string();
        drop(published);
        stream
            .write_all(&answer("200 OK", "", text.as_bytes()))
            .ok()?;
    }
}

impl Discovery {
    /// Discovery that holds every call until a list is posted.
    pub fn start() -> Self {
        Self::start_at("127.0.0.1:0")
    }

    /// One at this address.
    pub fn start_at(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("a port");
        let address = listener.local_addr().expect("an address");
        let published = Arc::new((
            Mutex::new(Published {
                revision: 0,
                list: None,
            }),
            Condvar::new(),
        ));
        let (sender, calls) = channel();
        let shared = Arc::clone(&published);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), published, sender) = (stream, Arc::clone(&shared), sender.clone())
                else {
                    return;
                };
                thread::spawn(move || serve_watch(stream, &published, &sender));
            }
        });
        Self {
            address,
            published,
            calls,
        }
    }

    /// Returns the version that the next call holds.
    pub fn next_call(&self) -> Option<u64> {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }

    /// Takes the calls that have come, and returns their number.
    pub fn calls(&self) -> usize {
        self.calls.try_iter().count()
    }

    /// Posts a list and waits until the proxy holds it: it then requests what is newer.
    pub fn post(&self, complete: bool, members: &[Value]) {
        let revision = self.put(complete, members);
        while self
            .calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("a further watch")
            != Some(revision)
        {}
    }

    /// Posts a list, and returns its version.
    pub fn put(&self, complete: bool, members: &[Value]) -> u64 {
        let (lock, changed) = &*self.published;
        let mut published = lock.lock().expect("the published list");
        published.revision += 1;
        let revision = published.revision;
        published.list =
            Some(json!({"revision": revision, "complete": complete, "members": members}));
        drop(published);
        changed.notify_all();
        revision
    }
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimUs": 10_000_000, "deadlineUs": 20_000_000, "worth": 1.0, "lateWorth": 0.5,
               "effect": effect, "group": "cell", "keyTtlUs": 3_000_000})
    };
    json!({"me": 0, "balancers": 1, "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
        "membershipMode": "pushed",
        "classes": [class("read", "retryable"), class("submit", "dedup"), class("charge", "fragile")],
        "permissions": {"maxAttempts": 4, "secondCopies": true, "cancel": true, "probes": true,
                        "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true,
                        "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 5_000_000},
        "safety": {"coldFrom": 0.3, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}})
}

/// A configuration without cached endpoints and with an operators' address.
pub fn operated(name: &str, discovery: &Discovery) -> Value {
    let mut config = config(name, discovery);
    config["operator"] = "127.0.0.1:0".into();
    config
}

/// A configuration without cached endpoints.
pub fn config(name: &str, discovery: &Discovery) -> Value {
    config_at(name, discovery.address)
}

/// One with discovery at this address.
pub fn config_at(name: &str, discovery: SocketAddr) -> Value {
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": true, "members": []}, "settings": settings()})
}

/// The program, running.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    /// Where operators call, if the configuration names it.
    pub operator: Option<SocketAddr>,
    name: String,
    log: BufReader<ChildStderr>,
}

fn config_path(name: &str) -> PathBuf {
    env::temp_dir().join(format!("tillerproxy-{}-{name}.json", std::process::id()))
}

/// Starts the program with this configuration and captures its standard error.
pub fn launch(name: &str, config: &str) -> Child {
    command(name, config).spawn().expect("the program starts")
}

/// The program with this configuration, not started yet.
pub fn command(name: &str, config: &str) -> Command {
    let path = config_path(name);
    fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy"));
    command.env("EDGE_CONFIG", path).stderr(Stdio::piped());
    command
}

/// The program with this configuration and a listening socket of the platform's, as its standard input.
pub fn heir(name: &str, config: &Value, listener: &TcpListener) -> Proxy {
    let listener: OwnedFd = listener.try_clone().expect("a clone").into();
    let mut command = command(name, &config.to_string());
    command.env("EDGE_FD", "0").stdin(Stdio::from(listener));
    Proxy::follow(name, command.spawn().expect("the program starts"))
}

/// The address behind these words of a line of the log, in either of its formats.
fn address_behind(line: &str, words: &str) -> Option<SocketAddr> {
    let (_, rest) = line.trim().rsplit_once(words)?;
    let address = rest.split('"').next().unwrap_or_default();
    Some(address.parse().expect("an address"))
}

impl Proxy {
    /// A proxy that is up with these backends.
    pub fn start(name: &str, discovery: &Discovery, members: &[Value]) -> Self {
        let proxy = Self::start_bare(name, discovery);
        discovery.post(true, members);
        proxy
    }

    /// A proxy that has no endpoint list yet.
    pub fn start_bare(name: &str, discovery: &Discovery) -> Self {
        Self::start_with(name, config(name, discovery))
    }

    /// A proxy with this configuration.
    pub fn start_with(name: &str, config: Value) -> Self {
        Self::follow(name, launch(name, &config.to_string()))
    }

    /// A proxy with this configuration, whose process may have this many descriptors.
    pub fn start_limited(name: &str, config: &Value, descriptors: usize) -> Self {
        let program = command(name, &config.to_string());
        let mut limited = Command::new("sh");
        limited.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\"")]);
        limited
            .arg(program.get_program())
            .envs(program.get_envs().filter_map(|(k, v)| Some((k, v?))));
        Self::follow(
            name,
            limited
                .stderr(Stdio::piped())
                .spawn()
                .expect("the program starts"),
        )
    }

    /// A proxy that was started: its addresses are in its log.
    pub fn follow(name: &str, mut child: Child) -> Self {
        let log = BufReader::new(child.stderr.take().expect("standard error"));
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        // From here on the process ends with the test, also where the log is not what is wanted.
        let mut proxy = Self {
            child,
            address: unknown,
            operator: None,
            name: name.into(),
            log,
        };
        let mut line = String::new();
        while proxy.address == unknown {
            line.clear();
            assert_ne!(
                proxy.log.read_line(&mut line).expect("a log"),
                0,
                "the proxy ended before it listened"
            );
            proxy.operator = address_behind(&line, "operators call ").or(proxy.operator);
            proxy.address = address_behind(&line, "listens on ").unwrap_or(proxy.address);
        }
        proxy
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the proxy accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        Client {
            reader: BufReader::new(stream.try_clone().expect("a clone")),
            stream,
        }
    }

    /// A connection to the operators' address.
    pub fn caller(&self) -> Client {
        let stream =
            TcpStream::connect(self.operator.expect("an operators' address")).expect("it accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        Client {
            reader: BufReader::new(stream.try_clone().expect("a clone")),
            stream,
        }
    }

    /// One call of an operator.
    pub fn call(&self, method: &str, path: &str) -> Message {
        self.caller()
            .ask(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// Returns the metric of that name and labels.
    pub fn figure(&self, name: &str) -> u64 {
        let text = String::from_utf8(self.call("GET", "/control/counters").body).expect("text");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value
            .unwrap_or_else(|| panic!("no {name} in {text}"))
            .parse()
            .expect("a number")
    }

    /// Returns the peak of its memory, in kB.
    pub fn peak_memory(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a status");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("a peak");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }

    fn signal(&self, signal: &str) {
        let done = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
        assert!(done.expect("kill runs").success());
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process, as a machine without a free core does.
    pub fn halt(&self) {
        self.signal("-STOP");
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration's file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        fs::write(config_path(&self.name), config).expect("the configuration is written");
        self.signal("-HUP");
    }

    /// Waits for a line of the log that holds these words.
    pub fn wait_for_log(&mut self, words: &str) {
        let mut line = String::new();
        while !line.contains(words) {
            line.clear();
            assert_ne!(
                self.log.read_line(&mut line).expect("a log"),
                0,
                "the proxy ended"
            );
        }
    }

    /// Returns what it still logs until it ends.
    pub fn rest_of_log(&mut self) -> String {
        let mut text = String::new();
        self.log.read_to_string(&mut text).expect("a log");
        text
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the proxy ends")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

/// A request of a class as clients send it. `id` is also its key.
pub fn request(class: &str, id: &str, body: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "submit" {
        format!("Idempotency-Key: {id}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} /{class}?key=7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: 15000\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Client {
    pub fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the proxy reads");
    }

    pub fn receive(&mut self) -> Message {
        read_message(&mut self.reader).expect("a whole answer")
    }

    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.receive()
    }

    /// Returns whether the proxy closes the connection without a reset and without a further byte.
    pub fn ends_cleanly(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 64]), Ok(0))
    }
}
