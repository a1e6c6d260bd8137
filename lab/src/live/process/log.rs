//! The log of a proxy process: parses the listen addresses and keeps the last lines for error messages.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use tokio::io::{BufReader, Lines};
use tokio::process::ChildStderr;

/// Number of log lines kept for error messages.
const KEPT_LINES: usize = 10;
/// Text before the operators' address in the proxy's start line.
const OPERATOR_ADDRESS_PREFIX: &str = "operators call ";
/// Text before the clients' address in the proxy's start line.
const CLIENT_ADDRESS_PREFIX: &str = "listens on ";

/// Reader of the log lines of a process.
pub(super) type LogLines = Lines<BufReader<ChildStderr>>;

/// The last lines of the log of a process, at most [`KEPT_LINES`].
#[derive(Debug, Default)]
pub(super) struct LogTail(Mutex<VecDeque<String>>);

/// Addresses on which a process listens.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListenAddresses {
    /// Address for requests of clients.
    pub(super) clients: SocketAddr,
    /// Address for calls of operators.
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

    /// Returns the kept lines, joined by line feeds.
    pub(super) fn text(&self) -> String {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        lines.join("\n")
    }
}

/// Reads the log until both addresses have been logged and returns them; `None` if the log ends earlier.
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

/// Parses the address between `prefix` and the end of a line.
fn address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    let (_, address) = line.rsplit_once(prefix)?;
    address.trim().parse().ok()
}

/// Reads the log until it ends and keeps its last lines.
pub(super) async fn keep_last_lines(mut lines: LogLines, log: std::sync::Arc<LogTail>) {
    while let Ok(Some(line)) = lines.next_line().await {
        tracing::trace!("{line}");
        log.push(line);
    }
}
