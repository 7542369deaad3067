//! The output of the decision core: actions that the caller carries out in the given order.

use super::{DestinationId, EndpointId, MessageId, Micros, TimerToken};
use std::fmt;

/// An action that the caller of the core carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts the next attempt at a message.
    StartAttempt {
        /// The message to deliver.
        id: MessageId,
        /// The endpoint that the attempt goes to.
        endpoint: EndpointId,
        /// Upper bound on the duration of the attempt, in µs. `None`: the attempt may last until the message's
        /// deadline.
        timeout: Option<Micros>,
        /// The time by which the first byte of the attempt must be written. An attempt that has written no byte by
        /// then writes none and ends as [`Outcome::NotAttempted`](super::Outcome::NotAttempted).
        send_by: Micros,
    },
    /// Gives the final answer to a message: it was not delivered and is not to be submitted again.
    Fail {
        /// The message that failed.
        id: MessageId,
    },
    /// Gives the final answer to a message: it was not delivered, and the client may submit it again.
    Reject {
        /// The message that is rejected.
        id: MessageId,
        /// Time after which the client should submit the message again, in µs. `None` where the deployment does not
        /// allow a retry-after ([`Config::may_send_retry_after`](super::Config::may_send_retry_after)).
        retry_after: Option<Micros>,
    },
    /// Sets a timer; [`Event::TimerFired`](super::Event::TimerFired) follows when it expires.
    SetTimer {
        /// Time from now to the expiry of the timer, in µs.
        delay: Micros,
        /// Identifies the timer; the event returns it.
        token: TimerToken,
    },
    /// Sends a health check; [`Event::HealthCheckEnded`](super::Event::HealthCheckEnded) follows.
    StartHealthCheck {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Cancels an attempt in flight. It ends as [`Outcome::Cancelled`](super::Outcome::Cancelled), unless its
    /// response has arrived before.
    CancelAttempt {
        /// The message of the attempt.
        id: MessageId,
        /// Index of the attempt among those at the message, from 0.
        attempt_index: u8,
    },
    /// Withdraws the attempts and health checks to an endpoint whose last byte has not been written. Each of them
    /// ends as [`Outcome::WithdrawnBeforeSend`](super::Outcome::WithdrawnBeforeSend). Requests that have been
    /// written whole continue.
    WithdrawUnsent {
        /// The endpoint whose unsent requests are withdrawn.
        endpoint: EndpointId,
    },
    /// Closes the connections to an endpoint that carry no request.
    CloseIdleConnections {
        /// The endpoint whose idle connections are closed.
        endpoint: EndpointId,
    },
    /// Starts or stops the watch on the endpoint list.
    WatchEndpointList {
        /// `true` starts the watch, `false` stops it.
        enabled: bool,
    },
    /// Fetches the complete endpoint list from discovery once.
    FetchEndpointList,
    /// Sends a datagram to other forwarders.
    SendGossip {
        /// Number of the receiving forwarder, from 0. `None`: all other forwarders.
        peer: Option<u16>,
        /// The encoded gossip message.
        payload: Vec<u8>,
    },
    /// Writes an event to the log.
    Log(LogEvent),
    /// Writes an error to the log, for a state that must never be reached. The core emits none at present; the
    /// variant exists because the simulator's protocol defines it.
    LogError(String),
}

/// An event that the core writes to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An endpoint was ejected: it gets health checks and single trial calls only.
    EndpointEjected {
        /// The destination that the endpoint belongs to.
        destination: DestinationId,
        /// The ejected endpoint.
        endpoint: EndpointId,
        /// The cause of the ejection.
        reason: EjectionReason,
    },
    /// An ejected endpoint accepted a message and was readmitted: its call rate grows during slow start.
    EndpointReadmitted {
        /// The destination that the endpoint belongs to.
        destination: DestinationId,
        /// The readmitted endpoint.
        endpoint: EndpointId,
    },
    /// A gossip message could not be decoded and was ignored.
    GossipIgnored {
        /// Number of the forwarder that sent the message, from 0.
        peer: u16,
        /// Why the message could not be decoded.
        problem: String,
    },
}

/// The cause of an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Too many failures or rejections, either in a row or among the latest attempts.
    Failures,
    /// The endpoint accepted calls and responded to none of them.
    Unresponsive,
    /// The endpoint asked for a retry-after that exceeds
    /// [`ServiceRuleConfig::overload_window`](super::ServiceRuleConfig::overload_window).
    LongRetryAfter,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EjectionReason::Failures => "too many failures",
            EjectionReason::Unresponsive => "attempts stay unanswered",
            EjectionReason::LongRetryAfter => "asked for a long retry-after",
        })
    }
}

/// Formats the address and port of an endpoint for log lines.
struct Address(EndpointId);

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.0.address;
        write!(f, "{a}.{b}.{c}.{d}:{}", self.0.port)
    }
}

/// Formats the event as one line, for callers whose log holds text only.
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
            LogEvent::GossipIgnored { peer, problem } => {
                write!(
                    f,
                    "gossip message ignored: from forwarder {peer}, {problem}"
                )
            }
        }
    }
}
