//! Measures one real forwarder process with a backlog of waiting messages: the messages are submitted, then the process
//! is killed and restarted on the same state folder.

use crate::capacity::error::CapacityError;
use crate::capacity::process::forwarder_process::{ForwarderProcess, READY_TIMEOUT};
use crate::capacity::process::load::{submit_all, MessageLoad};
use crate::capacity::process::mock_servers::{start_discovery, unused_address, EndpointList};
use crate::capacity::process::startup_config::{startup_config, StartupOptions};
use crate::capacity::usage::Usage;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time to live of each message: much longer than the measurement, so that no message expires in it.
pub const TIME_TO_LIVE: Duration = Duration::from_secs(3_600);
/// Wait after the last message, in which every destination becomes ejected.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The forwarder program and the load of one measurement.
pub struct BacklogCase {
    /// Path of the forwarder program.
    pub program: PathBuf,
    /// Number of messages to submit.
    pub messages: u32,
    /// Number of destinations, which get the messages in turn; all of them refuse connections.
    pub destinations: u32,
    /// Messages submitted per second.
    pub rate: u64,
}

/// The figures of one forwarder process at one backlog size.
#[derive(Clone, Debug)]
pub struct ProcessBacklogMeasurement {
    /// Number of messages submitted.
    pub submitted: u64,
    /// Number of messages that the forwarder answered with status 202.
    pub accepted: u64,
    /// Number of completion reports received before the kill.
    pub completion_reports: u64,
    /// Time from the first start, with an empty state folder, until the forwarder is ready, in s.
    pub ready_empty_s: f64,
    /// Time from the start after the kill until the forwarder is ready again, in s.
    pub ready_after_restart_s: f64,
    /// Usage when the forwarder is ready for the first time, before any message.
    pub usage_before: Usage,
    /// Usage after the last message, when all destinations are ejected.
    pub usage_with_backlog: Usage,
    /// Usage when the forwarder is ready again after the kill.
    pub usage_after_restart: Usage,
    /// Total size of the files in the state folder at the kill, in bytes.
    pub journal_bytes: u64,
}

impl ProcessBacklogMeasurement {
    /// Returns the number of messages that were accepted and not reported as completed.
    pub fn waiting(&self) -> f64 {
        self.accepted as f64 - self.completion_reports as f64
    }
}

/// Returns the total size of all files in a folder and its subfolders, in bytes.
fn folder_bytes(folder: &Path) -> std::io::Result<u64> {
    let mut bytes = 0;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        bytes += if metadata.is_dir() {
            folder_bytes(&entry.path())?
        } else {
            metadata.len()
        };
    }
    Ok(bytes)
}

/// Builds up the backlog in one forwarder, kills the process and restarts it on the same folder. Fails if the forwarder
/// can't be started or is not ready within [`READY_TIMEOUT`].
pub async fn measure(
    case: &BacklogCase,
    startup: &StartupOptions,
) -> Result<ProcessBacklogMeasurement, CapacityError> {
    let folder = tempfile::tempdir()?;
    let listen = unused_address().await?;
    // No process listens at the endpoints, so each of them refuses connections.
    let list = EndpointList {
        target_count: case.destinations,
        port: unused_address().await?.port(),
    };
    let (discovery, completion_reports) = start_discovery(list.to_json().to_string()).await?;
    let config = startup_config(startup, listen, discovery, Some(list.to_json()));
    let start = || ForwarderProcess::start(&case.program, folder.path(), listen, &config);
    let started = Instant::now();
    let mut forwarder = start()?;
    let ready_empty_s = forwarder.wait_until_ready(started, READY_TIMEOUT).await?;
    let usage_before = forwarder.usage()?;
    let accepted = submit_backlog(case, startup, listen).await;
    let usage_with_backlog = forwarder.usage()?;
    let completion_reports = completion_reports.load(Ordering::Relaxed);
    forwarder.child.kill().await?;
    let journal_bytes = folder_bytes(&folder.path().join("state"))?;
    let started = Instant::now();
    let mut forwarder = start()?;
    let ready_after_restart_s = forwarder.wait_until_ready(started, READY_TIMEOUT).await?;
    let usage_after_restart = forwarder.usage()?;
    forwarder.child.kill().await?;
    Ok(ProcessBacklogMeasurement {
        submitted: u64::from(case.messages),
        accepted,
        completion_reports,
        ready_empty_s,
        ready_after_restart_s,
        usage_before,
        usage_with_backlog,
        usage_after_restart,
        journal_bytes,
    })
}

/// Submits the messages to the destinations in turn and waits for [`SETTLE_TIME`]; returns the number of accepted
/// messages.
async fn submit_backlog(case: &BacklogCase, startup: &StartupOptions, listen: SocketAddr) -> u64 {
    let destinations = (0..case.messages).map(|index| index % case.destinations);
    let messages = MessageLoad {
        destinations: destinations.collect(),
        rate: case.rate,
        time_to_live: startup.time_to_live,
    };
    let accepted = Arc::new(AtomicU64::new(0));
    submit_all(messages, listen, accepted.clone()).await;
    tokio::time::sleep(SETTLE_TIME).await;
    accepted.load(Ordering::Relaxed)
}
