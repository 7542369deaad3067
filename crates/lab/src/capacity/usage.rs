//! Resource usage of a process, read from `/proc` and the processor-time clock of Linux.

use crate::capacity::error::CapacityError;
use nix::time::{clock_gettime, ClockId};
use std::fs;
use std::time::Duration;

/// Page size in bytes, the unit of `/proc/self/statm`; the same on every Linux that the laboratory runs on.
const PAGE_BYTES: u64 = 4096;

/// Returns the user and system time of this process since its start.
pub fn own_processor_time() -> Result<Duration, CapacityError> {
    let processor_time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
    processor_time
        .map(Duration::from)
        .map_err(CapacityError::ProcessorTime)
}

/// Returns the resident memory of this process, in bytes.
pub fn own_resident_bytes() -> Result<u64, CapacityError> {
    let path = "/proc/self/statm";
    let text = fs::read_to_string(path).map_err(CapacityError::file(path))?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages
        .map(|pages| pages * PAGE_BYTES)
        .ok_or_else(|| CapacityError::MalformedProcFile {
            path: path.to_owned(),
            text: text.clone(),
        })
}

/// Resource usage of a process at one instant.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Highest resident memory since the start of the process, in bytes.
    pub peak_resident_bytes: u64,
    /// User and system time of all threads that are still running; the time of an exited thread is not included.
    pub processor_time: Duration,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads the current usage of a process. Fails if the process does not exist or its files in `/proc` can't be read.
    pub fn of(pid: u32) -> Result<Usage, CapacityError> {
        let read = |name: &str| {
            let path = format!("/proc/{pid}/{name}");
            fs::read_to_string(&path).map_err(CapacityError::file(path))
        };
        let status = read("status")?;
        let status_bytes = |name: &str| {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix(name)?.strip_suffix(" kB"));
            let kilobytes = line.and_then(|line| line.trim().parse::<u64>().ok());
            kilobytes
                .map(|kb| kb * 1024)
                .ok_or_else(|| CapacityError::MissingStatusLine {
                    pid,
                    name: name.to_owned(),
                })
        };
        let entries = |name: &str| {
            let path = format!("/proc/{pid}/{name}");
            fs::read_dir(&path).map_err(CapacityError::file(path))
        };
        let mut nanoseconds = 0;
        for thread in entries("task")?.flatten() {
            let schedstat = read(&format!(
                "task/{}/schedstat",
                thread.file_name().to_string_lossy()
            ));
            // A thread may have exited since the folder was listed; it counts as 0.
            let run_time = schedstat
                .ok()
                .and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
            nanoseconds += run_time.unwrap_or(0);
        }
        Ok(Usage {
            resident_bytes: status_bytes("VmRSS:")?,
            peak_resident_bytes: status_bytes("VmHWM:")?,
            processor_time: Duration::from_nanos(nanoseconds),
            descriptors: entries("fd")?.count(),
        })
    }
}
