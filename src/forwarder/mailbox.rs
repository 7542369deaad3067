//! The messages between the three parts of the core, and their mailboxes.
//!
//! [`Forwarder`](super::Forwarder), [`Destination`](crate::destination::Destination) and
//! [`Endpoint`](crate::endpoint::Endpoint) decide on their own state alone. Each
//! handles one message at a time and answers by messages; `Forwarder::drain_mailboxes` empties the
//! mailboxes within the event that filled them. Only creating and restoring a part writes its state
//! from outside.

use crate::destination::Message;
use crate::endpoint::EndpointSnapshot;
use crate::model::{
    Action, DestinationId, EndpointId, EndpointStatus, MessageId, Micros, OrderKey, Outcome, ZoneId,
};
use crate::policy::attempt_timeout::Permits;
use std::collections::VecDeque;

/// For the forwarder.
pub(crate) enum ForwarderMessage {
    /// Carry this out.
    Act(Action),
    /// A message has its final answer and leaves.
    MessageEnded {
        id: MessageId,
        /// Whether the core gave the answer: somebody has yet to acknowledge it.
        is_answered: bool,
    },
    /// An attempt at a message of this key may still be at work.
    OutcomeUnknown { key: OrderKey },
    /// A destination would use a permit.
    Candidate(Candidate),
    /// What is under way at a destination. None: no messages, no calls, and no timer that needs a
    /// tick.
    Activity {
        destination: DestinationId,
        activity: Option<Activity>,
    },
}

/// A destination's claim to the next permit.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub destination: DestinationId,
    /// What is lost by leaving its next message, per µs that the call would hold the permit.
    pub loss: f64,
}

/// What is under way at a destination.
#[derive(Clone, Copy)]
pub(crate) struct Activity {
    /// Calls out there.
    pub calls: usize,
    /// Whether it counts against the limit of all degraded destinations.
    pub is_degraded: bool,
    /// Messages that wait there.
    pub waiting: usize,
}

/// For a destination.
pub(crate) enum DestinationMessage {
    /// A message comes.
    Enqueue(Message),
    /// It is the message's turn within its order key.
    OrderGranted(MessageId),
    /// An attempt is over.
    AttemptEnded(EndedAttempt),
    /// The client does not want the message any more.
    Withdrawn(MessageId),
    /// An entry of the endpoint list; `rate` is in calls per second for the whole fleet.
    EndpointListed { endpoint: EndpointId, rate: f64 },
    /// An endpoint is forgotten.
    EndpointForgotten(EndpointId),
    /// How an endpoint stands now.
    Snapshot {
        endpoint: EndpointId,
        snapshot: EndpointSnapshot,
    },
    /// Look at all timers.
    TimerTick { permits: Permits },
    /// Another forwarder was rejected there.
    PeerRejected,
    /// An endpoint asks to be left alone.
    RetryAfter {
        endpoint: EndpointId,
        retry_after: Micros,
    },
    /// Name a candidate for a permit, if there is one.
    RequestCandidate,
    /// Use a permit for the candidate.
    GrantPermit,
    /// Too many messages are held: give one up.
    ShedLoad,
}

/// An attempt that is over.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt {
    pub id: MessageId,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub took: Micros,
    /// The message is over and needs no further answer.
    pub completed: bool,
}

/// For an endpoint.
pub(crate) enum EndpointMessage {
    /// An entry of the endpoint list.
    Listed {
        zone: ZoneId,
        status: EndpointStatus,
        /// What a message to it costs.
        cost: f64,
    },
    /// A message goes there now.
    MessageSent,
    /// An attempt there is over.
    AttemptEnded {
        sent_at: Micros,
        outcome: Outcome,
        took: Micros,
    },
    /// A health check there is over.
    HealthCheckEnded { outcome: Outcome },
    /// Look at all timers.
    TimerTick(EndpointTick),
    /// Its limit is paused by a retry-after.
    Paused {
        /// For longer than an overload lasts.
        is_long: bool,
    },
}

/// What a destination tells its endpoints at each look at the timers.
#[derive(Clone, Copy)]
pub(crate) struct EndpointTick {
    /// Calls per second that the endpoint takes from the whole fleet.
    pub capacity: f64,
    /// Messages that came for it since the last tick.
    pub arrivals: f64,
    /// Whether a retry-after binds.
    pub is_paused: bool,
}

/// The mailboxes of all parts.
#[derive(Default)]
pub(crate) struct Mailboxes {
    pub forwarder: VecDeque<ForwarderMessage>,
    pub destinations: VecDeque<(DestinationId, DestinationMessage)>,
    pub endpoints: VecDeque<(EndpointId, EndpointMessage)>,
}

impl Mailboxes {
    /// For the forwarder.
    pub fn send_to_forwarder(&mut self, message: ForwarderMessage) {
        self.forwarder.push_back(message);
    }

    /// Have this carried out.
    pub fn act(&mut self, action: Action) {
        self.send_to_forwarder(ForwarderMessage::Act(action));
    }

    /// For a destination.
    pub fn send_to_destination(&mut self, id: DestinationId, message: DestinationMessage) {
        self.destinations.push_back((id, message));
    }

    /// For an endpoint.
    pub fn send_to_endpoint(&mut self, id: EndpointId, message: EndpointMessage) {
        self.endpoints.push_back((id, message));
    }
}
