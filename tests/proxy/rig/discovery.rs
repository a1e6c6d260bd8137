//! A stand-in for discovery: it sends the endpoint lists that the test publishes.

use super::TEST_TIMEOUT;
use super::message::{read_message, response};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// An active endpoint as discovery lists it.
pub fn active_endpoint(id: &str, address: SocketAddr) -> Value {
    endpoint(id, address, "active", 0)
}

/// An endpoint as discovery lists it.
pub fn endpoint(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": up_since_ms})
}

struct Published {
    revision: u64,
    list: Option<Value>,
}

/// Discovery that sends the lists that the test publishes, and reports the revision that each call has.
pub struct Discovery {
    pub address: SocketAddr,
    published: Arc<(Mutex<Published>, Condvar)>,
    calls: Receiver<Option<u64>>,
}

/// Answers the calls of one connection, each once a newer revision than the caller's is published.
fn serve_watch(
    mut stream: TcpStream,
    published: &(Mutex<Published>, Condvar),
    sender: &Sender<Option<u64>>,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = read_message(&mut reader)?;
        let after = request.first_line().split_once("after=").map(|(_, rest)| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().expect("a revision")
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
            .write_all(&response("200 OK", "", text.as_bytes()))
            .ok()?;
    }
}

impl Discovery {
    /// Starts discovery that answers no call until a list is published.
    pub fn start() -> Self {
        Self::start_at("127.0.0.1:0")
    }

    /// Starts discovery at this address.
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
                let Ok(stream) = stream else {
                    return;
                };
                let published = Arc::clone(&shared);
                let sender = sender.clone();
                thread::spawn(move || serve_watch(stream, &published, &sender));
            }
        });
        Self {
            address,
            published,
            calls,
        }
    }

    /// Returns the revision that the next call has.
    pub fn next_call(&self) -> Option<u64> {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }

    /// Takes the calls that it has received, and returns their number.
    pub fn take_calls(&self) -> usize {
        self.calls.try_iter().count()
    }

    /// Publishes a list and waits until the proxy has it: it then requests what is newer.
    pub fn publish_and_wait(&self, complete: bool, members: &[Value]) {
        let revision = self.publish(complete, members);
        while self
            .calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("a further watch")
            != Some(revision)
        {}
    }

    /// Publishes a list, and returns its revision.
    pub fn publish(&self, complete: bool, members: &[Value]) -> u64 {
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
