//! SIGHUP: the start-up configuration is read again. The platform's address changes at once, other keys at the next start.

use crate::startup_config::{ComparedConfig, ConfigError, StartupConfig};
use slog::{error, info, warn, Logger};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The time between two reads of a file that can't be used. Someone may be writing it.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long after the signal the file may take to become whole. It leaves time to fetch the list from the new address: the
/// service rules count the forwarder as informed 6 s after a change.
const RETRY_PERIOD: Duration = Duration::from_secs(2);

/// Reads the start-up configuration again.
pub type ReadConfig = Box<dyn Fn() -> Result<StartupConfig, ConfigError> + Send>;

/// Reads the configuration for each request, and publishes the platform's address. A configuration that can't be used, or
/// that changes keys which are compared with `running`, is logged.
pub async fn run(
    mut requests: mpsc::Receiver<()>,
    mut read_config: ReadConfig,
    config_in_force: ComparedConfig,
    discovery: watch::Sender<SocketAddr>,
    log: Logger,
) {
    while requests.recv().await.is_some() {
        let startup = match read_with_retries(&mut read_config).await {
            Ok(startup) => startup,
            Err(error) => {
                error!(log, "configuration not reloaded, the present one stays in force"; "problem" => %error);
                continue;
            }
        };
        // The file is newer than the environment of a running process.
        let address = startup.discovery_in_file.unwrap_or(startup.discovery);
        info!(log, "configuration reloaded"; "discovery" => %address);
        if startup.compared() != config_in_force {
            warn!(
                log,
                "keys other than discovery have changed, they take effect at the next start"
            );
        }
        // Published also where it is the same: a platform that asks for a reload has reasons to be polled anew.
        discovery.send_replace(address);
    }
}

/// Reads the configuration until it can be used, or for `RETRY_FOR`: the signal may come before the last byte of the file.
async fn read_with_retries(read_config: &mut ReadConfig) -> Result<StartupConfig, ConfigError> {
    let last_retry_at = Instant::now() + RETRY_PERIOD;
    loop {
        match read_config() {
            Err(_) if Instant::now() < last_retry_at => tokio::time::sleep(RETRY_INTERVAL).await,
            result => return result,
        }
    }
}
