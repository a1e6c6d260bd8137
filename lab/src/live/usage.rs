//! Reads the resource usage of processes and the load average of the machine from `/proc`.

use procfs::ProcResult;
use procfs::process::Process;
use serde::Serialize;
use std::time::Duration;

/// Resource usage of a process at one moment.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// Process id.
    pub pid: u32,
    /// User and system processor time since the start of the process.
    pub processor_time: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Peak resident memory since the start of the process, in KiB.
    pub peak_resident_kib: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads the current usage of a process.
    ///
    /// # Errors
    /// The process does not exist, or `/proc` can't be read.
    pub fn read(pid: u32) -> ProcResult<Self> {
        let process = Process::new(i32::try_from(pid).unwrap_or_default())?;
        let status = process.status()?;
        Ok(Self {
            pid,
            processor_time: processor_time(&process)?,
            resident_kib: status.vmrss.unwrap_or_default(),
            peak_resident_kib: status.vmhwm.unwrap_or_default(),
            descriptors: process.fd_count()?,
        })
    }
}

/// Reads the processor time of the lab itself since its start.
///
/// # Errors
/// `/proc` can't be read.
pub fn own_processor_time() -> ProcResult<Duration> {
    processor_time(&Process::myself()?)
}

/// Reads the load average of the machine over one minute; `None` if it can't be read.
#[must_use]
pub fn load_average() -> Option<f32> {
    use procfs::Current;
    procfs::LoadAverage::current().ok().map(|load| load.one)
}

/// Reads the processor time since the start of a process: in nanoseconds for a process with a single thread, otherwise
/// in clock ticks (10 ms).
fn processor_time(process: &Process) -> ProcResult<Duration> {
    let stat = process.stat()?;
    if stat.num_threads == 1
        && let Ok(schedule) = process.schedstat()
    {
        return Ok(Duration::from_nanos(schedule.sum_exec_runtime));
    }
    let ticks = (stat.utime + stat.stime) as f64;
    Ok(Duration::from_secs_f64(
        ticks / procfs::ticks_per_second() as f64,
    ))
}
