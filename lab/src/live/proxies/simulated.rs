//! Starts all simulated proxies of a run and reads their traffic.

use crate::live::discovery::EmulatedDiscovery;
use crate::live::error::LiveError;
use crate::live::propagation::PropagationTracker;
use crate::live::proxy_config;
use crate::live::scenario::LiveScenario;
use crate::live::simulated_proxy::{SimulatedProxy, SimulatedProxySettings};
use crate::live::traffic::{TrafficCounters, TrafficTotals};
use std::net::SocketAddr;
use std::sync::Arc;
use tillerproxy::simulator::{ParseSettingsError, parse_settings};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The simulated proxies of a run. Dropping the value ends their tasks.
#[derive(Debug)]
pub(super) struct SimulatedProxies {
    _tasks: JoinSet<()>,
    traffic: Vec<Arc<TrafficCounters>>,
    discovery_address: watch::Sender<SocketAddr>,
}

impl SimulatedProxies {
    /// Starts one task for each simulated proxy.
    ///
    /// # Errors
    /// [`LiveError::Settings`] if the balancer rejects the settings of a proxy.
    pub(super) fn start(
        scenario: &LiveScenario,
        discovery: &EmulatedDiscovery,
        tracker: &Arc<PropagationTracker>,
        seed: u64,
    ) -> Result<Self, LiveError> {
        let (discovery_address, address) = watch::channel(discovery.addresses().simulated);
        let revision = if scenario.processes.start_with_list {
            Some(discovery.service().endpoint_list().revision())
        } else {
            None
        };
        let mut tasks = JoinSet::new();
        let mut traffic = Vec::new();
        for proxy_index in scenario.processes.real..scenario.proxy_count() {
            let rejected = |source: ParseSettingsError| LiveError::Settings {
                proxy_index,
                source,
            };
            let json = proxy_config::settings(scenario, proxy_index).to_string();
            let start = SimulatedProxySettings {
                settings: parse_settings(json.as_bytes()).map_err(rejected)?,
                revision,
                seed: seed ^ u64::from(proxy_index) << 32,
            };
            let counters = Arc::<TrafficCounters>::default();
            traffic.push(Arc::clone(&counters));
            let proxy = SimulatedProxy::new(start, address.clone(), counters, Arc::clone(tracker))
                .map_err(|source| rejected(source.into()))?;
            tasks.spawn(proxy.run());
        }
        Ok(Self {
            _tasks: tasks,
            traffic,
            discovery_address,
        })
    }

    /// Returns the traffic between each simulated proxy and discovery so far.
    pub(super) fn traffic(&self) -> Vec<TrafficTotals> {
        self.traffic
            .iter()
            .map(|counters| counters.totals())
            .collect()
    }

    /// Notifies all simulated proxies of a new address of discovery.
    pub(super) fn move_discovery(&self, address: SocketAddr) {
        self.discovery_address.send_replace(address);
    }
}
