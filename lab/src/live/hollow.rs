//! Hollow proxies: tasks that speak the discovery protocol as the real program does, and serve nobody.
//!
//! They follow the schedule of `tillerproxy::proxy::discovery` (waits, time-outs, continued watches); when a call
//! is made again the decision module itself says. Of an answer they read only the revision.

use super::counted::{CountedStream, Side, Traffic};
use super::scenario::DiscoveryMode;
use super::spread::SpreadTracker;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tillerproxy::api::{Action, Event, MembershipEvent, Settings, SettingsError};
use tillerproxy::balancer::Balancer;
use tillerproxy::proxy::discovery::{CallTiming, PUSHED_RETRY_DELAY, polled_long_poll_timeout};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Bytes of an answer in which its revision is looked for.
const REVISION_WITHIN: usize = 64;

/// What a hollow proxy is told at its start.
#[derive(Clone, Debug)]
pub struct HollowSettings {
    /// The settings of its decision module; `me` is also its number in the spread tracker.
    pub settings: Settings,
    /// The revision of the list that it starts with.
    pub revision: Option<u64>,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// Why a call brought nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallError {
    /// It failed.
    Failed,
    /// Nothing came in time.
    Unresponsive,
}

/// When calls are made: the decision module, which holds no backends here, says when discovery is asked.
pub struct CallSchedule {
    balancer: Balancer,
    mode: DiscoveryMode,
    /// The long-poll timeout of a continued watch in mode `ask`.
    long_poll_timeout: Duration,
}

impl CallSchedule {
    /// The schedule of a proxy that has made no call.
    ///
    /// # Errors
    /// The first of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let long_poll_timeout =
            polled_long_poll_timeout(settings.proxy_index, settings.proxy_count);
        let mode = if settings.discovery_mode == tillerproxy::api::DiscoveryMode::Polled {
            DiscoveryMode::Ask
        } else {
            DiscoveryMode::Push
        };
        Ok(Self {
            balancer: Balancer::new(settings, seed, 0)?,
            mode,
            long_poll_timeout,
        })
    }

    /// Time from the start to the first call.
    pub fn first(&mut self) -> Duration {
        match self.mode {
            DiscoveryMode::Push => Duration::ZERO,
            DiscoveryMode::Ask => self.tell(MembershipEvent::Cached(&[])),
        }
    }

    /// Time from a call that failed to the next one.
    pub fn after_failure(&mut self) -> Duration {
        match self.mode {
            DiscoveryMode::Push => PUSHED_RETRY_DELAY,
            DiscoveryMode::Ask => self.tell(MembershipEvent::WatchFailed),
        }
    }

    /// A call brought an answer.
    pub fn succeeded(&mut self) {
        self.tell(MembershipEvent::Delta(&[]));
    }

    /// Tells the decision module of a call, and returns how long it waits ahead of the next one.
    fn tell(&mut self, news: MembershipEvent<'_>) -> Duration {
        let mut actions = Vec::new();
        self.balancer
            .handle(0, Event::Membership(news), &mut actions);
        let pauses = actions.iter().filter_map(|action| match action {
            Action::SetTimer { after, .. } => Some(Duration::from_micros(*after)),
            _ => None,
        });
        pauses.max().unwrap_or_default()
    }

    /// Returns the times of a call that watches for changes.
    #[must_use]
    pub fn watch(&self, is_continued: bool) -> CallTiming {
        match self.mode {
            DiscoveryMode::Push => CallTiming::PUSHED,
            DiscoveryMode::Ask if is_continued => CallTiming::continued(self.long_poll_timeout),
            DiscoveryMode::Ask => CallTiming::OPENING,
        }
    }
}

/// A connection to discovery.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One hollow proxy.
pub struct HollowProxy {
    me: usize,
    addresses: watch::Receiver<SocketAddr>,
    traffic: Arc<Traffic>,
    tracker: Arc<SpreadTracker>,
    schedule: CallSchedule,
    connection: Option<Connection>,
    revision: Option<u64>,
    is_watching: bool,
}

