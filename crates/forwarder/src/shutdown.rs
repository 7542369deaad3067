//! The planned end of the process. On SIGTERM the forwarder answers what still comes, finishes attempts and ends in time.

use crate::commands::DispatcherCommand;
use opalpulley::Event;
use slog::{info, Logger};
use std::future::Future;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// From SIGTERM to the last new connection. The platform stops sending new connections 0.4 s after SIGTERM.
const STOP_ACCEPTING_AFTER: Duration = Duration::from_millis(700);
/// From SIGTERM to the last new attempt. Attempts in flight may take a second more.
const STOP_ATTEMPTS_AFTER: Duration = Duration::from_millis(2300);
/// From SIGTERM to the end of the dispatcher at the latest. The process ends 50 ms after it. The platform kills the process
/// 3.7 s after SIGTERM.
const STOP_DISPATCHER_AFTER: Duration = Duration::from_millis(3300);

/// How far the end of the process has come, as client connections are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ShutdownStage {
    /// The process is not to end.
    Running,
    /// Connections are closed as they become idle. New ones still come.
    Draining,
    /// No new connections are accepted.
    NotAccepting,
}

/// Waits for `terminate` and takes the process through the stages of its end. Returns when the dispatcher is
/// to end.
pub async fn run(
    terminate: impl Future<Output = ()>,
    stage: &watch::Sender<ShutdownStage>,
    dispatcher: mpsc::Sender<DispatcherCommand>,
    log: Logger,
) {
    terminate.await;
    let started_at = Instant::now();
    info!(log, "shutdown requested");
    stage.send_replace(ShutdownStage::Draining);
    tokio::time::sleep_until(started_at + STOP_ACCEPTING_AFTER).await;
    stage.send_replace(ShutdownStage::NotAccepting);
    tokio::time::sleep_until(started_at + STOP_ATTEMPTS_AFTER).await;
    let shutting_down = DispatcherCommand::Event(Event::ShuttingDown);
    if dispatcher.send(shutting_down).await.is_ok() {
        tokio::time::sleep_until(started_at + STOP_DISPATCHER_AFTER).await;
    }
}
