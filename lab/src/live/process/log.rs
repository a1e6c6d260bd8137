//! The log of a proxy process: its listen addresses, and its last lines for error messages.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use tokio::io::{BufReader, Lines};
use tokio::process::ChildStderr;

/// Lines that are kept for error messages.
const KEPT_LINES: usize = 10;
/// What the log line with the operators' address says before it.
const OPERATOR_ADDRESS_PREFIX: &str = "operators call ";
/// What the log line with the clients' address says before it.
const CLIENT_ADDRESS_PREFIX: &str = "listens on ";

/// Lines of the log of a process.
pub(super) type LogLines = Lines<BufReader<ChildStderr>>;

/// The last lines of the log of a process.
#[derive(Debug, Default)]
pub(super) struct LogTail(Mutex<VecDeque<String>>);

/// Addresses that a process listens at.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListenAddresses {
    /// For clients.
    pub(super) clients: SocketAddr,
    /// For operators.
    pub(super) operators: SocketAddr,
}

impl LogTail {
    fn push(&self, line: String) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_back(line);
        if lines.len() > KEPT_LINES {
            lines.pop_front();
        }
    }

    /// Returns the lines, joined by line feeds.
    pub(super) fn text(&self) -> String {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        lines.join("\n")
    }
}

/// Reads the log until it has named both addresses; `None` where it ends before that.
pub(super) async fn read_addresses(lines: &mut LogLines, log: &LogTail) -> Option<ListenAddresses> {
    let mut client_address = None;
    let mut operator_address = None;
    while let Ok(Some(line)) = lines.next_line().await {
        operator_address =
            operator_address.or_else(|| address_after(&line, OPERATOR_ADDRESS_PREFIX));
        client_address = client_address.or_else(|| address_after(&line, CLIENT_ADDRESS_PREFIX));
        log.push(line);
        if let (Some(clients), Some(operators)) = (client_address, operator_address) {
            return Some(ListenAddresses { clients, operators });
        }
    }
    None
}

/// Reads the address that a line ends with, after `prefix`.
fn address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    let (_, address) = line.rsplit_once(prefix)?;
    address.trim().parse().ok()
}

/// Keeps the last lines of the log until it ends.
pub(super) async fn follow(mut lines: LogLines, log: std::sync::Arc<LogTail>) {
    while let Ok(Some(line)) = lines.next_line().await {
        tracing::trace!("{line}");
        log.push(line);
    }
}
