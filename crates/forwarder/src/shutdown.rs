//! The planned end: on SIGTERM the forwarder answers what still comes, finishes trips and leaves in time.

use crate::clients::Closing;
use crate::module::Note;
use opalpulley::Event;
use slog::{info, Logger};
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};

const SHUT: Duration = Duration::from_millis(700); // after SIGTERM: new connections go on coming for 0.4 s
const CEASE: Duration = Duration::from_millis(2300); // no new trips: those out may take a second yet
const LEAVE: Duration = Duration::from_millis(3300); // the process ends; the platform kills it at 3.7 s

/// Waits for SIGTERM and takes the process through the stages of its end; `leave` falls at the last one.
pub async fn run(
    mut term: Signal,
    closing: &watch::Sender<Closing>,
    module: mpsc::Sender<Note>,
    log: Logger,
) {
    if term.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
    let begun = tokio::time::Instant::now();
    info!(log, "asked to end");
    closing.send_replace(Closing::Leaving);
    tokio::time::sleep_until(begun + SHUT).await;
    closing.send_replace(Closing::Shut);
    tokio::time::sleep_until(begun + CEASE).await;
    if module.send(Note::Event(Event::Closing)).await.is_ok() {
        tokio::time::sleep_until(begun + LEAVE).await;
    }
}
