//! A hollow proxy: the policy, what it knows of backends, and how it follows discovery. Everything else of a
//! real proxy is emulated by the simulation.

use super::discovery::{Call, ProxyNumber, Revision};
use super::policy::Policy;
use tillerproxy::api::{Backend, MembershipEvent, Micros, Readiness};

/// The mean wait of a watch, and by how much waits differ, as `src/proxy/discovery.rs` has them.
const WATCH_WAIT: Micros = 20_000_000;
const WAITS_DIFFER: Micros = 1_000_000;
const WAITS_DIFFER_MOST: Micros = 30_000_000;
/// The wait of a call that begins a watch, and how long it may take in all.
const FIRST_WAIT: Micros = 250_000;
const CALL_TIMEOUT: Micros = 3_500_000;
/// How late the answer to a standing watch may be.
const ANSWER_LATENESS: Micros = 250_000;
/// The golden ratio's fraction spreads the proxies' waits evenly.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// What a proxy knows of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownBackend {
    /// Whether it may be sent to.
    pub readiness: Readiness,
    /// When its process last started.
    pub started: Option<Micros>,
    /// Since when the proxy has known that it drains or is gone.
    pub barred_at: Option<Micros>,
}

impl Default for KnownBackend {
    fn default() -> Self {
        Self {
            readiness: Readiness::Removed,
            started: None,
            barred_at: None,
        }
    }
}

/// A call to discovery that a proxy makes.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall {
    /// The call.
    pub call: Call,
    /// After how long without an answer the proxy drops it.
    pub timeout: Micros,
}

/// How a proxy follows discovery, as `src/proxy/discovery.rs` does: one call at a time; a watch is continued
/// at once after each answer, and begun anew when the policy asks for it after a failure.
#[derive(Clone, Debug)]
pub struct Watcher {
    proxy: ProxyNumber,
    wait: Micros,
    /// The revision of the list that is held.
    pub revision: Option<Revision>,
    /// The last call brought an answer, so the next one continues the watch.
    watching: bool,
    /// The number of the call that is out, if one is.
    out: Option<u32>,
    serial: u32,
}

impl Watcher {
    /// The watcher of one proxy among so many.
    #[must_use]
    pub fn new(proxy: ProxyNumber, proxies: u32) -> Self {
        let span = (WAITS_DIFFER * u64::from(proxies.saturating_sub(1))).min(WAITS_DIFFER_MOST);
        let place = (f64::from(proxy) * GOLDEN).fract();
        let wait = WATCH_WAIT - span / 2 + (span as f64 * place) as Micros;
        Self {
            proxy,
            wait,
            revision: None,
            watching: false,
            out: None,
            serial: 0,
        }
    }

    /// The policy asks for changes; nothing happens while a call is out.
    pub fn subscribe(&mut self) -> Option<OutgoingCall> {
        if self.out.is_some() {
            None
        } else {
            Some(self.call())
        }
    }

    /// The proxy has held a watch for long: it continues it.
    pub fn continue_watch(&mut self) -> OutgoingCall {
        self.watching = true;
        self.call()
    }

    fn call(&mut self) -> OutgoingCall {
        self.serial += 1;
        self.out = Some(self.serial);
        let continues = self.watching && self.revision.is_some();
        let (wait, timeout) = match (self.revision, continues) {
            (None, _) => (0, CALL_TIMEOUT),
            (Some(_), true) => (self.wait, self.wait + ANSWER_LATENESS),
            (Some(_), false) => (FIRST_WAIT, CALL_TIMEOUT),
        };
        let call = Call {
            proxy: self.proxy,
            serial: self.serial,
            after: self.revision,
            wait,
            continues,
        };
        OutgoingCall { call, timeout }
    }

    /// Whether an answer is that of the call which is out; if so, no call is out any more.
    pub fn take_answer(&mut self, serial: u32) -> bool {
        let awaited = self.out == Some(serial);
        if awaited {
            self.out = None;
        }
        awaited
    }

    /// An answer brought the list up to a revision: the watch goes on.
    pub fn answered(&mut self, revision: Revision) -> OutgoingCall {
        self.revision = Some(revision);
        self.continue_watch()
    }

    /// The call failed or its answer did not come.
    pub fn failed(&mut self) {
        self.watching = false;
    }

    /// The process starts anew and holds the list that it held; calls of its former life are void.
    pub fn restart(&mut self) {
        (self.watching, self.out) = (false, None);
        self.serial += 1;
    }
}

/// Whether a proxy takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyLife {
    /// It runs.
    Up,
    /// Its process is dead: connections are refused.
    Dead,
    /// Its machine is gone: nothing answers.
    Vanished,
}

/// One proxy of the fleet.
pub struct HollowProxy {
    /// Its zone.
    pub zone: u16,
    /// Whether it runs.
    pub life: ProxyLife,
    /// How often it has started; what belongs to an earlier life is void.
    pub incarnation: u32,
    /// Its decisions.
    pub policy: Box<dyn Policy>,
    /// How it follows discovery.
    pub watcher: Watcher,
    /// What it knows of each backend.
    pub known: Vec<KnownBackend>,
}

impl HollowProxy {
    /// Keeps what a list tells.
    pub fn learn(&mut self, now: Micros, complete: bool, entries: &[Backend]) {
        if complete {
            let absent = |known: &mut KnownBackend| {
                known.readiness = Readiness::Removed;
            };
            self.known.iter_mut().for_each(absent);
        }
        for entry in entries {
            let known = &mut self.known[entry.id as usize];
            (known.readiness, known.started) = (entry.readiness, entry.started_at);
        }
        let bar = |known: &mut KnownBackend| {
            let ready = known.readiness == Readiness::Ready;
            known.barred_at = if ready {
                None
            } else {
                known.barred_at.or(Some(now))
            };
        };
        if complete {
            self.known.iter_mut().for_each(bar);
        } else {
            entries
                .iter()
                .for_each(|entry| bar(&mut self.known[entry.id as usize]));
        }
    }

    /// The list that it holds, as a process that starts anew finds it.
    #[must_use]
    pub fn known_list(&self, published: &[Backend]) -> Vec<Backend> {
        let listed = published
            .iter()
            .zip(&self.known)
            .filter(|(_, known)| known.readiness != Readiness::Removed);
        listed
            .map(|(entry, known)| Backend {
                readiness: known.readiness,
                started_at: known.started,
                ..*entry
            })
            .collect()
    }
}

/// A list in the policy's terms.
#[must_use]
pub fn membership(complete: bool, entries: &[Backend]) -> MembershipEvent<'_> {
    if complete {
        MembershipEvent::Full(entries)
    } else {
        MembershipEvent::Delta(entries)
    }
}
