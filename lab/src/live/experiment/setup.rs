//! Setup before the proxies start: descriptor limit, emulated backends and endpoint list.

use super::actions::MAX_CONCURRENT_IDLE_CONNECTION_MEASUREMENTS;
use crate::endpoint_list::{Endpoint, EndpointState};
use crate::live::backends;
use crate::live::error::LiveError;
use crate::live::proxy_config::MACHINE_TYPE;
use crate::live::scenario::{Backends, EndpointsWithoutBackend, LiveScenario, Phase};
use rustix::process::{Resource, getrlimit};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpSocket;

/// Number of endpoints in a deduplication cell.
const CELL_SIZE: usize = 8;
/// Descriptors of the lab that are not counted one by one.
const OTHER_DESCRIPTORS: u64 = 256;
/// Descriptors of the lab for each loopback connection, including its listener.
const DESCRIPTORS_PER_PROXY: u64 = 2;

/// The backends to which the addresses of the endpoint list lead.
#[derive(Debug)]
pub(super) struct EmulatedBackends {
    /// Addresses of the emulated backends.
    pub(super) answering: Vec<SocketAddr>,
    /// Reserves `refusing_address`: the socket is bound but does not listen, so connections are refused.
    _refusing_socket: TcpSocket,
    refusing_address: SocketAddr,
}

impl EmulatedBackends {
    /// Starts the emulated backends.
    pub(super) async fn start(backends: &Backends) -> Result<Self, LiveError> {
        let started = Self::try_start(backends).await;
        started.map_err(|source| LiveError::Io {
            operation: "start the emulated backends",
            source,
        })
    }

    async fn try_start(backends: &Backends) -> io::Result<Self> {
        let service_time = Duration::from_millis(backends.service_ms);
        let answering = backends::start(backends.answering, service_time).await?;
        let refusing = TcpSocket::new_v4()?;
        refusing.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let refusing_address = refusing.local_addr()?;
        Ok(Self {
            answering,
            _refusing_socket: refusing,
            refusing_address,
        })
    }

    /// Returns the endpoint list. The emulated backends come first; zones are assigned in turn.
    pub(super) fn endpoints(&self, backends: &Backends) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for number in 0..backends.listed as usize {
            endpoints.push(Endpoint {
                id: format!("b-{number:08x}"),
                address: self.address(number, backends.others),
                zone: backends.zones[number % backends.zones.len()].clone(),
                machine_type: MACHINE_TYPE.to_owned(),
                cell: (number / CELL_SIZE) as u32,
                state: EndpointState::Active,
                size: 1.0,
                started_at_ms: 0,
            });
        }
        endpoints
    }

    fn address(&self, number: usize, others: EndpointsWithoutBackend) -> SocketAddr {
        match (self.answering.get(number), others) {
            (Some(&address), _) => address,
            (None, EndpointsWithoutBackend::Shared) => {
                self.answering[number % self.answering.len()]
            }
            (None, EndpointsWithoutBackend::Refused) => self.refusing_address,
        }
    }
}

/// Checks that the descriptor limit of the lab suffices for the scenario.
///
/// # Errors
/// [`LiveError::DescriptorLimit`] if it does not.
pub(super) fn check_descriptor_limit(scenario: &LiveScenario) -> Result<(), LiveError> {
    let proxies = u64::from(scenario.proxy_count()) + u64::from(scenario.processes.real);
    let needed = DESCRIPTORS_PER_PROXY * proxies
        + u64::from(scenario.backends.answering)
        + idle_connections_at_once(scenario)
        + OTHER_DESCRIPTORS;
    match getrlimit(Resource::Nofile).current {
        Some(limit) if limit < needed => Err(LiveError::DescriptorLimit { needed, limit }),
        _ => Ok(()),
    }
}

/// Returns the greatest number of idle connections that a phase holds at the same time.
fn idle_connections_at_once(scenario: &LiveScenario) -> u64 {
    let mut max = 0;
    for phase in &scenario.phases {
        if let Phase::IdleConnections { connections } = phase {
            max = max
                .max(u64::from(*connections) * MAX_CONCURRENT_IDLE_CONNECTION_MEASUREMENTS as u64);
        }
    }
    max
}
