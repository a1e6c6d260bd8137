//! The watch on discovery.

use super::client::DiscoveryClient;
use super::error::DiscoveryError;
use super::intervals::{CallTiming, PUSHED_RETRY_DELAY, polled_long_poll_timeout};
use super::translator::{EndpointList, Translator};
use crate::api::Readiness;
use crate::proxy::lifecycle::Lifecycle;
use crate::proxy::messages::{DriverHandle, MembershipUpdate, Message};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// The resource that has the endpoint list.
const ENDPOINT_LIST_PATH: &str = "/discovery/hosts";

/// Opens a watch only when the balancer wants one
/// ([`DiscoveryMode::Polled`](crate::api::DiscoveryMode::Polled)): discovery is a service that all proxies share, so
/// the balancers limit how often all of them together open watches. Without it
/// ([`DiscoveryMode::Pushed`](crate::api::DiscoveryMode::Pushed)) discovery is an agent on the same machine, on which
/// the watcher always holds a watch. In both modes a watch is a sequence of long polls.
#[derive(Debug)]
pub struct Polling {
    /// Receives a value whenever the balancer wants a watch to be opened.
    watch_requests: mpsc::UnboundedReceiver<()>,
    /// Long-poll timeout of a watch that is continued.
    long_poll_timeout: Duration,
}

impl Polling {
    /// Creates the polling of one proxy.
    #[must_use]
    pub fn new(
        watch_requests: mpsc::UnboundedReceiver<()>,
        proxy_index: u32,
        proxy_count: u32,
    ) -> Self {
        Self {
            watch_requests,
            long_poll_timeout: polled_long_poll_timeout(proxy_index, proxy_count),
        }
    }

    /// Waits until the balancer wants a watch to be opened.
    async fn watch_requested(&mut self) {
        // The driver, which holds the sender, ends only with the process.
        if self.watch_requests.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
        self.discard_requests();
    }

    /// Discards the requests that came before the last call ended: it was made for them too.
    fn discard_requests(&mut self) {
        while self.watch_requests.try_recv().is_ok() {}
    }
}

/// How far the watch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// No call was made yet.
    Starting,
    /// The last call was answered: the next one continues the watch.
    Watching,
    /// The last call failed.
    Failed,
    /// Discovery has a new address: a watch is opened there at once, also where it is polled.
    AddressChanged,
}

/// Follows discovery and sends the driver each change of the endpoint list.
pub struct Watcher {
    /// Where discovery is; a new configuration may change it while the proxy runs.
    addresses: watch::Receiver<SocketAddr>,
    client: DiscoveryClient,
    translator: Translator,
    handle: DriverHandle,
    /// Notified once the proxy has an endpoint list of discovery, or a cached one with a ready backend.
    lifecycle: Rc<Lifecycle>,
    /// `None` where discovery is an agent on the same machine.
    polling: Option<Polling>,
    /// Revision of the list that the proxy holds; a watch asks for newer ones.
    revision: Option<u64>,
    state: WatchState,
}

impl Watcher {
    /// Creates a watcher that has made no call. With `polling` it opens a watch only when the
    /// balancer wants one.
    #[must_use]
    pub fn new(
        addresses: watch::Receiver<SocketAddr>,
        translator: Translator,
        handle: DriverHandle,
        lifecycle: Rc<Lifecycle>,
        polling: Option<Polling>,
    ) -> Self {
        Self {
            addresses,
            client: DiscoveryClient::default(),
            translator,
            handle,
            lifecycle,
            polling,
            revision: None,
            state: WatchState::Starting,
        }
    }

    /// Starts from the endpoint list that the configuration holds. It may be out of date, but the
    /// proxy can serve from it. If it is complete and has a ready backend, the first call asks for
    /// changes only: cheap for discovery where all proxies start at once.
    pub fn start_from_cache(&mut self, cached: &Value) {
        let mut endpoints = Vec::new();
        match self.translator.parse_value(cached) {
            Ok(list) => {
                let can_serve = list
                    .endpoints
                    .iter()
                    .any(|endpoint| endpoint.backend.readiness == Readiness::Ready);
                if can_serve {
                    self.revision = list.is_complete.then_some(list.revision);
                    self.lifecycle.mark_ready();
                }
                endpoints = list.endpoints;
            }
            Err(error) => tracing::warn!(%error, "no cached endpoint list"),
        }
        // An empty one is sent too: it makes the balancer open a watch.
        self.send(MembershipUpdate::Cached(endpoints));
    }

