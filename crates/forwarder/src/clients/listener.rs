//! Accepts client connections, up to a limit, until the process no longer takes any.

use super::open_connections::OpenConnections;
use super::submission_service::SubmissionService;
use crate::shutdown::ShutdownStage;
use slog::warn;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// From a failed accept to the next one. Descriptors may be free again by then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts clients and serves them.
pub struct ClientListener {
    /// Answers their requests.
    pub submission_service: Arc<SubmissionService>,
    /// How many connections may be open.
    pub max_connections: usize,
    /// How far the end of the process has come.
    pub shutdown: watch::Receiver<ShutdownStage>,
}

impl ClientListener {
    /// Runs for good. After the last shutdown stage it serves the connections that are open.
    pub async fn run(mut self, listener: TcpListener) {
        let mut connections =
            OpenConnections::new(self.submission_service.clone(), self.max_connections);
        let mut listener = Some(listener);
        loop {
            let has_capacity = connections.remaining_capacity() > 0;
            tokio::select! {
                accepted = accept(listener.as_ref(), has_capacity) => match accepted {
                    Ok(socket) => connections.admit(socket),
                    Err(error) => {
                        warn!(self.submission_service.log, "client connection could not be accepted"; "problem" => %error);
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(()) = connections.next_ended(), if !connections.is_empty() => {}
                Ok(()) = self.shutdown.changed() => {
                    let stage = *self.shutdown.borrow_and_update();
                    self.enter_stage(stage, &mut connections, &mut listener);
                }
            }
        }
    }

    fn enter_stage(
        &self,
        stage: ShutdownStage,
        connections: &mut OpenConnections,
        listener: &mut Option<TcpListener>,
    ) {
        if stage >= ShutdownStage::Draining {
            self.submission_service.close_connections_after_answers();
            connections.close_all_idle();
        }
        if stage == ShutdownStage::NotAccepting {
            if let Some(listener) = listener.take() {
                admit_backlog(listener, connections);
            }
        }
    }
}

/// Accepts the next connection. Never resolves where there is no listener, or no capacity.
async fn accept(listener: Option<&TcpListener>, has_capacity: bool) -> io::Result<TcpStream> {
    match listener {
        Some(listener) if has_capacity => {
            let (socket, _) = listener.accept().await?;
            Ok(socket)
        }
        _ => std::future::pending().await,
    }
}

/// Admits the connections that wait to be accepted, and closes the listener. The system resets the connections that still wait
/// when it is closed.
fn admit_backlog(listener: TcpListener, connections: &mut OpenConnections) {
    let capacity = connections.remaining_capacity();
    for socket in backlog_connections(listener).take(capacity) {
        connections.admit(socket);
    }
}

/// The connections that the system has set up and that are not accepted yet. The listener is closed with the iterator.
fn backlog_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || {
        let (socket, _) = listener.as_ref()?.accept().ok()?;
        socket.set_nonblocking(true).ok()?;
        TcpStream::from_std(socket).ok()
    })
}
