//! One process of the proxy program: start, health check, signals and exit.

mod error;
mod log;

pub use error::{ProcessError, ProcessProblem};

use super::http;
use hyper::StatusCode;
use log::{ListenAddresses, LogLines, LogTail};
use rustix::process::{Pid, Signal, kill_process};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Time within which a started process has to log its listen addresses.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two health checks of a starting process.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for the exit of a killed process.
const KILL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two checks of whether a killed process has exited.
const KILL_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Name of the operators' counter of known backends, with the space that separates it from the value.
const KNOWN_BACKENDS_COUNTER: &str = "app_known_backends ";

/// A child process. Dropping the guard kills the process and waits for its exit.
#[derive(Debug)]
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.start_kill();
        // `drop` can't await, so it blocks; a killed process exits within milliseconds.
        let killed_at = Instant::now();
        while matches!(self.0.try_wait(), Ok(None)) && killed_at.elapsed() < KILL_TIMEOUT {
            std::thread::sleep(KILL_POLL_INTERVAL);
        }
    }
}

/// A running process of the proxy program. Dropping it kills the process.
#[derive(Debug)]
pub struct ProxyProcess {
    name: String,
    child: ChildGuard,
    pid: u32,
    started_at: Instant,
    address: SocketAddr,
    operator_address: SocketAddr,
    log: Arc<LogTail>,
}

/// The command that starts a process: program and configuration file.
#[derive(Clone, Debug)]
pub struct ProxyCommand {
    /// Name in messages, such as `proxy-3`.
    pub name: String,
    /// Path of the program.
    pub program: PathBuf,
    /// Path of the configuration file.
    pub config: PathBuf,
}

impl ProxyCommand {
    fn spawn(&self) -> Result<ChildGuard, ProcessError> {
        let mut command = Command::new(&self.program);
        // The lab's own environment, such as its log level, must not affect the proxy.
        command.env_clear().env("EDGE_CONFIG", &self.config);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        match command.spawn() {
            Ok(child) => Ok(ChildGuard(child)),
            Err(source) => Err(ProcessError::Spawn {
                name: self.name.clone(),
                program: self.program.clone(),
                source,
            }),
        }
    }
}

impl ProxyProcess {
    /// Starts a process and waits until it has logged its listen addresses.
    ///
    /// # Errors
    /// The process can't be started, closes its log, or does not log its listen addresses in time.
    pub async fn start(command: &ProxyCommand) -> Result<Self, ProcessError> {
        let started_at = Instant::now();
        let mut child = command.spawn()?;
        let exited = || ProcessError::ExitedImmediately {
            name: command.name.clone(),
        };
        let pid = child.0.id().ok_or_else(exited)?;
        let stderr = child.0.stderr.take().ok_or_else(exited)?;
        tracing::debug!(name = command.name, pid, "process spawned");
        let mut lines = BufReader::new(stderr).lines();
        let log = Arc::new(LogTail::default());
        let addresses = match read_listen_addresses(&mut lines, &log).await {
            Ok(addresses) => addresses,
            Err(problem) => {
                return Err(ProcessError::Running {
                    name: command.name.clone(),
                    pid,
                    problem,
                    log: log.text(),
                });
            }
        };
        tokio::spawn(log::keep_last_lines(lines, Arc::clone(&log)));
        Ok(Self {
            name: command.name.clone(),
            child,
            pid,
            started_at,
            address: addresses.clients,
            operator_address: addresses.operators,
            log,
        })
    }

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until a health check succeeds and returns the time since the start of the process; `None` if no
    /// health check succeeds within `limit` of the start.
    pub async fn wait_until_serving(&self, limit: Duration) -> Option<Duration> {
        while self.started_at.elapsed() < limit {
            let response = timeout(limit, http::get(self.address, "/up")).await;
            if matches!(response, Ok(Ok((StatusCode::OK, _)))) {
                return Some(self.started_at.elapsed());
            }
            sleep(HEALTH_CHECK_INTERVAL).await;
        }
        None
    }

    /// Reads the number of known backends from the operators' counters; `None` if the call fails or the counter
    /// is missing.
    pub async fn known_backends(&self) -> Option<u64> {
        let (_, body) = http::get(self.operator_address, "/control/counters")
            .await
            .ok()?;
        let text = String::from_utf8_lossy(&body);
        text.lines()
            .find_map(|line| line.strip_prefix(KNOWN_BACKENDS_COUNTER)?.parse().ok())
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The process does not exist any more.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = i32::try_from(self.pid).ok().and_then(Pid::from_raw);
        match pid.map(|pid| kill_process(pid, signal)) {
            Some(Ok(())) => Ok(()),
            Some(Err(error)) => Err(self.error(ProcessProblem::Signal(error.into()))),
            None => Err(self.error(ProcessProblem::InvalidPid)),
        }
    }

    /// Waits for the process to exit, for at most `limit`.
    ///
    /// # Errors
    /// The process has not exited within `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        match timeout(limit, self.child.0.wait()).await {
            Ok(Ok(status)) => Ok(status),
            Ok(Err(source)) => Err(self.error(ProcessProblem::Wait(source))),
            Err(_) => Err(self.error(ProcessProblem::NotExited { limit })),
        }
    }

    /// Checks that the process still runs.
    ///
    /// # Errors
    /// The process has exited; the message contains the last lines of its log.
    pub fn check_running(&mut self) -> Result<(), ProcessError> {
        match self.child.0.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(self.error(ProcessProblem::ExitedUnexpectedly { status })),
            Err(source) => Err(self.error(ProcessProblem::Wait(source))),
        }
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) {
        if let Err(error) = self.child.0.kill().await {
            tracing::warn!(name = self.name, pid = self.pid, %error, "process cannot be killed");
        }
    }

    fn error(&self, problem: ProcessProblem) -> ProcessError {
        ProcessError::Running {
            name: self.name.clone(),
            pid: self.pid,
            problem,
            log: self.log.text(),
        }
    }
}

/// Reads the log until it contains the listen addresses, for at most [`LISTEN_TIMEOUT`].
async fn read_listen_addresses(
    lines: &mut LogLines,
    log: &LogTail,
) -> Result<ListenAddresses, ProcessProblem> {
    match timeout(LISTEN_TIMEOUT, log::read_addresses(lines, log)).await {
        Ok(Some(addresses)) => Ok(addresses),
        Ok(None) => Err(ProcessProblem::NoListenAddresses),
        Err(_) => Err(ProcessProblem::ListenTimeout {
            limit: LISTEN_TIMEOUT,
        }),
    }
}
