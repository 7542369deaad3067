//! The listener of the clients: accepts connections up to a limit, until the shutdown no longer allows new ones.

use super::accept_errors::{AcceptErrors, AfterError};
use super::open_connections::OpenConnections;
use super::submission_service::SubmissionService;
use crate::clock::sleep_until;
use crate::shutdown::ShutdownStage;
use slog::{info, warn, Logger};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Delay after an accept that failed for want of a resource. File descriptors may be free again by then.
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
        let mut errors = AcceptErrors::default();
        let mut paused_until = None;
        loop {
            let may_accept = connections.remaining_capacity() > 0 && paused_until.is_none();
            tokio::select! {
                accepted = accept(listener.as_ref(), may_accept) => match accepted {
                    Ok(socket) => {
                        errors.reset();
                        connections.admit(socket);
                    }
                    Err(error) => paused_until = self.handle_accept_error(&error, &mut errors),
                },
                () = sleep_until(paused_until) => paused_until = None,
                Some(()) = connections.next_ended(), if !connections.is_empty() => {}
                Ok(()) = self.shutdown.changed() => {
                    let stage = *self.shutdown.borrow_and_update();
                    self.enter_stage(stage, &mut connections, &mut listener);
                }
            }
        }
    }

    /// Logs a failed accept. Returns the instant until which no connection is accepted, if the error demands a pause.
    fn handle_accept_error(&self, error: &io::Error, errors: &mut AcceptErrors) -> Option<Instant> {
        match errors.after(error) {
            AfterError::AcceptNext => {
                log_connection_error(&self.submission_service.log, error);
                None
            }
            AfterError::Pause => {
                warn!(self.submission_service.log, "client connection could not be accepted"; "problem" => %error);
                Some(Instant::now() + ACCEPT_RETRY_DELAY)
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
                admit_backlog(listener, connections, &self.submission_service.log);
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
fn admit_backlog(listener: TcpListener, connections: &mut OpenConnections, log: &Logger) {
    let capacity = connections.remaining_capacity();
    for socket in backlog_connections(listener, log).take(capacity) {
        connections.admit(socket);
    }
}

/// Returns the connections that the system has established and that have not been accepted. An error that concerns one
/// connection does not end them. Dropping the iterator closes the listener.
fn backlog_connections(listener: TcpListener, log: &Logger) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    let log = log.clone();
    std::iter::from_fn(move || accept_from_backlog(listener.as_ref()?, &log))
}

/// Accepts the next connection of the backlog. Returns `None` if it is empty, or if accept fails for want of a resource.
fn accept_from_backlog(listener: &std::net::TcpListener, log: &Logger) -> Option<TcpStream> {
    let mut errors = AcceptErrors::default();
    loop {
        match listener.accept() {
            Ok((socket, _)) => {
                socket.set_nonblocking(true).ok()?;
                return TcpStream::from_std(socket).ok();
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) if errors.after(&error) == AfterError::AcceptNext => {
                log_connection_error(log, &error);
            }
            Err(error) => {
                warn!(log, "client connections of the backlog could not be accepted"; "problem" => %error);
                return None;
            }
        }
    }
}

fn log_connection_error(log: &Logger, error: &io::Error) {
    info!(log, "client connection failed before it was accepted"; "problem" => %error);
}
