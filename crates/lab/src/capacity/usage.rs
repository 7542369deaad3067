//! What a process uses, from the kernel's own account.

use crate::capacity::error::CapacityError;
use nix::time::{clock_gettime, ClockId};
use std::fs;
use std::time::Duration;

const PAGE: u64 = 4096; // bytes, on every Linux that this runs on

/// Processor time of this process so far, user and system.
pub fn own_processor_time() -> Result<Duration, CapacityError> {
    let used = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
    used.map(Duration::from)
        .map_err(CapacityError::ProcessorTime)
}

/// Resident memory of this process, bytes.
pub fn own_memory() -> Result<u64, CapacityError> {
    let path = "/proc/self/statm";
    let text = fs::read_to_string(path).map_err(CapacityError::file(path))?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages
        .map(|pages| pages * PAGE)
        .ok_or_else(|| CapacityError::Account {
            path: path.to_owned(),
            text: text.clone(),
        })
}

/// What another process uses at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory now and at its highest, bytes.
    pub memory: u64,
    pub memory_peak: u64,
    /// Processor time of all its threads that still run, user and system.
    pub processor: Duration,
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
        let memory = |name: &str| {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix(name)?.strip_suffix(" kB"));
            let kilobytes = line.and_then(|line| line.trim().parse::<u64>().ok());
            kilobytes
                .map(|kb| kb * 1024)
                .ok_or_else(|| CapacityError::NoStatusLine {
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
            let schedule = read(&format!(
                "task/{}/schedstat",
                thread.file_name().to_string_lossy()
            ));
            // A thread that has ended since it was listed is none.
            let used = schedule
                .ok()
                .and_then(|s| s.split_whitespace().next()?.parse::<u64>().ok());
            nanoseconds += used.unwrap_or(0);
        }
        Ok(Usage {
            memory: memory("VmRSS:")?,
            memory_peak: memory("VmHWM:")?,
            processor: Duration::from_nanos(nanoseconds),
            descriptors: entries("fd")?.count(),
        })
    }
}
