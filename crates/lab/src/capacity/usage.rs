//! What a process uses, from the kernel's own account.

use crate::capacity::error::CapacityError;
use nix::time::{clock_gettime, ClockId};
use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4096; // bytes, on every Linux that this runs on

/// Processor time of this process so far, user and system.
pub fn own_processor_time() -> Result<Duration, CapacityError> {
    let processor_time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
    processor_time
        .map(Duration::from)
        .map_err(CapacityError::ProcessorTime)
}

/// Resident memory of this process, bytes.
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

/// What another process uses at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory now and at its highest, bytes.
    pub resident_bytes: u64,
    pub peak_resident_bytes: u64,
    /// Processor time of all its threads that still run, user and system.
    pub processor_time: Duration,
    pub descriptors: usize,
}

impl Usage {
    /// What a process uses now, by its id.
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
            // A thread that has ended since it was listed is none.
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
