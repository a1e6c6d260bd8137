//! A writer to standard error that passes on so many lines a second and counts the others.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

const PERIOD: Duration = Duration::from_secs(1);

/// The lines of the present second.
#[derive(Debug)]
struct LineCount {
    most: u32,
    period_began: Option<Instant>,
    lines: u32,
}

/// Whether a line may be written.
#[derive(Debug, PartialEq, Eq)]
enum Admission {
    /// It may; so many lines before it were not written.
    Admitted {
        left_out: u32,
    },
    Refused,
}

impl LineCount {
    fn new(most: u32) -> Self {
        Self {
            most,
            period_began: None,
            lines: 0,
        }
    }

    /// Counts one more line at `now`.
    fn admit(&mut self, now: Instant) -> Admission {
        if self
            .period_began
            .is_none_or(|began| now.saturating_duration_since(began) >= PERIOD)
        {
            let left_out = self.lines.saturating_sub(self.most);
            (self.period_began, self.lines) = (Some(now), 1);
            return Admission::Admitted { left_out };
        }
        self.lines = self.lines.saturating_add(1);
        if self.lines <= self.most {
            Admission::Admitted { left_out: 0 }
        } else {
            Admission::Refused
        }
    }
}

/// Makes a writer for each line.
#[derive(Clone, Debug)]
pub(super) struct RateLimitedWriter(Arc<Mutex<LineCount>>);

impl RateLimitedWriter {
    pub(super) fn new(lines_per_second: u32) -> Self {
        Self(Arc::new(Mutex::new(LineCount::new(lines_per_second))))
    }
}

impl<'a> MakeWriter<'a> for RateLimitedWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        let mut count = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        LineWriter(count.admit(Instant::now()))
    }
}

/// Takes one line. A standard error that nobody reads is no error: the proxy serves on without its log.
pub(super) struct LineWriter(Admission);

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut output = io::stderr().lock();
        match self.0 {
            Admission::Refused => return Ok(bytes.len()),
            Admission::Admitted { left_out: 0 } => {}
            Admission::Admitted { left_out } => {
                let _ = writeln!(output, "({left_out} lines left out)");
                self.0 = Admission::Admitted { left_out: 0 };
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
