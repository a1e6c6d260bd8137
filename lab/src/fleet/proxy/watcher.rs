//! The watch of a proxy on discovery.

use crate::fleet::discovery::{Call, CallId, Revision};
use crate::fleet::ids::ProxyIndex;
use crate::units::{MICROS_PER_MILLISECOND, MICROS_PER_SECOND};
use tillerproxy::api::Micros;

// The waits and timeouts of the watcher equal those of the real proxy (`src/proxy/discovery`).

/// Mean wait of a watch.
const MEAN_WATCH_WAIT: Micros = 20 * MICROS_PER_SECOND;
/// The proxies' waits are spread over a range around the mean, which grows by this time for each proxy after the
/// first.
const WATCH_WAIT_RANGE_PER_PROXY: Micros = MICROS_PER_SECOND;
/// Maximum length of this range.
const MAX_WATCH_WAIT_RANGE: Micros = 30 * MICROS_PER_SECOND;
/// Wait of a call that begins a watch.
const FIRST_WATCH_WAIT: Micros = 250 * MICROS_PER_MILLISECOND;
/// Timeout of a call that begins a watch or fetches the full list.
const CALL_TIMEOUT: Micros = 3_500 * MICROS_PER_MILLISECOND;
/// Time past the end of its wait after which a standing watch without a response times out.
const WATCH_GRACE: Micros = 250 * MICROS_PER_MILLISECOND;
/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over 0..1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// A call to discovery that a proxy makes.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall {
    /// The call to send.
    pub call: Call,
    /// Time without a response after which the proxy drops the call.
    pub timeout: Micros,
}

/// The watch of a proxy on discovery, with at most one call at a time. Each response is followed at once by the call
/// that continues the watch. After a failure a new watch begins when the policy subscribes.
#[derive(Clone, Debug)]
pub struct Watcher {
    proxy: ProxyIndex,
    /// Wait of a continued watch.
    wait: Micros,
    /// Revision of the list that the proxy holds; `None` without a list.
    pub revision: Option<Revision>,
    /// Whether the last call succeeded; the next call then continues the watch.
    watching: bool,
    /// Serial number of the pending call.
    pending: Option<u32>,
    /// Serial number of the latest call.
    serial: u32,
}

impl Watcher {
    /// Creates the watcher of one proxy among `proxy_count`, without a list and without a call.
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

    /// Begins or continues the watch and returns the call to send; `None` if a call is pending.
    pub fn subscribe(&mut self) -> Option<OutgoingCall> {
        if self.pending.is_some() {
            return None;
        }
        Some(self.call())
    }

    /// Continues the watch and returns the call to send.
    pub fn continue_watch(&mut self) -> OutgoingCall {
        self.watching = true;
        self.call()
    }

    /// Creates the next call: one that continues the watch, one that begins a watch, or one that fetches the full list.
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

    /// Ends the pending call if it has this serial number, and returns whether it had.
    pub fn complete(&mut self, serial: u32) -> bool {
        let is_pending = self.pending == Some(serial);
        if is_pending {
            self.pending = None;
        }
        is_pending
    }

    /// Records the revision of a response, continues the watch and returns the call to send.
    pub fn on_response(&mut self, revision: Revision) -> OutgoingCall {
        self.revision = Some(revision);
        self.continue_watch()
    }

    /// Records that the call failed or timed out: the next call begins a new watch.
    pub fn on_failure(&mut self) {
        self.watching = false;
    }

    /// Starts again with the cached list. A response to a call of the former incarnation is ignored.
    pub fn restart(&mut self) {
        self.watching = false;
        self.pending = None;
        self.serial += 1;
    }
}

/// Returns the wait of a proxy's watches. Proxies have different waits so that their watches do not all end at once.
fn watch_wait(proxy: ProxyIndex, proxy_count: u32) -> Micros {
    let other_proxies = u64::from(proxy_count.saturating_sub(1));
    let range = (WATCH_WAIT_RANGE_PER_PROXY * other_proxies).min(MAX_WATCH_WAIT_RANGE);
    let position = (f64::from(proxy.0) * GOLDEN_RATIO_FRACTION).fract();
    MEAN_WATCH_WAIT - range / 2 + (range as f64 * position) as Micros
}
