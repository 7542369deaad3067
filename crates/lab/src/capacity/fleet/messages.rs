//! What goes into a hollow forwarder and what comes out of it: plain data.

use opalpulley::{EndpointEntry, EndpointId, MessageId, Micros, Outcome, TimerToken};
use std::sync::Arc;

/// What comes to a forwarder at a time.
pub enum Incoming {
    /// The next message of its stream arrives; void if the stream has been set anew.
    Message {
        stream: u32,
    },
    Alarm(TimerToken),
    Answer {
        id: MessageId,
        attempt: u8,
        outcome: Outcome,
    },
    ProbeAnswer {
        target: EndpointId,
        sent: Micros,
        outcome: Outcome,
    },
    Gossip {
        peer: u16,
        message: Arc<[u8]>,
    },
    List {
        whole: bool,
        revision: usize,
        listings: Arc<Vec<EndpointEntry>>,
    },
}

/// What a forwarder gives to the wire, or to the onlooker.
pub enum Outgoing {
    Call {
        id: MessageId,
        attempt: u8,
        target: EndpointId,
    },
    Probe {
        target: EndpointId,
    },
    Gossip {
        to: Option<u16>,
        message: Arc<[u8]>,
    },
    /// For the onlooker: it has seen a call or probe fail that was sent at `tried`.
    MetFailure {
        destination: u32,
        tried: Micros,
    },
    /// For the onlooker: what a list answer told is in force.
    ListInForce {
        revision: usize,
    },
}
