//! The graceful shutdown of the process. After SIGTERM the forwarder answers the requests that still arrive, finishes
//! attempts, and ends before the platform kills it.

use crate::commands::DispatcherCommand;
use opalpulley::Event;
use slog::{info, Logger};
use std::future::Future;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Time from SIGTERM until new connections are no longer accepted. The platform stops sending new connections 0.4 s
/// after SIGTERM.
const STOP_ACCEPTING_AFTER: Duration = Duration::from_millis(700);
/// Time from SIGTERM until attempts are no longer started. Attempts in flight may take one second more.
const STOP_ATTEMPTS_AFTER: Duration = Duration::from_millis(2300);
/// Upper bound on the time from SIGTERM to the end of the dispatcher. The process ends 50 ms after the dispatcher. The
/// platform kills the process 3.7 s after SIGTERM.
const STOP_DISPATCHER_AFTER: Duration = Duration::from_millis(3300);

/// The stage of the shutdown, as far as client connections are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ShutdownStage {
    /// No shutdown has been requested.
    Running,
    /// Connections are closed as they become idle. New connections are still accepted.
    Draining,
    /// New connections are no longer accepted.
    NotAccepting,
}

/// Waits for `terminate`, and then enters the stages of the shutdown in turn. Returns when the dispatcher must end.
pub async fn run(
    terminate: impl Future<Output = ()>,
    stage: &watch::Sender<ShutdownStage>,
    dispatcher: mpsc::Sender<DispatcherCommand>,
    log: Logger,
) {
    terminate.await;
    let started_at = Instant::now();
    info!(log, "forwarder shutdown started: termination was requested");
    stage.send_replace(ShutdownStage::Draining);
    tokio::time::sleep_until(started_at + STOP_ACCEPTING_AFTER).await;
    stage.send_replace(ShutdownStage::NotAccepting);
    tokio::time::sleep_until(started_at + STOP_ATTEMPTS_AFTER).await;
    let shutting_down = DispatcherCommand::Event(Event::ShuttingDown);
    if dispatcher.send(shutting_down).await.is_ok() {
        tokio::time::sleep_until(started_at + STOP_DISPATCHER_AFTER).await;
    }
}
