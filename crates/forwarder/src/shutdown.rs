//! The planned end: on SIGTERM the forwarder answers what still comes, finishes attempts and leaves in time.

use crate::clients::Closing;
use crate::commands::DispatcherCommand;
use opalpulley::Event;
use slog::{info, Logger};
use std::future::Future;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const SHUT: Duration = Duration::from_millis(700); // after SIGTERM: new connections go on coming for 0.4 s
const CEASE: Duration = Duration::from_millis(2300); // no new attempts: those out may take a second yet
const LEAVE: Duration = Duration::from_millis(3300); // the process ends; the platform kills it at 3.7 s

/// Waits until it is asked to end and takes the process through the stages of its end; `leave` falls at the last one.
pub async fn run(
    term: impl Future<Output = ()>,
    closing: &watch::Sender<Closing>,
    dispatcher: mpsc::Sender<DispatcherCommand>,
    log: Logger,
) {
    term.await;
    let begun = tokio::time::Instant::now();
    info!(log, "asked to end");
    closing.send_replace(Closing::Leaving);
    tokio::time::sleep_until(begun + SHUT).await;
    closing.send_replace(Closing::Shut);
    tokio::time::sleep_until(begun + CEASE).await;
    if dispatcher
        .send(DispatcherCommand::Event(Event::ShuttingDown))
        .await
        .is_ok()
    {
        tokio::time::sleep_until(begun + LEAVE).await;
    }
}
