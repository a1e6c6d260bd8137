//! One process of the real program.

use super::http;
use crate::error::LabError;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{sleep, timeout};

/// A process that does not listen after this time has failed.
const LISTENS_WITHIN: Duration = Duration::from_secs(20);
/// How often a process is asked whether it serves.
const ASK_EVERY: Duration = Duration::from_millis(10);
/// How long the end of a process that was killed is waited for.
const KILLED_WITHIN: Duration = Duration::from_secs(2);
/// Lines of its log that are kept, for when it fails.
const KEPT_LINES: usize = 10;
/// What the log says before the two addresses.
const OPERATOR_AT: &str = "operators call ";
const LISTENS_AT: &str = "listens on ";

/// The last lines of a process's log.
#[derive(Debug, Default)]
struct LogTail(Mutex<VecDeque<String>>);

impl LogTail {
    fn push(&self, line: String) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_back(line);
        if lines.len() > KEPT_LINES {
            lines.pop_front();
        }
    }

    fn text(&self) -> String {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines
            .iter()
            .map(String::as_str)
            .collect::<Vec<_>>()
            .join("\n")
    }
}

/// A child process that has ended when this is gone: dropped, it kills the process and waits for its end.
#[derive(Debug)]
struct OwnedChild(Child);

impl Drop for OwnedChild {
    fn drop(&mut self) {
        let _ = self.0.start_kill();
        // Nobody can wait here without blocking; a killed process ends within milliseconds.
        let began = Instant::now();
        while matches!(self.0.try_wait(), Ok(None)) && began.elapsed() < KILLED_WITHIN {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// A running process. It is killed when this is dropped.
#[derive(Debug)]
pub struct RealProcess {
    name: String,
    child: OwnedChild,
    pid: u32,
    started: Instant,
    address: SocketAddr,
    operator: SocketAddr,
    log: Arc<LogTail>,
}

/// Program and configuration file of a process.
#[derive(Clone, Debug)]
pub struct Launch {
    /// Name for messages, such as `proxy-3`.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// Its configuration file.
    pub config: PathBuf,
}

impl RealProcess {
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    /// Where it can't be started, or ends or says nothing before it listens.
    pub async fn start(launch: &Launch) -> Result<Self, LabError> {
        let mut command = Command::new(&launch.program);
        // What the lab's own environment says is for the lab.
        command.env_clear().env("EDGE_CONFIG", &launch.config);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let failed = |why: String| LabError::Failed(format!("{}: {why}", launch.name));
        let started = Instant::now();
        let mut child = command.spawn().map(OwnedChild).map_err(|error| {
            failed(format!(
                "cannot start {}: {error}",
                launch.program.display()
            ))
        })?;
        let pid = child
            .0
            .id()
            .ok_or_else(|| failed("it ended at once".to_owned()))?;
        tracing::debug!("{} is process {pid}", launch.name);
        let stderr = child
            .0
            .stderr
            .take()
            .ok_or_else(|| failed("no standard error".to_owned()))?;
        let mut lines = BufReader::new(stderr).lines();
        let log = Arc::new(LogTail::default());
        let addresses = timeout(LISTENS_WITHIN, read_addresses(&mut lines, &log)).await;
        let (address, operator) = addresses.ok().flatten().ok_or_else(|| {
            failed(format!(
                "process {pid} did not say where it listens; its log: {}",
                log.text()
            ))
        })?;
        tokio::spawn(follow_log(lines, Arc::clone(&log)));
        Ok(Self {
            name: launch.name.clone(),
            child,
            pid,
            started,
            address,
            operator,
            log,
        })
    }

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Where clients connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until it serves; the time since it was started. `None` if it does not within `limit` of its
    /// start.
    pub async fn wait_until_up(&self, limit: Duration) -> Option<Duration> {
        while self.started.elapsed() < limit {
            let answer = timeout(limit, http::get(self.address, "/up")).await;
            if matches!(answer, Ok(Ok((hyper::StatusCode::OK, _)))) {
                return Some(self.started.elapsed());
            }
            sleep(ASK_EVERY).await;
        }
        None
    }

    /// Backends that it knows, by its operators' figures; `None` if it does not tell.
    pub async fn known_backends(&self) -> Option<u64> {
        let (_, text) = http::get(self.operator, "/control/counters").await.ok()?;
        let text = String::from_utf8_lossy(&text).into_owned();
        text.lines()
            .find_map(|line| line.strip_prefix("app_known_backends ")?.parse().ok())
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Where there is no such process any more.
    pub fn signal(&self, signal: Signal) -> Result<(), LabError> {
        let pid = i32::try_from(self.pid).ok().and_then(Pid::from_raw);
        let sent = pid.is_some_and(|pid| kill_process(pid, signal).is_ok());
        if sent {
            Ok(())
        } else {
            Err(self.failure("there is no such process to signal"))
        }
    }

    /// Waits for its end, for so long.
    ///
    /// # Errors
    /// Where it has not ended by then.
    pub async fn wait_for_end(&mut self, limit: Duration) -> Result<ExitStatus, LabError> {
        match timeout(limit, self.child.0.wait()).await {
            Ok(Ok(status)) => Ok(status),
            Ok(Err(error)) => Err(self.failure(&error.to_string())),
            Err(_) => Err(self.failure(&format!("still runs after {limit:?}"))),
        }
    }

    /// Checks that it runs.
    ///
    /// # Errors
    /// Where it has ended; the message holds the end of its log.
    pub fn check(&mut self) -> Result<(), LabError> {
        match self.child.0.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(self.failure(&format!("ended by itself, {status}"))),
            Err(error) => Err(self.failure(&error.to_string())),
        }
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        if let Err(error) = self.child.0.kill().await {
            tracing::warn!(
                "{}: process {} can't be killed: {error}",
                self.name,
                self.pid
            );
        }
    }

    fn failure(&self, why: &str) -> LabError {
        let (name, pid) = (&self.name, self.pid);
        LabError::Failed(format!(
            "{name} (process {pid}) {why}; its log ends with:\n{}",
            self.log.text()
        ))
    }
}

/// Reads the log up to both addresses.
async fn read_addresses(
    lines: &mut Lines<BufReader<ChildStderr>>,
    log: &LogTail,
) -> Option<(SocketAddr, SocketAddr)> {
    let address_behind = |line: &str, words: &str| line.rsplit_once(words)?.1.trim().parse().ok();
    let (mut address, mut operator) = (None, None);
    while let Ok(Some(line)) = lines.next_line().await {
        operator = operator.or_else(|| address_behind(&line, OPERATOR_AT));
        address = address.or_else(|| address_behind(&line, LISTENS_AT));
        log.push(line);
        if let (Some(address), Some(operator)) = (address, operator) {
            return Some((address, operator));
        }
    }
    None
}

async fn follow_log(mut lines: Lines<BufReader<ChildStderr>>, log: Arc<LogTail>) {
    while let Ok(Some(line)) = lines.next_line().await {
        tracing::trace!("{line}");
        log.push(line);
    }
}

/// Checks that the program is there.
///
/// # Errors
/// Where it is not; the message says how to get it.
pub fn check_program(program: &Path) -> Result<(), LabError> {
    if program.is_file() {
        return Ok(());
    }
    let program = program.display();
    Err(LabError::Failed(format!(
        "there is no proxy at {program}: run `cargo build --release` or name one by --proxy"
    )))
}
