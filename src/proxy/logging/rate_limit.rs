//! A writer to standard error that writes a limited number of lines per second and counts the lines beyond the limit.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

const PERIOD: Duration = Duration::from_secs(1);

/// The limit of lines per [`PERIOD`], with the lines of the current period.
#[derive(Debug)]
struct LineLimit {
    lines_per_period: u32,
    /// The start of the current period, or `None` before the first line.
    period_start: Option<Instant>,
    /// The number of lines in the current period, including suppressed ones.
    lines: u32,
}

/// Whether a line is written.
#[derive(Debug, PartialEq, Eq)]
enum Admission {
    /// The line is written. `suppressed` lines directly before it were not written.
    Admitted { suppressed: u32 },
    /// The line is not written.
    Suppressed,
}

impl LineLimit {
    fn new(lines_per_period: u32) -> Self {
        Self {
            lines_per_period,
            period_start: None,
            lines: 0,
        }
    }

    /// Counts a line at `now`, and decides whether it is written.
    fn admit(&mut self, now: Instant) -> Admission {
        if self.is_period_over(now) {
            let suppressed = self.lines.saturating_sub(self.lines_per_period);
            self.period_start = Some(now);
            self.lines = 1;
            return Admission::Admitted { suppressed };
        }
        self.lines = self.lines.saturating_add(1);
        if self.lines <= self.lines_per_period {
            Admission::Admitted { suppressed: 0 }
        } else {
            Admission::Suppressed
        }
    }

    fn is_period_over(&self, now: Instant) -> bool {
        match self.period_start {
            None => true,
            Some(start) => now.saturating_duration_since(start) >= PERIOD,
        }
    }
}

/// Creates a [`LineWriter`] for each line. All clones share one limit.
#[derive(Clone, Debug)]
pub(super) struct RateLimitedWriter(Arc<Mutex<LineLimit>>);

impl RateLimitedWriter {
    pub(super) fn new(lines_per_second: u32) -> Self {
        Self(Arc::new(Mutex::new(LineLimit::new(lines_per_second))))
    }
}

impl<'a> MakeWriter<'a> for RateLimitedWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        let mut limit = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        LineWriter(limit.admit(Instant::now()))
    }
}

/// Writer for one line. Failures to write to standard error are ignored: the proxy continues without a log.
pub(super) struct LineWriter(Admission);

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut output = io::stderr().lock();
        match self.0 {
            Admission::Suppressed => return Ok(bytes.len()),
            Admission::Admitted { suppressed: 0 } => {}
            Admission::Admitted { suppressed } => {
                let _ = writeln!(output, "({suppressed} lines left out)");
                self.0 = Admission::Admitted { suppressed: 0 };
            }
        }
        let _ = output.write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
