//! How a proxy watches discovery.

use crate::fleet::discovery::{Call, CallId, Revision};
use crate::fleet::ids::ProxyIndex;
use crate::units::{MICROS_PER_MILLISECOND, MICROS_PER_SECOND};
use tillerproxy::api::Micros;

// The times are those of the proxy (`src/proxy/discovery`).

/// Mean wait of a watch.
const MEAN_WATCH_WAIT: Micros = 20 * MICROS_PER_SECOND;
/// The range of the waits grows by this much with each proxy ...
const WATCH_WAIT_RANGE_PER_PROXY: Micros = MICROS_PER_SECOND;
/// ... up to this much.
const MAX_WATCH_WAIT_RANGE: Micros = 30 * MICROS_PER_SECOND;
/// Wait of a call that begins a watch.
const FIRST_WATCH_WAIT: Micros = 250 * MICROS_PER_MILLISECOND;
/// Timeout of a call that begins a watch or fetches the full list.
const CALL_TIMEOUT: Micros = 3_500 * MICROS_PER_MILLISECOND;
/// How late the response to a standing watch may be.
const WATCH_GRACE: Micros = 250 * MICROS_PER_MILLISECOND;
/// The fraction of the golden ratio: its multiples fill 0..1 evenly.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// A call to discovery that a proxy makes.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall {
    /// The call.
    pub call: Call,
    /// The proxy drops the call after this time without a response.
    pub timeout: Micros,
}

/// The watch of a proxy: one call at a time. A watch is continued at once after each response, and begun again
/// when the policy subscribes after a failure.
#[derive(Clone, Debug)]
pub struct Watcher {
    proxy: ProxyIndex,
    /// Wait of a continued watch.
    wait: Micros,
    /// The revision of the list that the proxy holds.
    pub revision: Option<Revision>,
    /// Whether the last call succeeded, so that the next one continues the watch.
    watching: bool,
    /// The serial number of the pending call.
    pending: Option<u32>,
    /// The serial number of the latest call.
    serial: u32,
}

impl Watcher {
    /// Creates the watcher of one proxy among `proxy_count`.
    #[must_use]
    pub fn new(proxy: ProxyIndex, proxy_count: u32) -> Self {
        Self {
            proxy,
            wait: watch_wait(proxy, proxy_count),
            revision: None,
            watching: false,
            pending: None,
            serial: 0,
        }
    }

    /// Begins or continues a watch; `None` while a call is pending.
    pub fn subscribe(&mut self) -> Option<OutgoingCall> {
        if self.pending.is_some() {
            return None;
        }
        Some(self.call())
    }

    /// Continues the watch.
    pub fn continue_watch(&mut self) -> OutgoingCall {
        self.watching = true;
        self.call()
    }

    fn call(&mut self) -> OutgoingCall {
        self.serial += 1;
        self.pending = Some(self.serial);
        let continues_watch = self.watching && self.revision.is_some();
        let (wait, timeout) = if continues_watch {
            (self.wait, self.wait + WATCH_GRACE)
        } else if self.revision.is_some() {
            (FIRST_WATCH_WAIT, CALL_TIMEOUT)
        } else {
            (0, CALL_TIMEOUT)
        };
        let call = Call {
            id: CallId {
                proxy: self.proxy,
                serial: self.serial,
            },
            known_revision: self.revision,
            wait,
            continues_watch,
        };
        OutgoingCall { call, timeout }
    }

    /// Ends the pending call if it has this serial number; returns whether it has.
    pub fn complete(&mut self, serial: u32) -> bool {
        let is_pending = self.pending == Some(serial);
        if is_pending {
            self.pending = None;
        }
        is_pending
    }

    /// Takes the revision of a response and continues the watch.
    pub fn on_response(&mut self, revision: Revision) -> OutgoingCall {
        self.revision = Some(revision);
        self.continue_watch()
    }

    /// Notes that the call failed or timed out.
    pub fn on_failure(&mut self) {
        self.watching = false;
    }

    /// Starts again with the cached list; a call of the former incarnation is void.
    pub fn restart(&mut self) {
        self.watching = false;
        self.pending = None;
        self.serial += 1;
    }
}

/// Returns the wait of a proxy's watches: different for each, so that they do not end together.
fn watch_wait(proxy: ProxyIndex, proxy_count: u32) -> Micros {
    let other_proxies = u64::from(proxy_count.saturating_sub(1));
    let range = (WATCH_WAIT_RANGE_PER_PROXY * other_proxies).min(MAX_WATCH_WAIT_RANGE);
    let position = (f64::from(proxy.0) * GOLDEN_RATIO_FRACTION).fract();
    MEAN_WATCH_WAIT - range / 2 + (range as f64 * position) as Micros
}
