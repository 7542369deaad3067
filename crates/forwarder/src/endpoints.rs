//! The actors that send requests to the endpoints.
//!
//! Each endpoint has one actor. It runs attempts and health checks, each on a connection of its own, and reports the outcome
//! of each to the dispatcher. It makes no decisions: a retry of a message is always started by the dispatcher.

mod actor;
mod attempt;
mod attempt_error;
mod connection;
mod exchange;
mod response_body;
mod response_filter;
mod start_gate;
mod stream;

pub use actor::Endpoint;

use crate::commands::DispatcherCommand;
use opalpulley::Event;
use opalpulley_config::{ConnectionConfig, Names};
use slog::{debug, Logger};
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};

/// State that all endpoint actors share.
pub struct EndpointContext {
    /// Timeouts of connections.
    pub config: ConnectionConfig,
    /// Names of the settings; `reports` holds the names under which endpoints report their load.
    pub names: Names,
    /// Bounds the number of connections in the process whose response body is still read although the outcome of their
    /// request is reported: each holds one permit.
    pub body_permits: Arc<Semaphore>,
    /// Mailbox of the dispatcher, which receives the events.
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    /// Logger of the process.
    pub log: Logger,
}

impl EndpointContext {
    /// Sends an event to the dispatcher, and waits while its mailbox is full. Drops the event if the dispatcher has ended.
    async fn send_event(&self, event: Event) {
        let command = DispatcherCommand::Event(event);
        if self.dispatcher.send(command).await.is_err() {
            debug!(self.log, "endpoint event dropped: the dispatcher has ended");
        }
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
