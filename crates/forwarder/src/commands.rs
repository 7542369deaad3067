//! The commands that the actors send to each other: plain data that depends on no actor.

use crate::protocol::{Ending, SubmittedMessage};
use bytes::Bytes;
use opalpulley::{Event, MessageId, Micros};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The answer to a client's submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionAnswer {
    /// The message is in the journal. If it is not delivered, the platform gets a completion report.
    Accepted,
    /// The message is not accepted now; the client may submit it again.
    Rejected {
        /// Time after which the client should submit the message again, in µs. `None` where the deployment does not
        /// allow a retry-after.
        retry_after: Option<Micros>,
    },
    /// The message is not accepted, and the client should not submit it again.
    Failed,
    /// The number of messages in flight is at its limit, or the journal has no space for the message.
    ResourceExhausted,
    /// A message with the same client's id and different content is in flight.
    ConflictingContent,
    /// No endpoint list so far contained the destination of the message.
    UnknownDestination,
}

/// A client's submission on its way to the dispatcher.
pub struct SubmissionRequest {
    /// The message as the client sent it.
    pub submitted: SubmittedMessage,
    /// Time at which the last byte of the request was read. The message's time left is counted from this instant.
    pub received_at: Instant,
    /// Takes the answer. It is closed if the client has disconnected.
    pub answer_sender: oneshot::Sender<SubmissionAnswer>,
}

/// A command for the dispatcher.
pub enum DispatcherCommand {
    /// Passes an event to the decision core.
    Event(Event),
    /// The agent of the endpoint list is no longer in charge, and its successor has sent no list in time. Nothing may be
    /// sent by the list until the next update.
    SuspendEndpointList,
    /// The connection of an attempt is open, whose start is not journalled yet. It is journalled before `permit` is used;
    /// a dropped permit forbids the attempt to write any byte.
    AttemptConnected {
        /// The message of the attempt.
        id: MessageId,
        /// Index of the attempt among those at the message, from 0.
        attempt_index: u8,
        /// Permits the first byte of the request.
        permit: oneshot::Sender<()>,
    },
    /// The platform acknowledged the completion reports with these serial numbers.
    CompletionReportsAcknowledged(Vec<u64>),
}

/// A command for the actor that watches the endpoint list.
pub enum EndpointListCommand {
    /// Starts the watch.
    StartWatch,
    /// Stops the watch.
    StopWatch,
    /// Fetches the complete list once.
    Fetch,
}

/// A datagram to other forwarders, for the gossip socket to send.
pub struct GossipDatagram {
    /// Number of the receiving forwarder, from 0. `None`: all other forwarders.
    pub peer: Option<u16>,
    /// The encoded gossip message.
    pub payload: Vec<u8>,
}

/// A completion report that the platform has not acknowledged.
#[derive(Clone, Debug)]
pub struct PendingCompletionReport {
    /// Serial number of the message in the journal.
    pub serial: u64,
    /// The client's id of the message.
    pub request_id: String,
    /// The final answer to the message.
    pub ending: Ending,
}

/// A command for the actor of an endpoint.
pub enum EndpointCommand {
    /// Starts an attempt. Boxed, because a mailbox allocates its commands in blocks of 32.
    StartAttempt(Box<AttemptRequest>),
    /// Sends a health check to the endpoint.
    StartHealthCheck,
    /// Cancels an attempt in flight.
    CancelAttempt {
        /// The message of the attempt.
        id: MessageId,
        /// Index of the attempt among those at the message, from 0.
        attempt_index: u8,
    },
    /// Withdraws all attempts and health checks whose last byte has not been written.
    WithdrawUnsent,
}

/// An attempt to deliver a message, with all data that the encoder of the request needs.
pub struct AttemptRequest {
    /// The message to deliver.
    pub id: MessageId,
    /// Index of the attempt among those at the message, from 0.
    pub attempt_index: u8,
    /// The client's id of the message.
    pub request_id: String,
    /// The key by which endpoints discard duplicates. `None` where the delivery class needs none.
    pub idempotency_key: Option<String>,
    /// The body of the message.
    pub body: Bytes,
    /// When the start of the attempt is journalled.
    pub journalled: AttemptJournalling,
    /// The times that bound the attempt.
    pub times: AttemptTimes,
}

/// When the start of an attempt is journalled. It always is before the first byte of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptJournalling {
    /// Before the attempt is passed to the endpoint's actor.
    BeforeStart,
    /// Once its connection is open, so that a restart can tell an attempt without a connection from one that may have
    /// taken effect.
    OnceConnected,
}

/// The times that bound an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// Upper bound on the time from the start of the attempt to the head of the response.
    pub timeout: Duration,
    /// Latest time at which the first byte may be written. After it the attempt ends without writing a byte.
    pub send_by: Instant,
    /// Deadline of the message, at which its final answer is due.
    pub deadline: Instant,
}
