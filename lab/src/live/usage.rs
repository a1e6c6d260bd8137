//! Resource usage of processes and load of the machine, read from `/proc`.

use procfs::ProcResult;
use procfs::process::Process;
use serde::Serialize;
use std::time::Duration;

/// Resources of a process at one moment.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// Its process id.
    pub pid: u32,
    /// Processor time since its start, user and system.
    pub processor_time: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// The most resident memory so far, in KiB.
    pub peak_resident_kib: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads the present usage of a process.
    ///
    /// # Errors
    /// Where there is no such process, or `/proc` can't be read.
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

/// Reads the processor time of the lab itself so far.
///
/// # Errors
/// Where `/proc` can't be read.
pub fn own_processor_time() -> ProcResult<Duration> {
    processor_time(&Process::myself()?)
}

/// Reads the load average of the machine over one minute; `None` where it can't be read.
#[must_use]
pub fn load_average() -> Option<f32> {
    use procfs::Current;
    procfs::LoadAverage::current().ok().map(|load| load.one)
}

/// Reads the processor time so far: exact for a single thread, else in ticks of the clock (10 ms).
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
