//! One real forwarder with so many messages that wait: submitted, then killed and started again on the same folder.

use crate::capacity::error::CapacityError;
use crate::capacity::process::load::{load, Load};
use crate::capacity::process::standins::{discovery, nowhere, Listed};
use crate::capacity::process::startup_config::{startup_config, Shape};
use crate::capacity::process::subject::{Subject, READY_WITHIN};
use crate::capacity::usage::Usage;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time to live of a message: long beside the measurement, so that none ends in it.
pub const EXPIRY: Duration = Duration::from_secs(3_600);
/// After the last message, until every destination is ejected.
const SETTLED: Duration = Duration::from_secs(3);

/// What one size is measured with.
pub struct Setup {
    pub program: PathBuf,
    pub messages: u32,
    pub destinations: u32,
    /// Messages a second
    pub rate: u64,
}

/// What was measured; a time that was never reached is not a number.
#[derive(Clone, Debug)]
pub struct ProcessPoint {
    pub submitted: u64,
    pub taken: u64,
    /// Notices of a message's end that came before the kill.
    pub completion_reports: u64,
    /// From a start with an empty folder until it is up, and from the one after the kill, s.
    pub ready_empty: f64,
    pub ready_again: f64,
    pub before: Usage,
    pub with_backlog: Usage,
    pub at_ready_again: Usage,
    /// Bytes of the files in its folder at the kill.
    pub journal: u64,
}

impl ProcessPoint {
    /// Messages that were taken and have not ended.
    pub fn waiting(&self) -> f64 {
        self.taken as f64 - self.completion_reports as f64
    }
}

fn folder_bytes(folder: &Path) -> std::io::Result<u64> {
    let mut bytes = 0;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let about = entry.metadata()?;
        bytes += if about.is_dir() {
            folder_bytes(&entry.path())?
        } else {
            about.len()
        };
    }
    Ok(bytes)
}

/// Lets so many messages wait in one forwarder, kills it and starts it again on the same folder.
pub async fn measure(setup: &Setup, shape: &Shape) -> Result<ProcessPoint, CapacityError> {
    let folder = tempfile::tempdir()?;
    let listen = nowhere().await?;
    // Nobody listens at the endpoints: each refuses connections.
    let list = Listed {
        targets: setup.destinations,
        port: nowhere().await?.port(),
    };
    let (discovery, completion_reports) = discovery(list.text().to_string()).await?;
    let config = startup_config(shape, listen, discovery, Some(list.text()));
    let start = || Subject::start(&setup.program, folder.path(), listen, &config);
    let started = Instant::now();
    let mut subject = start()?;
    let ready_empty = subject.ready(started, READY_WITHIN).await?;
    let before = subject.usage()?;
    let taken = submit(setup, shape, listen).await;
    let with_backlog = subject.usage()?;
    let completion_reports = completion_reports.load(Ordering::Relaxed);
    subject.child.kill().await?;
    let journal = folder_bytes(&folder.path().join("state"))?;
    let started = Instant::now();
    let mut subject = start()?;
    let ready_again = subject.ready(started, READY_WITHIN).await?;
    let at_ready_again = subject.usage()?;
    subject.child.kill().await?;
    Ok(ProcessPoint {
        submitted: u64::from(setup.messages),
        taken,
        completion_reports,
        ready_empty,
        ready_again,
        before,
        with_backlog,
        at_ready_again,
        journal,
    })
}

/// Submits the messages, a destination after the other, and waits until all is settled; gives how many were accepted.
async fn submit(setup: &Setup, shape: &Shape, listen: SocketAddr) -> u64 {
    let draws = (0..setup.messages).map(|number| number % setup.destinations);
    let messages = Load {
        draws: draws.collect(),
        rate: setup.rate,
        time: shape.expiry,
    };
    let accepted = Arc::new(AtomicU64::new(0));
    load(messages, listen, accepted.clone()).await;
    tokio::time::sleep(SETTLED).await;
    accepted.load(Ordering::Relaxed)
}
