//! SIGHUP: the start papers are read again. The platform's address is taken over; other keys count from the next start.

use crate::papers::{BadPapers, Fixed, Papers};
use slog::{error, info, warn, Logger};
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};

/// Where the papers are read again.
pub type Reread = Box<dyn Fn() -> Result<Papers, BadPapers> + Send>;

pub async fn run(
    mut hang_up: mpsc::Receiver<()>,
    reread: Reread,
    fixed: Fixed,
    discovery: watch::Sender<SocketAddr>,
    log: Logger,
) {
    while hang_up.recv().await.is_some() {
        let papers = match reread() {
            Ok(papers) => papers,
            Err(problem) => {
                error!(log, "the papers can't be used, the old ones stay"; "problem" => %problem);
                continue;
            }
        };
        // The file is newer than the environment of a running process.
        let address = papers.discovery_in_file.unwrap_or(papers.discovery);
        info!(log, "papers read again"; "discovery" => %address);
        if papers.fixed() != fixed {
            warn!(log, "other keys than discovery have changed: they count from the next start");
        }
        // Told also where it is the same: a platform that asks for a reload has reasons to be asked anew.
        discovery.send_replace(address);
    }
}
