//! What happens to a forwarder: the input of the core.

use super::{
    DeliveryClassId, DestinationId, EndpointId, EndpointListUpdate, MessageId, Micros, OrderKey,
    Outcome, TenantId, TimerToken, ZoneId,
};

/// A message that a client submits, or that a previous run of the forwarder left.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Names the message from now on.
    pub id: MessageId,
    /// Its delivery class.
    pub class: DeliveryClassId,
    /// Who pays for it.
    pub tenant: TenantId,
    /// What it keeps its order by, where its class is ordered.
    pub key: Option<OrderKey>,
    /// How long from now it may still be delivered.
    pub time_left: Micros,
    /// Where it goes.
    pub destination: DestinationId,
    /// Whether it was submitted before: its latency objective has passed already.
    pub resubmitted: bool,
    /// What a previous run of the forwarder did for it.
    pub history: AttemptHistory,
}

/// The attempts at a message before it was submitted to this run of the forwarder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// How many there were.
    pub attempts: u32,
    /// The earliest that may have taken effect.
    pub possible_effect: Option<PossibleEffect>,
}

/// An attempt that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleEffect {
    /// When it was sent.
    pub sent_at: Micros,
    /// The zone of the endpoint that it went to.
    pub zone: ZoneId,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery reported.
    EndpointList(EndpointListUpdate),
    /// A message came.
    Submitted(Submission),
    /// The answer to an attempt has begun to stream.
    AnswerStarted {
        /// The message.
        id: MessageId,
        /// The number of the attempt, from 0.
        attempt: u8,
        /// Where it went.
        endpoint: EndpointId,
        /// Time since it was sent.
        took: Micros,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// The number of the attempt, from 0.
        attempt: u8,
        /// Where it went.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// The front has closed the message: it needs no further answer. A delivery that comes with
        /// `false` was too late, and the message fails.
        completed: bool,
        /// What the endpoint said of its load: one figure for each name in the settings.
        report: Vec<f32>,
    },
    /// An answer asks to be left alone for a while. How its attempt or health check ended comes later, and may be
    /// something else than a rejection.
    RetryAfterReceived {
        /// The endpoint that asked.
        endpoint: EndpointId,
        /// For how long.
        retry_after: Micros,
    },
    /// The client does not want the message delivered any more.
    Withdrawn {
        /// The message.
        id: MessageId,
    },
    /// The client or the platform knows the final answer to the message; told only under
    /// [`OrderRelease::OnAcknowledgement`](super::OrderRelease::OnAcknowledgement).
    ReportAcknowledged {
        /// The message.
        id: MessageId,
    },
    /// A completion report of a previous run is not acknowledged yet: messages of its key come after it.
    /// [`Event::ReportAcknowledged`] follows with the same id.
    PendingReport {
        /// The message that is over.
        id: MessageId,
        /// Its delivery class.
        class: DeliveryClassId,
        /// What it keeps its order by.
        key: OrderKey,
    },
    /// A timer that the core set has run out.
    TimerFired {
        /// The name it was set under.
        token: TimerToken,
    },
    /// A datagram of another forwarder.
    Gossip {
        /// The number of the forwarder that sent it.
        from: u16,
        /// Its bytes.
        payload: Vec<u8>,
    },
    /// A health check is over.
    HealthCheckEnded {
        /// Where it went.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// What the endpoint said of its load: one figure for each name in the settings.
        report: Vec<f32>,
    },
    /// The forwarder ends soon: nothing new is to be sent.
    ShuttingDown,
}
