//! Discovery of the test: it answers calls with the endpoint lists that the test publishes.

use super::TEST_TIMEOUT;
use super::bind_listener;
use super::message::{read_message, response};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// Returns an active endpoint as discovery lists it.
pub fn active_endpoint(id: &str, address: SocketAddr) -> Value {
    endpoint(id, address, "active", 0)
}

/// Returns an endpoint as discovery lists it.
pub fn endpoint(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": up_since_ms})
}

/// The endpoint list that discovery answers with, `None` before the first one.
struct Published {
    revision: u64,
    list: Option<Value>,
}

/// Discovery that answers with the published list, and passes the revision that each call names to the test.
pub struct Discovery {
    pub address: SocketAddr,
    published: Arc<(Mutex<Published>, Condvar)>,
    calls: Receiver<Option<u64>>,
}

/// Answers the calls of one connection, each as soon as another revision than the caller's is published. Returns `None`
/// at the end of the connection.
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
            digits
                .parse::<u64>()
                .expect("a call names its revision as a number")
        });
        sender.send(after).ok()?;
        let (lock, changed) = published;
        let mut published = lock
            .lock()
            .expect("no thread has panicked while it held the lock of the list");
        while published.list.is_none() || after == Some(published.revision) {
            published = changed
                .wait(published)
                .expect("no thread has panicked while it held the lock of the list");
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
        let (listener, address) = bind_listener(address);
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

    /// Waits for the next call and returns the revision that it names.
    pub fn next_call(&self) -> Option<u64> {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("the proxy calls discovery")
    }

    /// Takes the received calls that the test has not taken yet, and returns their number.
    pub fn take_calls(&self) -> usize {
        self.calls.try_iter().count()
    }

    /// Publishes a list and waits until the proxy has applied it: its next call then names the revision.
    pub fn publish_and_wait(&self, complete: bool, endpoints: &[Value]) {
        let revision = self.publish(complete, endpoints);
        while self
            .calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("the proxy continues its watch")
            != Some(revision)
        {}
    }

    /// Publishes a list and returns its revision.
    pub fn publish(&self, complete: bool, endpoints: &[Value]) -> u64 {
        let (lock, changed) = &*self.published;
        let mut published = lock
            .lock()
            .expect("no thread has panicked while it held the lock of the list");
        published.revision += 1;
        let revision = published.revision;
        published.list =
            Some(json!({"revision": revision, "complete": complete, "members": endpoints}));
        drop(published);
        changed.notify_all();
        revision
    }
}
