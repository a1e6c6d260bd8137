//! One process of the proxy's program: start, health, signals and end.

mod error;
mod log;

pub use error::{ProcessError, ProcessProblem};

use super::http;
use hyper::StatusCode;
use log::LogTail;
use rustix::process::{Pid, Signal, kill_process};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// A process that does not listen after this time has failed.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two health checks of a process that starts.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long the end of a killed process is waited for.
const KILL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at whether a killed process has ended.
const KILL_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Name of the operators' counter that holds the number of known backends.
const KNOWN_BACKENDS_COUNTER: &str = "app_known_backends ";

/// A child process that is killed, and whose end is waited for, when this is dropped.
#[derive(Debug)]
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.start_kill();
        // A drop can't await; a killed process ends within milliseconds.
        let killed_at = Instant::now();
        while matches!(self.0.try_wait(), Ok(None)) && killed_at.elapsed() < KILL_TIMEOUT {
            std::thread::sleep(KILL_POLL_INTERVAL);
        }
    }
}

/// A running process of the proxy. It is killed when this is dropped.
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

/// Program and configuration file of a process.
#[derive(Clone, Debug)]
pub struct ProxyCommand {
    /// Name for messages, such as `proxy-3`.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// Its configuration file.
    pub config: PathBuf,
}

impl ProxyCommand {
    fn spawn(&self) -> Result<ChildGuard, ProcessError> {
        let mut command = Command::new(&self.program);
        // The lab's own environment, such as its log level, is not for the proxy.
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
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    /// Where it can't be started, or does not log its addresses in time.
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
        let addresses = timeout(LISTEN_TIMEOUT, log::read_addresses(&mut lines, &log)).await;
        let Ok(Some(addresses)) = addresses else {
            return Err(ProcessError::Running {
                name: command.name.clone(),
                pid,
                problem: ProcessProblem::NoAddresses,
                log: log.text(),
            });
        };
        tokio::spawn(log::follow(lines, Arc::clone(&log)));
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

    /// Returns its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until its health check succeeds and returns the time since its start; `None` where that does
    /// not happen within `limit` of the start.
    pub async fn wait_until_serving(&self, limit: Duration) -> Option<Duration> {
        while self.started_at.elapsed() < limit {
            let answer = timeout(limit, http::get(self.address, "/up")).await;
            if matches!(answer, Ok(Ok((StatusCode::OK, _)))) {
                return Some(self.started_at.elapsed());
            }
            sleep(HEALTH_CHECK_INTERVAL).await;
        }
        None
    }

    /// Reads from its operators' counters how many backends it knows; `None` where it does not tell.
    pub async fn known_backends(&self) -> Option<u64> {
        let (_, body) = http::get(self.operator_address, "/control/counters")
            .await
            .ok()?;
        let text = String::from_utf8_lossy(&body);
        text.lines()
            .find_map(|line| line.strip_prefix(KNOWN_BACKENDS_COUNTER)?.parse().ok())
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Where the process does not exist any more.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = i32::try_from(self.pid).ok().and_then(Pid::from_raw);
        match pid.map(|pid| kill_process(pid, signal)) {
            Some(Ok(())) => Ok(()),
            Some(Err(error)) => Err(self.error(ProcessProblem::Signal(error.into()))),
            None => Err(self.error(ProcessProblem::InvalidPid)),
        }
    }

    /// Waits for its end, for at most `limit`.
    ///
    /// # Errors
    /// Where it has not ended by then.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        match timeout(limit, self.child.0.wait()).await {
            Ok(Ok(status)) => Ok(status),
            Ok(Err(source)) => Err(self.error(ProcessProblem::Wait(source))),
            Err(_) => Err(self.error(ProcessProblem::NotExited { limit })),
        }
    }

    /// Checks that it still runs.
    ///
    /// # Errors
    /// Where it has ended; the message holds the end of its log.
    pub fn check_running(&mut self) -> Result<(), ProcessError> {
        match self.child.0.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(self.error(ProcessProblem::ExitedUnexpectedly { status })),
            Err(source) => Err(self.error(ProcessProblem::Wait(source))),
        }
    }

    /// Kills it and waits for its end.
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
