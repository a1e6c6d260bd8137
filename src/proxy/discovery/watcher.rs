//! The watch on discovery, which follows the changes of the endpoint list by long polling.

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

/// Path of the endpoint list at discovery.
const ENDPOINT_LIST_PATH: &str = "/discovery/hosts";

/// Settings and input of a watcher that opens a watch only when the balancer requests one
/// ([`DiscoveryMode::Polled`](crate::api::DiscoveryMode::Polled)).
///
/// Discovery is a service that all proxies share in this mode, so the balancers limit how often all of them together
/// open watches. A watcher without a `Polling` ([`DiscoveryMode::Pushed`](crate::api::DiscoveryMode::Pushed)) calls an
/// agent on the same machine and always holds a watch on it. In both modes a watch is a sequence of long polls.
#[derive(Debug)]
pub struct Polling {
    /// Receives a value whenever the balancer requests that a watch be opened.
    watch_requests: mpsc::UnboundedReceiver<()>,
    /// Long-poll timeout of a call that continues a watch.
    long_poll_timeout: Duration,
}

impl Polling {
    /// Creates the polling of the proxy with index `proxy_index` among `proxy_count` proxies.
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

    /// Waits until the balancer requests that a watch be opened.
    async fn watch_requested(&mut self) {
        // The sender is dropped only when the driver ends, at the end of the process.
        if self.watch_requests.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
        self.discard_requests();
    }

    /// Discards the queued requests, because one call serves all requests that were made before its end.
    fn discard_requests(&mut self) {
        while self.watch_requests.try_recv().is_ok() {}
    }
}

/// State of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// No call has been made yet.
    Starting,
    /// The last call succeeded; the next one continues the watch.
    Watching,
    /// The last call failed.
    Failed,
    /// Discovery has a new address. The next call is made at once, even if discovery is polled.
    AddressChanged,
}

/// Watches discovery and sends each change of the endpoint list to the driver.
pub struct Watcher {
    /// Address of discovery, which a new configuration may change while the proxy runs.
    addresses: watch::Receiver<SocketAddr>,
    client: DiscoveryClient,
    translator: Translator,
    handle: DriverHandle,
    /// Marked ready once the proxy has an endpoint list from discovery, or a cached one with a ready backend.
    lifecycle: Rc<Lifecycle>,
    /// Polling of a shared discovery; `None` if discovery is an agent on the same machine.
    polling: Option<Polling>,
    /// Revision of the list that the proxy holds; `None` if the next call must request the complete list.
    revision: Option<u64>,
    state: WatchState,
}

impl Watcher {
    /// Creates a watcher that has not made a call. With `polling` it opens a watch only when the balancer requests one.
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

    /// Starts with the endpoint list that the configuration contains. The list may be out of date, but if it has a
    /// ready backend, the proxy can serve requests. If such a list is complete, the first call asks for changes only,
    /// which saves discovery work when all proxies start at once.
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
        // An empty list is sent too: it makes the balancer request a watch.
        self.send(MembershipUpdate::Cached(endpoints));
    }

    /// Watches discovery until the process ends, and moves to its new address whenever the address changes.
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

    /// Disconnects from the old address. Revisions of two services are not comparable, so the next call requests the
    /// complete list from the new address. The proxy uses the old list until it receives the new one.
    fn on_address_changed(&mut self) {
        self.client.disconnect();
        self.revision = None;
        self.state = WatchState::AddressChanged;
    }

    /// Makes one call after another and sends the results to the driver. Never returns.
    async fn follow(&mut self) {
        loop {
            self.wait_for_next_call().await;
            match self.call().await {
                Ok(list) => {
                    self.state = WatchState::Watching;
                    self.publish(list);
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.prepare_retry(&error).await;
                }
            }
        }
    }

    /// Waits until the next call is due. It is due at once if it continues a watch, if the address has changed or if
    /// discovery is an agent, and otherwise when the balancer requests a watch.
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

    /// Records the revision of a list and sends its endpoints to the driver.
    fn publish(&mut self, list: EndpointList) {
        self.revision = Some(list.revision);
        self.lifecycle.mark_ready();
        if list.is_complete {
            self.send(MembershipUpdate::Full(list.endpoints));
        } else if !list.endpoints.is_empty() {
            self.send(MembershipUpdate::Delta(list.endpoints));
        }
    }

    /// Records a failed call: logs the first of consecutive failures, and closes the connection.
    fn record_failure(&mut self, error: &DiscoveryError) {
        if self.state != WatchState::Failed {
            tracing::warn!(%error, "call to discovery failed");
        }
        self.client.disconnect();
        self.state = WatchState::Failed;
    }

    /// Prepares the call after a failed one. If discovery is polled, the balancer decides when a watch is opened again,
    /// so it is notified of the failure. If discovery is an agent, the call is repeated after [`PUSHED_RETRY_DELAY`].
    async fn prepare_retry(&mut self, error: &DiscoveryError) {
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
            DiscoveryError::Timeout { .. } => MembershipUpdate::WatchStalled,
            _ => MembershipUpdate::WatchFailed,
        };
        self.send(update);
    }

    fn send(&self, update: MembershipUpdate) {
        self.handle.send(Message::Membership(update));
    }

    /// Calls discovery once, for the complete list or for the changes since the revision that the proxy holds.
    ///
    /// # Errors
    /// [`DiscoveryError`] if the call fails or returns a list that is older than the one that the proxy holds.
    async fn call(&mut self) -> Result<EndpointList, DiscoveryError> {
        let timing = self.next_timing();
        let target = self.next_target(timing);
        let address = *self.addresses.borrow();
        let response = timeout(timing.call_timeout, self.client.fetch(address, &target))
            .await
            .map_err(|_| DiscoveryError::Timeout {
                call_timeout: timing.call_timeout,
            })?;
        let list = self.translator.parse(&response?)?;
        if let Some(held) = self.revision
            && list.revision < held
        {
            // Another service with revisions of its own answers at this address. The next call requests its complete
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
                CallTiming::for_continued_watch(polling.long_poll_timeout)
            }
            Some(_) => CallTiming::OPEN_WATCH,
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
