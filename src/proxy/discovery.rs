//! Discovery: the whole list, then a watch for changes; names to numbers.

use super::clock::Clock;
use super::config::Names;
use super::connect;
use super::lifecycle::Lifecycle;
use super::messages::{Handle, Listed, Message, Scope};
use crate::api::{Backend, BackendId, Cell, MachineType, Readiness, Zone};
use crate::spread::golden_ratio_position;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// How long a watch may wait. An agent on this machine costs nothing to ask: a short wait bounds how long a
/// broken call goes unnoticed.
const PUSHED_WAIT: Duration = Duration::from_secs(3);
/// A service that all proxies share is asked more seldom: this is the mean of their waits. Watches that begin
/// together, as all do at a change, must not end together, for fallen silent they would all come back at once: waits
/// differ by this much for each proxy, and by so much at the most.
const ASKED_WAIT: Duration = Duration::from_secs(20);
const WAITS_DIFFER: Duration = Duration::from_secs(1);
const WAITS_DIFFER_MOST: Duration = Duration::from_secs(30);
/// The wait of a call that begins a watch: it may have to wait for its turn as well, and what has changed is told at once.
const FIRST_WAIT: Duration = Duration::from_millis(250);
/// How long a call that may have to wait for its turn takes in all. Discovery ends those that have waited too long
/// itself; one that is dropped here still takes its turn there, and so would the next. What a call misses that has
/// fallen silent counts as told after six seconds, and four seconds after the signal what a new discovery has to tell:
/// by then it has to be made again, and to have had its turn.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// How late the answer to a standing watch may be, which waits for no turn and was seen to come within a millisecond.
/// What it misses counts as told two seconds after its wait: most of them are for the turn of the call that opens it anew.
const SILENT_AFTER: Duration = Duration::from_millis(250);
/// How long after a failed call an agent is asked again. What it hears at the return of discovery counts as told at
/// once, so this has to be short beside the grace for drains, which some settings put at a quarter of a second.
const AGENT_BACKOFF: Duration = Duration::from_millis(100);
/// The largest list; thousands of entries fit in.
const LIST_CAP: usize = 4 << 20;

/// How discovery is called where it is one service for all proxies.
#[derive(Debug)]
pub struct Asked {
    /// The module's calls for changes.
    pub calls: mpsc::UnboundedReceiver<()>,
    /// How long a watch waits that is continued.
    pub wait: Duration,
}

impl Asked {
    /// For the proxy of that number, among so many.
    #[must_use]
    pub fn new(calls: mpsc::UnboundedReceiver<()>, me: u32, proxies: u32) -> Self {
        let span = (WAITS_DIFFER * proxies.saturating_sub(1)).min(WAITS_DIFFER_MOST);
        let place = golden_ratio_position(me);
        Self {
            calls,
            wait: ASKED_WAIT - span / 2 + span.mul_f64(place),
        }
    }
}

/// Why a call to discovery brought nothing.
#[derive(Debug)]
pub enum DiscoveryError {
    /// No connection, or it broke.
    Connection,
    /// Nothing came in time.
    Timeout,
    /// An answer other than 200.
    Status(StatusCode),
    /// Not the JSON that is wanted.
    Malformed(serde_json::Error),
    /// Older than what is held.
    Older,
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection => write!(f, "the connection failed"),
            Self::Timeout => write!(f, "no answer in time"),
            Self::Status(status) => write!(f, "answered {status}"),
            Self::Malformed(error) => write!(f, "malformed list: {error}"),
            Self::Older => write!(f, "the answer is older than what is held"),
        }
    }
}

impl std::error::Error for DiscoveryError {}

/// A list as it comes. Its members are read one by one, so that one that makes no sense spoils no other.
#[derive(Deserialize)]
struct RawList<'a> {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default, borrow)]
    members: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawMember<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    host_port: Cow<'a, str>,
    #[serde(borrow)]
    locality: Cow<'a, str>,
    #[serde(default, borrow)]
    flavor: Cow<'a, str>,
    #[serde(default)]
    cell: u16,
    #[serde(borrow)]
    phase: Cow<'a, str>,
    #[serde(default)]
    up_since_ms: u64,
}

