//! Memory that a proxy process needs for idle client connections.

use super::http::{self, HttpError};
use super::scenario::IDLE_CONNECTION_STEPS;
use super::usage::Usage;
use crate::units::BYTES_PER_KIB;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Time between the last connection of a step and the reading of the memory. It is short beside the 2.5 s
/// after which the proxy closes idle connections.
const SETTLING_TIME: Duration = Duration::from_millis(200);

/// Why idle connections can't be measured.
#[derive(Debug, thiserror::Error)]
pub enum IdleConnectionsError {
    /// A request on one of the connections failed.
    #[error("a request on an idle connection failed: {0}")]
    Http(#[from] HttpError),
    /// The memory of the process can't be read.
    #[error("the memory of the process can't be read: {0}")]
    Usage(#[from] procfs::ProcError),
}

/// Resident memory of one process by the number of idle connections that clients hold to it.
#[derive(Clone, Debug, Serialize)]
pub struct IdleConnectionMemory {
    /// Connections and resident memory at each step, the first one without connections.
    pub steps: Vec<IdleConnectionStep>,
    /// Slope of the least squares line through the steps, in bytes per connection. Free memory that the
    /// process already has hides the first connections.
    pub slope_bytes: f64,
    /// Slope of the steepest step, which free memory does not hide.
    pub steepest_bytes: f64,
}

/// One step.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdleConnectionStep {
    /// Connections held.
    pub connections: u32,
    /// Of those, connections that the process had closed by the reading.
    pub closed: u32,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Opens up to `max_connections` connections to a process step by step, sends one request on each, and reads
/// the process's memory after each step.
///
/// # Errors
/// Where the process does not answer or its memory can't be read.
pub async fn measure(
    address: SocketAddr,
    pid: u32,
    max_connections: u32,
) -> Result<IdleConnectionMemory, IdleConnectionsError> {
    let mut steps = vec![IdleConnectionStep {
        connections: 0,
        closed: 0,
        resident_kib: Usage::read(pid)?.resident_kib,
    }];
    let mut senders = Vec::new();
    for step in 1..=IDLE_CONNECTION_STEPS {
        let connections = max_connections * step / IDLE_CONNECTION_STEPS;
        while senders.len() < connections as usize {
            let mut sender = http::connect(address).await?;
            http::get_on(&mut sender, address, "/up").await?;
            senders.push(sender);
        }
        sleep(SETTLING_TIME).await;
        let resident_kib = Usage::read(pid)?.resident_kib;
        let closed = senders.iter().filter(|sender| sender.is_closed()).count();
        steps.push(IdleConnectionStep {
            connections,
            closed: closed as u32,
            resident_kib,
        });
    }
    Ok(IdleConnectionMemory::from_steps(steps))
}

impl IdleConnectionMemory {
    fn from_steps(steps: Vec<IdleConnectionStep>) -> Self {
        let points: Vec<(f64, f64)> = steps.iter().map(IdleConnectionStep::point).collect();
        let steepest_bytes = points.windows(2).map(slope).fold(0.0, f64::max);
        Self {
            steps,
            slope_bytes: slope(&points),
            steepest_bytes,
        }
    }
}

impl IdleConnectionStep {
    /// Returns connections and resident bytes.
    fn point(&self) -> (f64, f64) {
        let connections = f64::from(self.connections);
        let resident_bytes = self.resident_kib as f64 * BYTES_PER_KIB;
        (connections, resident_bytes)
    }
}

/// Returns the slope of the least squares line through the points; 0 where they do not differ in x.
#[must_use]
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let mean_x = mean(|point| point.0);
    let mean_y = mean(|point| point.1);
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    }
}
