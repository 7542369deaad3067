//! One real forwarder with so many messages that wait: submitted, then killed and started again on the same folder.

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

/// The time to live of a message: long beside the measurement, so that none ends in it.
pub const TIME_TO_LIVE: Duration = Duration::from_secs(3_600);
/// After the last message, until every destination is ejected.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// What one size is measured with.
pub struct BacklogCase {
    pub program: PathBuf,
    pub messages: u32,
    pub destinations: u32,
    /// Messages a second
    pub rate: u64,
}

/// What was measured; a time that was never reached is not a number.
#[derive(Clone, Debug)]
pub struct ProcessBacklogMeasurement {
    pub submitted: u64,
    pub accepted: u64,
    /// Notices of a message's end that came before the kill.
    pub completion_reports: u64,
    /// From a start with an empty folder until it is up, and from the one after the kill, s.
    pub ready_empty_s: f64,
    pub ready_after_restart_s: f64,
    pub usage_before: Usage,
    pub usage_with_backlog: Usage,
    pub usage_after_restart: Usage,
    /// Bytes of the files in its folder at the kill.
    pub journal_bytes: u64,
}

impl ProcessBacklogMeasurement {
    /// Messages that were taken and have not ended.
    pub fn waiting(&self) -> f64 {
        self.accepted as f64 - self.completion_reports as f64
    }
}

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

/// Lets so many messages wait in one forwarder, kills it and starts it again on the same folder.
pub async fn measure(
    case: &BacklogCase,
    startup: &StartupOptions,
) -> Result<ProcessBacklogMeasurement, CapacityError> {
    let folder = tempfile::tempdir()?;
    let listen = unused_address().await?;
    // Nobody listens at the endpoints: each refuses connections.
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

/// Submits the messages, a destination after the other, and waits until all is settled; gives how many were accepted.
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
