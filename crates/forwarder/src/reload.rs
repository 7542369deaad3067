//! Reads the startup configuration again on SIGHUP. A change of the platform's address takes effect at once, a change
//! of any other key at the next start.

use crate::platform::AgentAddress;
use crate::startup_config::{ComparedConfig, ConfigError, StartupConfig};
use slog::{error, info, warn, Logger};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Delay between two reads of a file that cannot be used, because it may still be being written.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound on the time from the signal until the file is complete. It leaves time to fetch the endpoint list from
/// the new address: the service rules count the forwarder as notified 6 s after a change.
const RETRY_PERIOD: Duration = Duration::from_secs(2);

/// Reads the startup configuration again.
pub type ReadConfig = Box<dyn Fn() -> Result<StartupConfig, ConfigError> + Send>;

/// Reads the configuration for each request, and publishes the address of the platform's agent. Logs a configuration
/// that cannot be used, or whose compared keys differ from `config_in_force`. Returns when the requests end.
pub async fn run(
    mut requests: mpsc::Receiver<Instant>,
    mut read_config: ReadConfig,
    config_in_force: ComparedConfig,
    discovery: watch::Sender<AgentAddress>,
    log: Logger,
) {
    while let Some(requested_at) = requests.recv().await {
        let startup = match read_with_retries(&mut read_config).await {
            Ok(startup) => startup,
            Err(error) => {
                error!(log, "configuration reload failed; the configuration in force is unchanged"; "problem" => %error);
                continue;
            }
        };
        // The file is newer than the environment of a running process.
        let address = startup.discovery_in_file.unwrap_or(startup.discovery);
        info!(log, "configuration reloaded"; "discovery" => %address);
        if startup.compared() != config_in_force {
            warn!(
                log,
                "configuration keys other than discovery changed; they take effect at the next start"
            );
        }
        // An unchanged address is published as well: a platform that requests a reload has reasons to be polled again.
        discovery.send_replace(AgentAddress {
            address,
            set_at: requested_at,
        });
    }
}

/// Reads the configuration until it can be used, for [`RETRY_PERIOD`] at most, because the signal may arrive before the
/// last byte of the file is written. Fails with the error of the last read.
async fn read_with_retries(read_config: &mut ReadConfig) -> Result<StartupConfig, ConfigError> {
    let last_retry_at = Instant::now() + RETRY_PERIOD;
    loop {
        match read_config() {
            Err(_) if Instant::now() < last_retry_at => tokio::time::sleep(RETRY_INTERVAL).await,
            result => return result,
        }
    }
}
