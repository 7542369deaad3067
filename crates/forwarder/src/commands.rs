//! The messages that the actors send each other: plain data that depends on no actor.

use crate::protocol::{Ending, SubmittedMessage};
use bytes::Bytes;
use opalpulley::{Event, MessageId, Micros};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The answer to a client's submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionAnswer {
    /// The message is in the journal. The platform gets a completion report if it is not delivered.
    Accepted,
    /// Not accepted now; the client may submit it again.
    Rejected {
        /// When, where the deployment may say so.
        retry_after: Option<Micros>,
    },
    /// Not accepted, and submitting it again is of no use.
    Failed,
    /// As many messages are in flight as may be, or the journal has no room for this one.
    NoCapacity,
    /// A message with this id and other content is in flight.
    ConflictingContent,
    /// No endpoint list has named its destination.
    UnknownDestination,
}

/// A client's submission on its way to the dispatcher.
pub struct SubmissionRequest {
    /// The message.
    pub submitted: SubmittedMessage,
    /// When its last byte was read: its time left counts from here.
    pub received_at: Instant,
    /// Where the answer goes.
    pub answer: oneshot::Sender<SubmissionAnswer>,
}

/// For the dispatcher.
pub enum DispatcherCommand {
    /// An event for the decision core.
    Event(Event),
    /// The platform has acknowledged these completion reports, by serial number.
    ReportsAcknowledged(Vec<u64>),
}

/// For the actor that watches the endpoint list.
pub enum EndpointListCommand {
    /// Begin the watch.
    StartWatch,
    /// End the watch.
    StopWatch,
    /// Ask for the complete list once.
    Fetch,
}

/// For the gossip socket: a datagram to other forwarders.
pub struct GossipDatagram {
    /// The number of the forwarder; none for all.
    pub peer: Option<u16>,
    /// Its bytes.
    pub payload: Vec<u8>,
}

/// A completion report that the platform has not acknowledged.
#[derive(Clone, Debug)]
pub struct PendingReport {
    /// The serial number of the message in the journal.
    pub serial: u64,
    /// The client's id of the message.
    pub request_id: String,
    /// How the message ended.
    pub ending: Ending,
}

/// For the actor of an endpoint.
pub enum EndpointCommand {
    /// Start an attempt. Boxed, because a mailbox allocates room for some dozens of commands at once.
    StartAttempt(Box<AttemptRequest>),
    /// Check the endpoint's health.
    HealthCheck,
    /// End an attempt that is in flight.
    Cancel {
        /// The message.
        id: MessageId,
        /// The number of the attempt, from 0.
        attempt: u8,
    },
    /// End all attempts and health checks whose last byte has not gone.
    WithdrawUnsent,
    /// Close the connections that carry nothing.
    CloseIdle,
}

/// An attempt at a message, with all that its codec needs.
pub struct AttemptRequest {
    /// The message.
    pub id: MessageId,
    /// The number of the attempt, from 0.
    pub attempt: u8,
    /// The client's id of the message.
    pub request_id: String,
    /// By which endpoints drop repeats, where the delivery class has one.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
    /// How long it may take.
    pub timeout: Duration,
    /// Its first byte is sent before this moment, or none is.
    pub send_by: Instant,
}
