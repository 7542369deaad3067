//! Inputs and outputs of a simulated forwarder.

use opalpulley::{EndpointEntry, EndpointId, MessageId, Micros, Outcome, TimerToken};
use std::sync::Arc;

/// An input of a forwarder that is due at a simulated time.
pub enum ForwarderInput {
    /// A client submits the next message. The input is ignored if the arrival rate has been set again since it was
    /// scheduled, which `generation` tells.
    Message { generation: u32 },
    /// A timer that the core has set fires.
    Timer(TimerToken),
    /// An attempt ends: with a response, by its timeout or by cancellation. Only the first end of an attempt counts.
    AttemptEnded {
        id: MessageId,
        /// Index of the attempt among those of the message, from 0.
        attempt: u8,
        outcome: Outcome,
    },
    /// A health check ends with a response or by its timeout. Only the first end counts.
    HealthCheckEnded {
        endpoint: EndpointId,
        /// Time at which it was sent, in µs; it tells the health checks of one endpoint apart.
        sent_at: Micros,
        outcome: Outcome,
    },
    Gossip {
        /// Number of the forwarder that sent the datagram.
        peer: u16,
        payload: Arc<[u8]>,
    },
    /// A response of discovery arrives.
    EndpointList {
        /// Whether `entries` is the complete list instead of the changed entries.
        complete: bool,
        /// Latest revision that the entries include.
        revision: usize,
        entries: Arc<Vec<EndpointEntry>>,
    },
}

/// An output of a forwarder: something to transmit, or an observation about the forwarder that has no effect on the run.
pub enum ForwarderOutput {
    Call {
        id: MessageId,
        /// Index of the attempt among those of the message, from 0.
        attempt: u8,
        endpoint: EndpointId,
    },
    HealthCheck {
        endpoint: EndpointId,
    },
    Gossip {
        /// Number of the receiving forwarder, or `None` for all peers.
        to: Option<u16>,
        payload: Arc<[u8]>,
    },
    /// For the observer: the forwarder has seen the failure of a call or health check that was sent at `attempt_sent_at`.
    FailureSeen {
        destination: u32,
        attempt_sent_at: Micros,
    },
    /// For the observer: the core has applied all changes of the endpoint list up to a revision.
    ListInForce {
        revision: usize,
    },
}