/// A list in the module's terms.
#[derive(Debug)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it names all backends.
    pub complete: bool,
    /// The entries that make sense.
    pub entries: Vec<Listed>,
}

/// Translates discovery's names.
pub struct Translator {
    clock: Clock,
    zones: FxHashMap<String, u16>,
    kinds: FxHashMap<String, u8>,
    numbers: FxHashMap<String, BackendId>,
    taken: FxHashSet<BackendId>,
    starts: FxHashMap<BackendId, (u64, Option<u64>)>,
}

impl Translator {
    /// A translator that knows no backends yet.
    #[must_use]
    pub fn new(clock: Clock, names: &Names) -> Self {
        let zones = names.zones.iter().cloned().zip(0..).collect();
        let kinds = names.kinds.iter().cloned().zip(0..=u8::MAX).collect();
        Self {
            clock,
            zones,
            kinds,
            numbers: FxHashMap::default(),
            taken: FxHashSet::default(),
            starts: FxHashMap::default(),
        }
    }

    /// Reads the JSON text of an answer. Entries that make no sense are logged and passed over.
    ///
    /// # Errors
    /// [`DiscoveryError::Malformed`] where the text is no JSON or the list as a whole is not what is wanted.
    pub fn parse(&mut self, body: &[u8]) -> Result<List, DiscoveryError> {
        let raw: RawList = serde_json::from_slice(body).map_err(DiscoveryError::Malformed)?;
        let mut entries = Vec::with_capacity(raw.members.len());
        let mut gone = Vec::new();
        for member in raw.members {
            match self.member(member) {
                Ok((listed, name)) => {
                    if listed.backend.readiness == Readiness::Removed {
                        gone.push(name);
                    }
                    entries.push(listed);
                }
                Err(problem) => tracing::warn!("passing over an entry of the list: {problem}"),
            }
        }
        let list = List {
            revision: raw.revision,
            complete: raw.complete,
            entries,
        };
        self.forget_gone(&list, &gone);
        Ok(list)
    }

    /// Reads a list that was parsed, as [`Translator::parse`] reads one as text.
    ///
    /// # Errors
    /// Where the list as a whole is not what is wanted.
    pub fn list(&mut self, json: &Value) -> Result<List, DiscoveryError> {
        self.parse(json.to_string().as_bytes())
    }

    /// Where every backend has a new name, those that are gone must not pile up. A list of changes costs by what it
    /// names.
    fn forget_gone(&mut self, list: &List, gone: &[Cow<'_, str>]) {
        if !list.complete && gone.is_empty() {
            return;
        }
        let stays = list
            .entries
            .iter()
            .filter(|entry| entry.backend.readiness != Readiness::Removed);
        let stays: FxHashSet<BackendId> = stays.map(|entry| entry.backend.id).collect();
        if list.complete {
            self.numbers.retain(|_, id| stays.contains(id));
            self.taken.retain(|id| stays.contains(id));
            self.starts.retain(|id, _| stays.contains(id));
            return;
        }
        for name in gone {
            if let Some(id) = self
                .numbers
                .get(name.as_ref())
                .copied()
                .filter(|id| !stays.contains(id))
            {
                self.numbers.remove(name.as_ref());
                self.taken.remove(&id);
                self.starts.remove(&id);
            }
        }
    }

    /// Reads an entry; its name comes along.
    fn member<'a>(&mut self, member: &'a RawValue) -> Result<(Listed, Cow<'a, str>), String> {
        let raw: RawMember<'a> = serde_json::from_str(member.get()).map_err(|e| e.to_string())?;
        let address = raw.host_port.parse();
        let address = address.map_err(|_| format!("`{}` is no address", raw.host_port))?;
        let readiness = match raw.phase.as_ref() {
            "active" => Readiness::Ready,
            "leaving" => Readiness::Draining,
            "left" => Readiness::Removed,
            other => return Err(format!("unknown phase `{other}`")),
        };
        let zone = self.zones.get(raw.locality.as_ref()).copied();
        let zone = zone.ok_or_else(|| format!("unknown locality `{}`", raw.locality))?;
        // A kind that the settings don't name can still be sent to.
        let kind = self.kinds.get(raw.flavor.as_ref()).copied().unwrap_or(0);
        let id = self.number(&raw.id);
        let started = self.started(id, raw.up_since_ms);
        let backend = Backend {
            id,
            zone: Zone(zone),
            machine_type: MachineType(kind),
            cell: Cell(raw.cell),
            readiness,
            started_at: started,
        };
        Ok((Listed { backend, address }, raw.id))
    }

