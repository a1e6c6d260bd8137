//! A stand-in for a backend: it answers by a script and reports the requests that it receives.

use super::TEST_TIMEOUT;
use super::message::{Message, read_message, response};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fs, thread};

/// What a backend does with a request.
pub enum Reply {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Waits for a signal from the test, then executes the reply.
    After(Receiver<()>, Box<Reply>),
    /// Writes these bytes, waits for a signal, then executes the reply.
    Then(Vec<u8>, Receiver<()>, Box<Reply>),
    /// Writes the first bytes, then the second ones again and again with a pause between them.
    Endless(Vec<u8>, Vec<u8>, Duration),
    /// Never answers.
    Hang,
}

/// Replies with status 200 and this body.
pub fn ok(body: &str) -> Reply {
    Reply::Write(response("200 OK", "", body.as_bytes()))
}

type Script = Box<dyn FnMut(&Message) -> Reply + Send>;

/// A backend that answers by its script and sends the test what it received.
pub struct Backend {
    pub address: SocketAddr,
    /// The requests that it receives.
    pub requests: Receiver<Message>,
}

/// Serves one connection until its peer or a reply closes it.
fn serve(
    mut stream: TcpStream,
    connection: usize,
    script: &Mutex<Script>,
    sender: &Sender<Message>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(mut request) = read_message(&mut reader) {
        request.connection = connection;
        let reply = script.lock().expect("a script")(&request);
        let _ = sender.send(request);
        if !execute(reply, &mut stream) {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Executes a reply, and returns whether the connection stays open.
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
    /// Starts a backend whose script is called with each request.
    pub fn start(script: impl FnMut(&Message) -> Reply + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, requests) = channel();
        let script: Arc<Mutex<Script>> = Arc::new(Mutex::new(Box::new(script)));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else {
                    return;
                };
                let sender = sender.clone();
                let script = Arc::clone(&script);
                thread::spawn(move || serve(stream, connection, &script, &sender));
            }
        });
        Self { address, requests }
    }

    /// Returns the next request that it receives.
    pub fn next_request(&self) -> Message {
        self.requests
            .recv_timeout(TEST_TIMEOUT)
            .expect("the backend receives a request")
    }

    /// Returns the number of requests that it has received that the test has not taken.
    pub fn further_requests(&self) -> usize {
        self.requests.try_iter().count()
    }

    /// Waits until no connection to it looks open to its peer's kernel: each close has reached the peer's socket,
    /// whether or not the peer's process has read it.
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

/// Returns a backend that holds its first request until a signal, and answers the later ones at once.
pub fn holds_first_request(first: &'static str, later: &'static str) -> (Backend, Sender<()>) {
    let (release, signal) = channel();
    let mut signal = Some(signal);
    let backend = Backend::start(move |_| match signal.take() {
        Some(signal) => Reply::After(signal, Box::new(ok(first))),
        None => ok(later),
    });
    (backend, release)
}

/// Returns a backend that reports its request, and closes the connection without a response at a signal.
pub fn closes_on_signal() -> (Backend, Sender<()>) {
    let (release, signal) = channel();
    let mut reply = Some(Reply::After(
        signal,
        Box::new(Reply::WriteAndClose(Vec::new())),
    ));
    (
        Backend::start(move |_| reply.take().expect("one request")),
        release,
    )
}
