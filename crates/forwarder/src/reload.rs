//! SIGHUP: the start-up configuration is read again. The platform's address is taken over; other keys count from the next start.

use crate::startup_config::{ConfigError, FixedConfig, StartupConfig};
use slog::{error, info, warn, Logger};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const REREAD: Duration = Duration::from_millis(100); // between looks at papers that can't be used: someone may be writing them
/// From the signal on, for papers to become whole. Half of what the platform gives until the new address's news count as told.
const WRITTEN_WITHIN: Duration = Duration::from_secs(2);

/// Reads the start-up configuration again.
pub type Reread = Box<dyn Fn() -> Result<StartupConfig, ConfigError> + Send>;

pub async fn run(
    mut hang_up: mpsc::Receiver<()>,
    mut reread: Reread,
    fixed: FixedConfig,
    discovery: watch::Sender<SocketAddr>,
    log: Logger,
) {
    while hang_up.recv().await.is_some() {
        let startup = match read_whole(&mut reread).await {
            Ok(startup) => startup,
            Err(problem) => {
                error!(log, "the papers can't be used, the old ones stay"; "problem" => %problem);
                continue;
            }
        };
        // The file is newer than the environment of a running process.
        let address = startup.discovery_in_file.unwrap_or(startup.discovery);
        info!(log, "papers read again"; "discovery" => %address);
        if startup.fixed() != fixed {
            warn!(
                log,
                "other keys than discovery have changed: they count from the next start"
            );
        }
        // Told also where it is the same: a platform that asks for a reload has reasons to be asked anew.
        discovery.send_replace(address);
    }
}

/// Reads the papers, again and again while they can't be used, as where the signal came before the last byte of the file.
async fn read_whole(reread: &mut Reread) -> Result<StartupConfig, ConfigError> {
    let last = Instant::now() + WRITTEN_WITHIN;
    loop {
        match reread() {
            Err(_) if Instant::now() < last => tokio::time::sleep(REREAD).await,
            read => return read,
        }
    }
}