impl HollowProxy {
    /// A proxy that has made no call. `addresses` tells where discovery is.
    ///
    /// # Errors
    /// The first of its settings that makes no sense.
    pub fn new(
        settings: HollowSettings,
        addresses: watch::Receiver<SocketAddr>,
        traffic: Arc<Traffic>,
        tracker: Arc<SpreadTracker>,
    ) -> Result<Self, SettingsError> {
        let HollowSettings {
            settings,
            revision,
            seed,
        } = settings;
        let me = settings.proxy_index as usize;
        let schedule = CallSchedule::new(settings, seed)?;
        let (connection, is_watching) = (None, false);
        Ok(Self {
            me,
            addresses,
            traffic,
            tracker,
            schedule,
            connection,
            revision,
            is_watching,
        })
    }

    /// Follows discovery until the task is aborted.
    pub async fn run(mut self) {
        if let Some(revision) = self.revision {
            self.tracker.holds(self.me, revision);
        }
        let mut addresses = self.addresses.clone();
        addresses.mark_unchanged();
        let mut pause = self.schedule.first();
        loop {
            tokio::select! {
                () = self.follow(pause) => {}
                moved = addresses.changed() => {
                    if moved.is_err() {
                        return;
                    }
                    (self.connection, self.revision, self.is_watching) = (None, None, false);
                }
            }
            pause = Duration::ZERO;
        }
    }

    /// Makes one call after another, the first after a pause. Never returns.
    async fn follow(&mut self, first_pause: Duration) {
        let mut pause = first_pause;
        loop {
            sleep(pause).await;
            pause = match self.call().await {
                Ok(revision) => {
                    self.revision = Some(revision);
                    self.is_watching = true;
                    self.schedule.succeeded();
                    self.tracker.holds(self.me, revision);
                    Duration::ZERO
                }
                Err(error) => {
                    (self.connection, self.is_watching) = (None, false);
                    match error {
                        CallError::Failed => self.schedule.after_failure(),
                        CallError::Unresponsive => Duration::ZERO,
                    }
                }
            };
        }
    }

    async fn call(&mut self) -> Result<u64, CallError> {
        let (target, timing) = match self.revision {
            None => ("/discovery/hosts".to_owned(), CallTiming::COMPLETE_LIST),
            Some(after) => {
                let timing = self.schedule.watch(self.is_watching);
                let wait_ms = timing.long_poll_timeout.as_millis();
                let target = format!("/discovery/hosts?after={after}&wait_ms={wait_ms}");
                (target, timing)
            }
        };
        self.traffic.calls.fetch_add(1, Ordering::Relaxed);
        match timeout(timing.call_timeout, self.fetch(&target)).await {
            Ok(revision) => revision.ok_or(CallError::Failed),
            Err(_) => Err(CallError::Unresponsive),
        }
    }

    async fn fetch(&mut self, target: &str) -> Option<u64> {
        let address = *self.addresses.borrow();
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => dial(address, Arc::clone(&self.traffic)).await?,
        };
        connection.sender.ready().await.ok()?;
        let request = Request::get(target)
            .header(HOST, address.to_string())
            .body(Empty::new())
            .ok()?;
        let response = connection.sender.send_request(request).await.ok()?;
        let status = response.status();
        let mut body = response.into_body();
        let mut start = Vec::with_capacity(REVISION_WITHIN);
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            let data = frame.data_ref().map_or(&[][..], |data| &data[..]);
            let wanted = REVISION_WITHIN - start.len();
            start.extend_from_slice(&data[..data.len().min(wanted)]);
        }
        self.connection = Some(connection);
        (status == StatusCode::OK)
            .then(|| revision_in(&start))
            .flatten()
    }
}

async fn dial(address: SocketAddr, traffic: Arc<Traffic>) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let stream = CountedStream::new(stream, traffic, Side::Proxy);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(Connection { sender, task })
}

/// The revision that the first bytes of a list name.
#[must_use]
pub fn revision_in(start: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(start);
    let (_, rest) = text.split_once("\"revision\":")?;
    let digits = rest.trim_start();
    let end = digits.find(|c: char| !c.is_ascii_digit())?;
    digits[..end].parse().ok()
}