    /// A backend's number, the same at every proxy: the hash of its name. Two names that share a hash (one in
    /// millions) are told apart by order, which costs nothing but that sameness.
    fn number(&mut self, name: &str) -> BackendId {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let mut number = fnv(name.as_bytes());
        while !self.taken.insert(number) {
            number = number.wrapping_add(1);
        }
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// When it started on this proxy's clock. The same start keeps the time first worked out: a start ahead of
    /// the clock, which counts as now, must not look like a new one on each list.
    fn started(&mut self, id: BackendId, unix_ms: u64) -> Option<u64> {
        if let Some(&(told, started)) = self.starts.get(&id)
            && told == unix_ms
        {
            return started;
        }
        let started = self.clock.started(unix_ms);
        self.starts.insert(id, (unix_ms, started));
        started
    }
}

/// FNV-1a, 32 bits: stable from one build and machine to the next.
fn fnv(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, &byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

struct Conn {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Follows discovery.
pub struct Watcher {
    /// Where discovery is, which a new configuration may change while the proxy runs.
    addresses: watch::Receiver<SocketAddr>,
    translator: Translator,
    handle: Handle,
    /// Told once a list is held.
    lifecycle: Rc<Lifecycle>,
    /// Where discovery has to be asked, how.
    asked: Option<Asked>,
    conn: Option<Conn>,
    /// The version of the list that is held; a watch asks for what is newer.
    revision: Option<u64>,
    /// The last call brought an answer, so the next one continues the watch.
    watching: bool,
    /// Discovery is at a new address: it is called without the module's asking.
    moved: bool,
    /// The list of the configuration can be served from.
    fallback: bool,
}

impl Watcher {
    /// A watcher that has made no call. With `asked` it begins a watch only when told to, otherwise by itself.
    #[must_use]
    pub fn new(
        addresses: watch::Receiver<SocketAddr>,
        translator: Translator,
        handle: Handle,
        lifecycle: Rc<Lifecycle>,
        asked: Option<Asked>,
    ) -> Self {
        Self {
            addresses,
            translator,
            handle,
            lifecycle,
            asked,
            conn: None,
            revision: None,
            watching: false,
            moved: false,
            fallback: false,
        }
    }

    /// Hands on the list that the configuration holds. It may be old, but it can be served from, and the first call
    /// asks for what is newer: where all proxies start at once, that costs discovery one call each and few lines.
    pub fn start_from(&mut self, known: Value) {
        let (revision, entries) = self.translator.list(&known).map_or_else(
            |error| {
                tracing::warn!("`known`: {error}");
                (None, Vec::new())
            },
            |list| (list.complete.then_some(list.revision), list.entries),
        );
        self.fallback = entries
            .iter()
            .any(|e| e.backend.readiness == Readiness::Ready);
        self.revision = revision.filter(|_| self.fallback);
        if self.fallback {
            self.lifecycle.can_serve();
        }
        // Also where nothing is known: the module asks for changes when it is told so.
        self.handle.tell(Message::Listed(Scope::Cached, entries));
    }

    /// Follows discovery for as long as the proxy runs, at whatever address it is.
    pub async fn run(mut self) {
        let mut addresses = self.addresses.clone();
        addresses.mark_unchanged();
        loop {
            tokio::select! {
                () = self.follow() => return,
                Ok(()) = addresses.changed() => self.leave(),
            }
        }
    }

    /// Discovery has moved. The watch ends at once, for the old service is about to close it, and versions are
    /// each service's own: one taken along would make the new service leave out what this proxy lacks. The list
    /// that is held serves on until the new one has come.
    fn leave(&mut self) {
        (self.conn, self.revision, self.watching, self.moved) = (None, None, false, true);
    }

    /// Follows discovery where it is now. Ends with the process.
    async fn follow(&mut self) {
        let mut failed = false;
        loop {
            if !self.watching && !std::mem::take(&mut self.moved) {
                self.wait_for_call().await;
            }
            match self.call().await {
                Ok(list) => {
                    failed = false;
                    self.watching = true;
                    self.pass_on(list);
                }
                Err(error) => {
                    if !failed {
                        tracing::warn!("discovery: {error}");
                    }
                    failed = true;
                    (self.conn, self.watching) = (None, false);
                    self.after_failure(&error).await;
                }
            }
        }
    }

    async fn wait_for_call(&mut self) {
        if let Some(asked) = &mut self.asked {
            // The driver ends only with the process.
            if asked.calls.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
            while asked.calls.try_recv().is_ok() {}
        }
    }

    fn pass_on(&mut self, list: List) {
        self.revision = Some(list.revision);
        self.lifecycle.can_serve();
        if list.complete {
            self.handle.tell(Message::Listed(Scope::Full, list.entries));
        } else if !list.entries.is_empty() {
            self.handle
                .tell(Message::Listed(Scope::Delta, list.entries));
        }
    }

    /// The module decides when a service is asked again; an agent is asked again soon.
    async fn after_failure(&mut self, error: &DiscoveryError) {
        // Without discovery an old list is better than none.
        if self.fallback {
            self.lifecycle.can_serve();
        }
        if let Some(asked) = &mut self.asked {
            // What the module asked for while the watch stood is done.
            while asked.calls.try_recv().is_ok() {}
            let silent = matches!(error, DiscoveryError::Timeout);
            let scope = if silent { Scope::Silent } else { Scope::Failed };
            return self.handle.tell(Message::Listed(scope, Vec::new()));
        }
        sleep(AGENT_BACKOFF).await;
    }

    /// How long a watch is asked to wait now, and how long its answer may take.
    fn patience(&self) -> (Duration, Duration) {
        match &self.asked {
            None => (PUSHED_WAIT, PUSHED_WAIT + SILENT_AFTER),
            Some(asked) if self.watching => (asked.wait, asked.wait + SILENT_AFTER),
            Some(_) => (FIRST_WAIT, CALL_TIMEOUT),
        }
    }

    async fn call(&mut self) -> Result<List, DiscoveryError> {
        let (target, limit) = match self.revision {
            None => ("/discovery/hosts".to_owned(), CALL_TIMEOUT),
            Some(after) => {
                let (wait, limit) = self.patience();
                (
                    format!(
                        "/discovery/hosts?after={after}&wait_ms={}",
                        wait.as_millis()
                    ),
                    limit,
                )
            }
        };
        let body = timeout(limit, self.fetch(&target))
            .await
            .map_err(|_| DiscoveryError::Timeout)??;
        let list = self.translator.parse(&body)?;
        match self.revision {
            // Versions that begin anew are another service's: the next call asks for the whole list.
            Some(held) if list.revision < held => {
                self.revision = None;
                Err(DiscoveryError::Older)
            }
            _ => Ok(list),
        }
    }

    async fn fetch(&mut self, target: &str) -> Result<Bytes, DiscoveryError> {
        let address = *self.addresses.borrow();
        let mut kept = self.conn.take();
        if let Some(conn) = &mut kept
            && conn.sender.ready().await.is_err()
        {
            kept = None;
        }
        let mut conn = match kept {
            Some(conn) => conn,
            None => dial(address).await.ok_or(DiscoveryError::Connection)?,
        };
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = target.parse::<Uri>().unwrap_or_default();
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let sent = conn.sender.send_request(request).await;
        let response = sent.map_err(|_| DiscoveryError::Connection)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), LIST_CAP).collect().await;
        let body = body.map_err(|_| DiscoveryError::Connection)?.to_bytes();
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        self.conn = Some(conn);
        Ok(body)
    }
}

async fn dial(address: SocketAddr) -> Option<Conn> {
    let stream = connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Some(Conn { sender, task })
}

#[cfg(test)]
mod tests;
