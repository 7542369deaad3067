//! The input of the decision core: events that the caller passes to it.

use super::{
    DeliveryClassId, DestinationId, EndpointId, EndpointListUpdate, MessageId, Micros, OrderKey,
    Outcome, TenantId, TimerToken, ZoneId,
};

/// A message that a client submits, or that is recovered from a previous run of the forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Identifies the message until it has ended. Chosen by the caller.
    pub id: MessageId,
    /// The delivery class of the message.
    pub class: DeliveryClassId,
    /// The tenant whose quota the message counts against.
    pub tenant: TenantId,
    /// Order key of the message. The core ignores it unless the delivery class is ordered.
    pub order_key: Option<OrderKey>,
    /// Time from now to the deadline of the message, in µs.
    pub time_left: Micros,
    /// The destination of the message.
    pub destination: DestinationId,
    /// Whether the client submitted the message before. A resubmitted message gets no new latency objective.
    pub resubmitted: bool,
    /// The attempts of previous runs of the forwarder.
    pub history: AttemptHistory,
}

/// The attempts at a message in previous runs of the forwarder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of attempts.
    pub attempts: u32,
    /// The earliest attempt that may have taken effect.
    pub possible_effect: Option<PossibleEffect>,
}

/// An attempt that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleEffect {
    /// Time at which the attempt was sent, in µs.
    pub sent_at: Micros,
    /// Zone of the endpoint that the attempt went to.
    pub zone: ZoneId,
}

/// An event that the caller passes to the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery sent an update of the endpoint list, or a request to it failed.
    EndpointListUpdated(EndpointListUpdate),
    /// A client submitted a message, or a message of a previous run was recovered.
    MessageSubmitted(Submission),
    /// The first part of the response to an attempt arrived.
    ResponseStarted {
        /// The message of the attempt.
        id: MessageId,
        /// Index of the attempt among those at the message, from 0.
        attempt_index: u8,
        /// The endpoint that the attempt went to.
        endpoint: EndpointId,
        /// Time since the attempt was sent, in µs.
        elapsed: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The message of the attempt.
        id: MessageId,
        /// Index of the attempt among those at the message, from 0.
        attempt_index: u8,
        /// The endpoint that the attempt went to.
        endpoint: EndpointId,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// Time since the attempt was sent, in µs.
        elapsed: Micros,
        /// Whether the caller has completed the message, so that the core gives no final answer. A delivery with
        /// `false` came after the deadline, and the message fails.
        message_completed: bool,
        /// Load metrics from the response: one value for each name in the settings, or empty.
        load_metrics: Vec<f32>,
    },
    /// A response contains a retry-after. The outcome of its attempt or health check follows in an event of its own
    /// and is not necessarily a rejection.
    RetryAfterReceived {
        /// The endpoint that sent the response.
        endpoint: EndpointId,
        /// Time during which the endpoint asks for no further calls, in µs.
        retry_after: Micros,
    },
    /// The client withdrew a message: no further attempt is needed.
    MessageWithdrawn {
        /// The withdrawn message.
        id: MessageId,
    },
    /// The client or the platform received the final answer to a message. Sent only under
    /// [`OrderRelease::OnAcknowledgement`](super::OrderRelease::OnAcknowledgement).
    FinalAnswerAcknowledged {
        /// The message that was answered.
        id: MessageId,
    },
    /// The completion report on a message of a previous run is not acknowledged yet. Messages of the same order key
    /// wait until [`Event::FinalAnswerAcknowledged`] follows with the same id.
    CompletionReportPending {
        /// The message that has ended.
        id: MessageId,
        /// The delivery class of the message.
        class: DeliveryClassId,
        /// Order key of the message.
        order_key: OrderKey,
    },
    /// A timer that the core set with [`Action::SetTimer`](super::Action::SetTimer) expired.
    TimerFired {
        /// The token that the timer was set with.
        token: TimerToken,
    },
    /// A datagram arrived from another forwarder.
    GossipReceived {
        /// Number of the forwarder that sent the datagram, from 0.
        peer: u16,
        /// The encoded gossip message.
        payload: Vec<u8>,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The outcome of the health check.
        outcome: Outcome,
        /// Time since the health check was sent, in µs.
        elapsed: Micros,
        /// Load metrics from the response: one value for each name in the settings, or empty.
        load_metrics: Vec<f32>,
    },
    /// The forwarder is shutting down. From now on the core starts no attempts.
    ShuttingDown,
}
