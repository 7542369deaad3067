//! What a forwarder is to do: the output of the core, carried out in order.

use super::{DestinationId, EndpointId, MessageId, Micros, TimerToken};
use std::fmt;

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts the next attempt at a message.
    Send {
        /// The message.
        id: MessageId,
        /// Where it goes.
        endpoint: EndpointId,
        /// How long the attempt may take; none: until the message's deadline.
        timeout: Option<Micros>,
        /// An attempt that has put no byte on a connection by then puts none there at all: it ends as
        /// [`Outcome::NotAttempted`](super::Outcome::NotAttempted).
        send_by: Micros,
    },
    /// The final answer to a message: it was not delivered.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// The final answer to a message: the client may submit it again.
    Reject {
        /// The message.
        id: MessageId,
        /// When the client should come back, where the deployment may say so.
        retry_after: Option<Micros>,
    },
    /// Asks for [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// From now.
        after: Micros,
        /// The name of the timer.
        token: TimerToken,
    },
    /// Asks an endpoint whether it is well.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Ends an attempt that is out: it ends as [`Outcome::Cancelled`](super::Outcome::Cancelled), unless its answer
    /// has come.
    Cancel {
        /// The message.
        id: MessageId,
        /// The number of the attempt, from 0.
        attempt: u8,
    },
    /// Attempts and health checks to an endpoint whose last byte has not gone go no further: each ends as
    /// [`Outcome::WithdrawnBeforeSend`](super::Outcome::WithdrawnBeforeSend). Those that have gone whole run on.
    WithdrawUnsent {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Closes the connections to an endpoint that carry nothing.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Begins or ends the watch on the endpoint list.
    WatchEndpointList {
        /// Whether it is to run.
        on: bool,
    },
    /// Asks discovery for the complete list once.
    FetchEndpointList,
    /// Sends a datagram to other forwarders.
    SendGossip {
        /// The number of the forwarder; none for all.
        peer: Option<u16>,
        /// Its bytes.
        payload: Vec<u8>,
    },
    /// Writes a line to the log.
    Log(LogEvent),
    /// Writes an error to the log: something that must never happen. The core has no such case now;
    /// the simulator's protocol names it.
    LogError(String),
}

/// What the core wants in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// No calls go to an endpoint any more, but for health checks and single tries.
    EndpointEjected {
        /// The group of the endpoint.
        destination: DestinationId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Why.
        reason: EjectionReason,
    },
    /// An ejected endpoint took a message: it gets calls again, few at first.
    EndpointReadmitted {
        /// The group of the endpoint.
        destination: DestinationId,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A datagram of another forwarder can't be used.
    UnreadableGossip {
        /// The number of the forwarder that sent it.
        peer: u16,
        /// What is wrong with it.
        problem: String,
    },
}

/// Why an endpoint was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Several failures or rejections in a row, or too many among the latest attempts.
    Failures,
    /// It takes calls and answers none.
    Silence,
    /// It asked for a wait that is longer than an overload lasts.
    LongRetryAfter,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EjectionReason::Failures => "too many failures",
            EjectionReason::Silence => "attempts stay unanswered",
            EjectionReason::LongRetryAfter => "asked for a long retry-after",
        })
    }
}

/// The address and port of an endpoint, as log lines show it.
struct Address(EndpointId);

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.0.address;
        write!(f, "{a}.{b}.{c}.{d}:{}", self.0.port)
    }
}

/// One line, for fronts that log text only.
impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EndpointEjected {
                destination,
                endpoint,
                reason,
            } => write!(
                f,
                "endpoint ejected: destination {}, endpoint {}, {reason}",
                destination.0,
                Address(*endpoint)
            ),
            LogEvent::EndpointReadmitted {
                destination,
                endpoint,
            } => write!(
                f,
                "endpoint readmitted: destination {}, endpoint {}",
                destination.0,
                Address(*endpoint)
            ),
            LogEvent::UnreadableGossip { peer, problem } => {
                write!(
                    f,
                    "gossip message ignored: from forwarder {peer}, {problem}"
                )
            }
        }
    }
}
