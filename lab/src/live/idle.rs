//! Memory that idle client connections take.

use super::http;
use super::scenario::IDLE_STEPS;
use super::usage::Usage;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Time between the last connection of a step and the reading. It has to be short beside the 2.5 s after
/// which the proxy closes idle connections.
const SETTLES: Duration = Duration::from_millis(200);

/// Resident memory of one process by the idle connections that clients hold to it.
#[derive(Clone, Debug, Serialize)]
pub struct IdleMemory {
    /// Connections and resident memory at each step, the first one without any.
    pub steps: Vec<IdleStep>,
    /// Slope of the least squares line through the steps, in bytes for each connection. Memory that the
    /// process has free already hides the first connections.
    pub slope_bytes: f64,
    /// Slope of the steepest step, which that memory does not hide.
    pub steepest_bytes: f64,
}

/// One step.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdleStep {
    /// Connections held.
    pub connections: u32,
    /// Of those, connections that the process had closed by the reading.
    pub closed: u32,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Opens connections to a process step by step, asks once on each, and reads its memory behind each step.
///
/// # Errors
/// Where the process does not answer or its memory can't be read.
pub async fn measure(
    address: SocketAddr,
    pid: u32,
    most: u32,
) -> Result<IdleMemory, http::CallError> {
    let mut steps = vec![IdleStep {
        connections: 0,
        closed: 0,
        resident_kib: Usage::of(pid)?.resident_kib,
    }];
    let mut held = Vec::new();
    for step in 1..=IDLE_STEPS {
        let wanted = most * step / IDLE_STEPS;
        while held.len() < wanted as usize {
            let mut sender = http::connect(address).await?;
            http::get_on(&mut sender, address, "/up").await?;
            held.push(sender);
        }
        sleep(SETTLES).await;
        let resident_kib = Usage::of(pid)?.resident_kib;
        let closed = held.iter().filter(|sender| sender.is_closed()).count() as u32;
        steps.push(IdleStep {
            connections: wanted,
            closed,
            resident_kib,
        });
    }
    let points: Vec<(f64, f64)> = steps
        .iter()
        .map(|step| {
            (
                f64::from(step.connections),
                step.resident_kib as f64 * 1024.0,
            )
        })
        .collect();
    let steepest_bytes = points.windows(2).map(slope).fold(0.0, f64::max);
    Ok(IdleMemory {
        steps,
        slope_bytes: slope(&points),
        steepest_bytes,
    })
}

/// Slope of the least squares line through the points; 0 where they do not differ in x.
#[must_use]
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
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
