//! Restart of a real process: SIGTERM, exit, and start of a new process.

use super::{StartedProcess, start_process};
use crate::live::figures::RestartFigures;
use crate::live::process::{ProcessError, ProxyCommand, ProxyProcess};
use crate::live::quantiles::Quantiles;
use rustix::process::Signal;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Time within which a process has to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A restarted process, and the exit of the one before it.
pub(super) struct RestartedProcess {
    pub(super) started: StartedProcess,
    /// Exit status of the previous process.
    exit_status: ExitStatus,
    /// Time from SIGTERM to the exit of the previous process.
    ended_after: Duration,
}

/// Sends SIGTERM to a process, waits for its exit and starts a new one.
pub(super) async fn restart_process(
    proxy_index: u32,
    mut process: ProxyProcess,
    command: &ProxyCommand,
) -> Result<RestartedProcess, ProcessError> {
    let signalled_at = Instant::now();
    process.signal(Signal::TERM)?;
    let exit_status = process.wait_for_exit(EXIT_TIMEOUT).await?;
    let ended_after = signalled_at.elapsed();
    let started = start_process(proxy_index, command).await?;
    Ok(RestartedProcess {
        started,
        exit_status,
        ended_after,
    })
}

/// Computes the figures of a restart of all real processes.
pub(super) fn figures(restarted: &[RestartedProcess]) -> RestartFigures {
    let mut ended_cleanly = 0;
    let mut ended_after = Vec::new();
    let mut serving_after = Vec::new();
    for process in restarted {
        if process.exit_status.success() {
            ended_cleanly += 1;
        }
        ended_after.push(process.ended_after.as_secs_f64());
        serving_after.extend(process.started.serving_after.map(|time| time.as_secs_f64()));
    }
    RestartFigures {
        processes: restarted.len(),
        ended_cleanly,
        serving_in_time: serving_after.len(),
        ended_after: Quantiles::of(ended_after),
        serving_after: Quantiles::of(serving_after),
    }
}
