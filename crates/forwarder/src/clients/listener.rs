//! The listener of the clients: accepts connections up to a limit, until the shutdown no longer allows new ones.

use super::open_connections::OpenConnections;
use super::submission_service::SubmissionService;
use crate::shutdown::ShutdownStage;
use slog::warn;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay after a failed accept. File descriptors may be free again by then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The actor that accepts client connections and owns the open ones.
pub struct ClientListener {
    /// Answers the requests on all connections.
    pub submission_service: Arc<SubmissionService>,
    /// Upper bound on the number of open connections.
    pub max_connections: usize,
    /// The stage of the shutdown.
    pub shutdown: watch::Receiver<ShutdownStage>,
}

impl ClientListener {
    /// Accepts connections and serves them. Never returns: after the last shutdown stage it still serves the open
    /// connections.
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

    /// Closes idle connections from [`ShutdownStage::Draining`] on, and the listener at
    /// [`ShutdownStage::NotAccepting`].
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

/// Accepts the next connection. Never resolves if there is no listener or no capacity.
async fn accept(listener: Option<&TcpListener>, has_capacity: bool) -> io::Result<TcpStream> {
    match listener {
        Some(listener) if has_capacity => {
            let (socket, _) = listener.accept().await?;
            Ok(socket)
        }
        _ => std::future::pending().await,
    }
}

/// Admits the connections in the accept backlog, up to the capacity, and closes the listener. The system resets the
/// connections that are still in the backlog when the listener closes.
fn admit_backlog(listener: TcpListener, connections: &mut OpenConnections) {
    let capacity = connections.remaining_capacity();
    for socket in backlog_connections(listener).take(capacity) {
        connections.admit(socket);
    }
}

/// Returns the connections that the system has established and that have not been accepted. Dropping the iterator
/// closes the listener.
fn backlog_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || {
        let (socket, _) = listener.as_ref()?.accept().ok()?;
        socket.set_nonblocking(true).ok()?;
        TcpStream::from_std(socket).ok()
    })
}
