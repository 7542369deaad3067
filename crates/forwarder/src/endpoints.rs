//! The side of the process that faces the endpoints.
//!
//! One actor for each endpoint owns the connections there, carries attempts and health checks, and reports the outcome of
//! each to the dispatcher. It takes no decision of its own and never sends a message again by itself.

mod actor;
mod attempt;
mod attempt_error;
mod connection;
mod exchange;
mod idle_connections;
mod response_body;
mod response_filter;
mod stream;

pub use actor::Endpoint;

use crate::commands::DispatcherCommand;
use opalpulley::Event;
use opalpulley_config::{ConnectionConfig, Names};
use slog::{debug, Logger};
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};

/// What all endpoint actors share.
pub struct EndpointContext {
    /// Time limits of connections.
    pub config: ConnectionConfig,
    /// The names under which endpoints report their load.
    pub names: Names,
    /// One permit for each connection that may stay open without a request.
    pub idle_permits: Arc<Semaphore>,
    /// Where events go.
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    /// The log of the process.
    pub log: Logger,
}

impl EndpointContext {
    /// Waits for space in the dispatcher's mailbox. An event after the dispatcher has ended is dropped.
    async fn send_event(&self, event: Event) {
        let command = DispatcherCommand::Event(event);
        if self.dispatcher.send(command).await.is_err() {
            debug!(self.log, "event dropped: the dispatcher has ended");
        }
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