    /// Follows discovery for as long as the proxy runs, at whatever address it is.
    pub async fn run(mut self) {
        let mut addresses = self.addresses.clone();
        addresses.mark_unchanged();
        loop {
            tokio::select! {
                () = self.follow() => return,
                Ok(()) = addresses.changed() => self.on_address_changed(),
            }
        }
    }

    /// Leaves the old address at once. Revisions are not comparable between two services, so the
    /// new one is asked for the complete list; until that comes, the proxy serves from the old
    /// list.
    fn on_address_changed(&mut self) {
        self.client.disconnect();
        self.revision = None;
        self.state = WatchState::AddressChanged;
    }

    /// Makes one call after another. Never returns.
    async fn follow(&mut self) {
        loop {
            self.wait_for_next_call().await;
            match self.call().await {
                Ok(list) => {
                    self.state = WatchState::Watching;
                    self.publish(list);
                }
                Err(error) => {
                    self.on_failure(&error);
                    self.after_failure(&error).await;
                }
            }
        }
    }

    async fn wait_for_next_call(&mut self) {
        match self.state {
            WatchState::Watching | WatchState::AddressChanged => {}
            WatchState::Starting | WatchState::Failed => {
                if let Some(polling) = &mut self.polling {
                    polling.watch_requested().await;
                }
            }
        }
    }

    fn publish(&mut self, list: EndpointList) {
        self.revision = Some(list.revision);
        self.lifecycle.mark_ready();
        if list.is_complete {
            self.send(MembershipUpdate::Full(list.endpoints));
        } else if !list.endpoints.is_empty() {
            self.send(MembershipUpdate::Delta(list.endpoints));
        }
    }

    /// Records a failed call: logs the first of consecutive failures, and drops the connection.
    fn on_failure(&mut self, error: &DiscoveryError) {
        if self.state != WatchState::Failed {
            tracing::warn!(%error, "call to discovery failed");
        }
        self.client.disconnect();
        self.state = WatchState::Failed;
    }

    /// Prepares the next call. The balancer decides when a watch is opened again on a shared discovery, so it is
    /// notified; a watch on an agent is opened again after a short delay.
    async fn after_failure(&mut self, error: &DiscoveryError) {
        match &mut self.polling {
            None => sleep(PUSHED_RETRY_DELAY).await,
            Some(polling) => {
                polling.discard_requests();
                self.notify_of_failure(error);
            }
        }
    }

    fn notify_of_failure(&self, error: &DiscoveryError) {
        let update = match error {
            DiscoveryError::Timeout => MembershipUpdate::WatchStalled,
            _ => MembershipUpdate::WatchFailed,
        };
        self.send(update);
    }

    fn send(&self, update: MembershipUpdate) {
        self.handle.send(Message::Membership(update));
    }

    /// Calls discovery once, for the complete list or for what is newer than the list that the
    /// proxy holds.
    async fn call(&mut self) -> Result<EndpointList, DiscoveryError> {
        let timing = self.next_timing();
        let target = self.next_target(timing);
        let address = *self.addresses.borrow();
        let response = timeout(timing.call_timeout, self.client.fetch(address, &target))
            .await
            .map_err(|_| DiscoveryError::Timeout)?;
        let list = self.translator.parse(&response?)?;
        if let Some(held) = self.revision
            && list.revision < held
        {
            // Another service answers at the same address. The next call asks it for the complete
            // list.
            self.revision = None;
            return Err(DiscoveryError::OutdatedRevision {
                received: list.revision,
                held,
            });
        }
        Ok(list)
    }

    fn next_timing(&self) -> CallTiming {
        if self.revision.is_none() {
            return CallTiming::COMPLETE_LIST;
        }
        match &self.polling {
            None => CallTiming::PUSHED,
            Some(polling) if self.state == WatchState::Watching => {
                CallTiming::continued(polling.long_poll_timeout)
            }
            Some(_) => CallTiming::OPENING,
        }
    }

    fn next_target(&self, timing: CallTiming) -> String {
        match self.revision {
            None => ENDPOINT_LIST_PATH.to_owned(),
            Some(revision) => {
                let wait_ms = timing.long_poll_timeout.as_millis();
                format!("{ENDPOINT_LIST_PATH}?after={revision}&wait_ms={wait_ms}")
            }
        }
    }
}
