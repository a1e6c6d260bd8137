//! The proxy on real sockets. It carries out what the [`Balancer`](crate::balancer::Balancer) decides and
//! reports what came of it; it never picks a backend, retries, holds or refuses by itself.

pub mod backends;
pub mod bodies;
pub mod budget;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connections;
pub mod counters;
pub mod discovery;
pub mod driver;
pub mod framing;
pub mod inherited;
pub mod lifecycle;
pub mod operator;
pub mod read_ahead;
pub mod socket;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};

/// What is held whole of any body; beyond it, the first bytes of an answer matter.
pub const BODY_CAP: usize = 64 * 1024;

/// The largest body that is passed on, either way. They reach 32 MB.
pub const PASS_CAP: u64 = 40 << 20;

/// How long a backend may say nothing, and a client take nothing, of an answer that has begun.
const ANSWER_STALL: Duration = Duration::from_secs(10);

/// The lines of the log in a second; no peer can make it grow faster.
const LOG_LINES_PER_SECOND: u32 = 100;

thread_local! {
    /// When the present second of the log began, and its lines so far.
    static LOG_LINES: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Whether a further line of the log may be written at `now`, and how many lines before it were not.
fn admit_line(now: Instant, lines: &Cell<(Option<Instant>, u32)>) -> Option<u32> {
    let (began, count) = lines.get();
    if began.is_none_or(|began| now.saturating_duration_since(began).as_secs() >= 1) {
        lines.set((Some(now), 1));
        return Some(count.saturating_sub(LOG_LINES_PER_SECOND));
    }
    lines.set((began, count.saturating_add(1)));
    (count < LOG_LINES_PER_SECOND).then_some(0)
}

/// Connects to a backend or to discovery. The socket is made first and connected then: made and connected in
/// one call, most connects of whole fleets were seen to fail with EBADF on the bench's clock.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// A line for the operators. Unlike `eprintln!` it does not panic when nobody reads standard error.
pub fn log(line: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let Some(left_out) = LOG_LINES.with(|lines| admit_line(Instant::now(), lines)) else { return };
    if left_out > 0 {
        let _ = writeln!(std::io::stderr(), "({left_out} lines left out)");
    }
    let _ = writeln!(std::io::stderr(), "{line}");
}

#[cfg(test)]
mod tests;
