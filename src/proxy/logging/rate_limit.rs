//! A writer to standard error that writes so many lines a second and counts the others.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

const PERIOD: Duration = Duration::from_secs(1);

/// Counts the lines of the present period.
#[derive(Debug)]
struct LineLimit {
    lines_per_period: u32,
    period_start: Option<Instant>,
    lines: u32,
}

/// Whether a line is written.
#[derive(Debug, PartialEq, Eq)]
enum Admission {
    /// It is written; `suppressed` lines before it were not.
    Admitted { suppressed: u32 },
    /// It is not.
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

    /// Counts one more line at `now`.
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

/// Makes a writer for each line.
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

/// Writes one line. A standard error that cannot be written to is ignored: the proxy serves on
/// without its log.
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
