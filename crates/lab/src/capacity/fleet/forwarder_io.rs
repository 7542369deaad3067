//! What goes into a hollow forwarder and what comes out of it: plain data.

use opalpulley::{EndpointEntry, EndpointId, MessageId, Micros, Outcome, TimerToken};
use std::sync::Arc;

/// What comes to a forwarder at a time.
pub enum ForwarderInput {
    /// The next message of its stream arrives; void if the stream has been set anew.
    Message {
        generation: u32,
    },
    Timer(TimerToken),
    AttemptEnded {
        id: MessageId,
        attempt: u8,
        outcome: Outcome,
    },
    HealthCheckEnded {
        endpoint: EndpointId,
        sent_at: Micros,
        outcome: Outcome,
    },
    Gossip {
        peer: u16,
        payload: Arc<[u8]>,
    },
    EndpointList {
        complete: bool,
        revision: usize,
        entries: Arc<Vec<EndpointEntry>>,
    },
}

/// What a forwarder gives to the wire, or to the onlooker.
pub enum ForwarderOutput {
    Call {
        id: MessageId,
        attempt: u8,
        endpoint: EndpointId,
    },
    HealthCheck {
        endpoint: EndpointId,
    },
    Gossip {
        to: Option<u16>,
        payload: Arc<[u8]>,
    },
    /// For the onlooker: it has seen a call or probe fail that was sent at `tried`.
    FailureSeen {
        destination: u32,
        attempt_sent_at: Micros,
    },
    /// For the onlooker: what a list answer told is in force.
    ListInForce {
        revision: usize,
    },
}
