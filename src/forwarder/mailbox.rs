//! The events that the three parts of the core exchange, and their mailboxes.
//!
//! [`Forwarder`](super::Forwarder), [`Destination`](crate::destination::Destination) and
//! [`Endpoint`](crate::endpoint::Endpoint) each decide on their own state alone. A part handles one
//! event at a time and affects the others only by events of its own. `Forwarder::drain_mailboxes`
//! empties the mailboxes before `Forwarder::handle` returns. The state of a part is written from
//! outside only when the part is created or restored.

use crate::destination::Message;
use crate::endpoint::EndpointSnapshot;
use crate::model::{
    Action, DestinationId, EndpointId, EndpointStatus, MessageId, Micros, OrderKey, Outcome, ZoneId,
};
use crate::policy::attempt_timeout::Permits;
use std::collections::VecDeque;

/// An event for the forwarder, sent by destinations and endpoints.
pub(crate) enum ForwarderEvent {
    /// A part decided on an action for the caller of the core.
    ActionEmitted(Action),
    /// A message has its final answer and left its destination.
    MessageEnded {
        id: MessageId,
        /// Whether the core gave the final answer, so that its acknowledgement is still due.
        is_answered_by_core: bool,
    },
    /// An attempt at a message of this order key may still be running at an endpoint.
    OutcomeUnknown { order_key: OrderKey },
    /// A destination has a call for a concurrency permit.
    CandidateOffered(Candidate),
    /// The activity of a destination may have changed. `None`: the destination has no messages, no
    /// calls in flight and no timer that needs a tick.
    ActivityUpdated {
        destination: DestinationId,
        activity: Option<Activity>,
    },
}

/// The claim of a destination to a concurrency permit in a scheduling round.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub destination: DestinationId,
    /// Expected loss of weight if the next message is not sent now, per µs for which its call would
    /// hold the permit.
    pub loss_per_permit_time: f64,
}

/// The calls and messages of a destination, as counted by the forwarder.
#[derive(Clone, Copy)]
pub(crate) struct Activity {
    /// Number of calls in flight to the destination.
    pub calls_in_flight: usize,
    /// Whether the calls count against the limit that all degraded destinations share.
    pub is_degraded: bool,
    /// Number of messages that wait at the destination.
    pub waiting_messages: usize,
}

/// An event for a destination, sent by the forwarder and by its endpoints.
pub(crate) enum DestinationEvent {
    /// A message was submitted or recovered.
    MessageSubmitted(Message),
    /// The message is the next one of its order key.
    OrderGranted(MessageId),
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// The client withdrew the message.
    MessageWithdrawn(MessageId),
    /// The endpoint list has an entry for the endpoint. `rate` is in calls per second for the whole
    /// fleet.
    EndpointListed { endpoint: EndpointId, rate: f64 },
    /// The forwarder discarded the state of an endpoint.
    EndpointDiscarded(EndpointId),
    /// The snapshot of an endpoint changed.
    SnapshotUpdated {
        endpoint: EndpointId,
        snapshot: EndpointSnapshot,
    },
    /// The tick timer fired: all deadlines and limits are checked.
    TimerTick { permits: Permits },
    /// Gossip from another forwarder: the destination rejected one of its calls.
    PeerRejectionReceived,
    /// A response of an endpoint contains a retry-after.
    RetryAfterReceived {
        endpoint: EndpointId,
        /// In µs.
        retry_after: Micros,
    },
    /// The forwarder has a free permit. The destination responds with
    /// [`ForwarderEvent::CandidateOffered`] if it has a call for it.
    CandidateRequested,
    /// The forwarder granted a permit to the candidate that the destination offered last.
    PermitGranted,
    /// The forwarder holds too many messages: the destination gives up one that waits.
    LoadSheddingRequested,
}

/// An attempt that ended.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt {
    pub id: MessageId,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// Time since the attempt was sent, in µs.
    pub elapsed: Micros,
    /// Whether the caller has completed the message, so that the core gives no final answer.
    pub message_completed: bool,
}

/// An event for an endpoint, sent by the forwarder and by its destination.
pub(crate) enum EndpointEvent {
    /// The endpoint list has an entry for the endpoint.
    Listed {
        zone: ZoneId,
        status: EndpointStatus,
        /// Cost of a message to the endpoint.
        cost: f64,
    },
    /// An attempt at a message started now.
    AttemptStarted,
    /// An attempt at the endpoint ended.
    AttemptEnded {
        /// Identifies the call that the attempt was part of.
        sent_at: Micros,
        outcome: Outcome,
        /// Time since the attempt was sent, in µs.
        elapsed: Micros,
    },
    /// A health check of the endpoint ended.
    HealthCheckEnded { outcome: Outcome },
    /// The tick timer fired: budget, health and health checks are updated.
    TimerTick(EndpointTick),
    /// A retry-after paused the limit that the endpoint is behind.
    Paused {
        /// Whether the retry-after exceeds the overload window of the service rules.
        is_long_pause: bool,
    },
}

/// State of the destination that its endpoints receive at each tick.
#[derive(Clone, Copy)]
pub(crate) struct EndpointTick {
    /// Calls per second that the endpoint accepts from the whole fleet.
    pub capacity: f64,
    /// Number of messages that arrived with this tick, divided evenly among the ready endpoints.
    pub arrivals: f64,
    /// Whether a retry-after pauses the limit.
    pub is_paused: bool,
}

/// The mailboxes of all parts: events that are sent and not yet handled, oldest first.
#[derive(Default)]
pub(crate) struct Mailboxes {
    pub forwarder: VecDeque<ForwarderEvent>,
    pub destinations: VecDeque<(DestinationId, DestinationEvent)>,
    pub endpoints: VecDeque<(EndpointId, EndpointEvent)>,
}

impl Mailboxes {
    /// Sends an event to the forwarder.
    pub fn send_to_forwarder(&mut self, event: ForwarderEvent) {
        self.forwarder.push_back(event);
    }

    /// Sends an action to the forwarder, which returns it to the caller of the core.
    pub fn emit_action(&mut self, action: Action) {
        self.send_to_forwarder(ForwarderEvent::ActionEmitted(action));
    }

    /// Sends an event to a destination. The event is dropped if the destination does not exist.
    pub fn send_to_destination(&mut self, id: DestinationId, event: DestinationEvent) {
        self.destinations.push_back((id, event));
    }

    /// Sends an event to an endpoint. The event is dropped if the endpoint does not exist.
    pub fn send_to_endpoint(&mut self, id: EndpointId, event: EndpointEvent) {
        self.endpoints.push_back((id, event));
    }
}
