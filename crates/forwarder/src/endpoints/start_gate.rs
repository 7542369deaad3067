//! The gate between the open connection of an attempt and the first byte of its request.

use super::attempt_error::{AttemptError, FailureCause};
use crate::commands::DispatcherCommand;
use opalpulley::MessageId;
use tokio::sync::{mpsc, oneshot};

/// Has the start of an attempt journalled by the dispatcher. Owned by the exchange of the attempt.
pub struct StartGate {
    /// Mailbox of the dispatcher.
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    /// The message of the attempt.
    pub id: MessageId,
    /// Index of the attempt among those at the message, from 0.
    pub attempt_index: u8,
}

impl StartGate {
    /// Waits until the start of the attempt is journalled. Fails as an attempt without a connection if the dispatcher does
    /// not permit it, or has ended.
    pub async fn pass(&self) -> Result<(), AttemptError> {
        let (permit, permitted) = oneshot::channel();
        let command = DispatcherCommand::AttemptConnected {
            id: self.id,
            attempt_index: self.attempt_index,
            permit,
        };
        let refused = AttemptError::connecting(FailureCause::ConnectionLost);
        self.dispatcher.send(command).await.map_err(|_| refused)?;
        permitted.await.map_err(|_| refused)
    }
}
