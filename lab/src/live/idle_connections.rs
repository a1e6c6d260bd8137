//! Measures the memory that a proxy process needs for idle client connections.

use super::http::{self, HttpError};
use super::scenario::IDLE_CONNECTION_STEPS;
use super::usage::Usage;
use crate::units::BYTES_PER_KIB;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Time between the last connection of a step and the reading of the memory. It has to be well below the 2.5 s
/// after which the proxy closes idle connections.
const SETTLING_TIME: Duration = Duration::from_millis(200);

/// The memory of idle connections can't be measured.
#[derive(Debug, thiserror::Error)]
pub enum IdleConnectionsError {
    /// A connection can't be opened, or the request on it failed.
    #[error("call on a measured connection to process {pid} failed: {source}")]
    Http {
        /// Process id.
        pid: u32,
        /// Error of the call.
        source: HttpError,
    },
    /// The memory of the process can't be read.
    #[error("cannot read the resident memory of process {pid}: {source}")]
    Usage {
        /// Process id.
        pid: u32,
        /// Error of the read from `/proc`.
        source: procfs::ProcError,
    },
}

/// Resident memory of one process as a function of its idle client connections.
#[derive(Clone, Debug, Serialize)]
pub struct IdleConnectionMemory {
    /// Connections and resident memory at each step; the first step has no connections.
    pub steps: Vec<IdleConnectionStep>,
    /// Slope of the least squares line through the steps, in bytes per connection. It is too low if the first
    /// connections fit into free memory that the process already holds.
    pub slope_bytes: f64,
    /// Slope of the steepest step, in bytes per connection. Unlike `slope_bytes`, it is not lowered by memory that the
    /// process already held.
    pub steepest_bytes: f64,
}

/// One step of the measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdleConnectionStep {
    /// Number of connections that clients hold open.
    pub connections: u32,
    /// Number of opened connections that the process had closed when its memory was read.
    pub closed: u32,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Opens `max_connections` connections to a process in [`IDLE_CONNECTION_STEPS`] steps, sends one request on each, and
/// reads the memory of the process after each step.
///
/// # Errors
/// A request fails, or the memory of the process can't be read.
pub async fn measure(
    address: SocketAddr,
    pid: u32,
    max_connections: u32,
) -> Result<IdleConnectionMemory, IdleConnectionsError> {
    let http_error = |source| IdleConnectionsError::Http { pid, source };
    let mut steps = vec![IdleConnectionStep {
        connections: 0,
        closed: 0,
        resident_kib: resident_kib(pid)?,
    }];
    let mut senders = Vec::new();
    for step in 1..=IDLE_CONNECTION_STEPS {
        let connections = max_connections * step / IDLE_CONNECTION_STEPS;
        while senders.len() < connections as usize {
            let mut sender = http::connect(address).await.map_err(http_error)?;
            http::get_on(&mut sender, address, "/up")
                .await
                .map_err(http_error)?;
            senders.push(sender);
        }
        sleep(SETTLING_TIME).await;
        let resident_kib = resident_kib(pid)?;
        let closed = senders.iter().filter(|sender| sender.is_closed()).count();
        steps.push(IdleConnectionStep {
            connections,
            closed: closed as u32,
            resident_kib,
        });
    }
    Ok(IdleConnectionMemory::from_steps(steps))
}

/// Reads the resident memory of a process, in KiB.
fn resident_kib(pid: u32) -> Result<u64, IdleConnectionsError> {
    let usage = Usage::read(pid).map_err(|source| IdleConnectionsError::Usage { pid, source })?;
    Ok(usage.resident_kib)
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
    /// Returns the number of connections and the resident memory in bytes.
    fn point(&self) -> (f64, f64) {
        let connections = f64::from(self.connections);
        let resident_bytes = self.resident_kib as f64 * BYTES_PER_KIB;
        (connections, resident_bytes)
    }
}

/// Returns the slope of the least squares line through points (x, y); 0 if all have the same x.
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
