//! The restart of a real process: SIGTERM, its end, and a new start.

use super::{StartedProcess, start_process};
use crate::live::figures::RestartFigures;
use crate::live::process::{ProcessError, ProxyCommand, ProxyProcess};
use crate::live::quantiles::Quantiles;
use rustix::process::Signal;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// A process has to end within this time after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A process that was restarted.
pub(super) struct RestartedProcess {
    pub(super) started: StartedProcess,
    exit_status: ExitStatus,
    /// Time from SIGTERM to the end.
    ended_after: Duration,
}

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

/// Computes the figures of a restart.
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
