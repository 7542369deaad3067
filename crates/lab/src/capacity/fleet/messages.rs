//! What goes into a hollow forwarder and what comes out of it: plain data.

use opalpulley::{Listing, Micros, Outcome, PacketId, TargetId, Token};
use std::sync::Arc;

/// What comes to a forwarder at a time.
pub enum Incoming {
    /// The next message of its stream arrives; void if the stream has been set anew.
    Message {
        stream: u32,
    },
    Alarm(Token),
    Answer {
        id: PacketId,
        attempt: u8,
        outcome: Outcome,
    },
    ProbeAnswer {
        target: TargetId,
        sent: Micros,
        outcome: Outcome,
    },
    Gossip {
        from: u16,
        message: Arc<[u8]>,
    },
    List {
        whole: bool,
        revision: usize,
        listings: Arc<Vec<Listing>>,
    },
}

/// What a forwarder gives to the wire, or to the onlooker.
pub enum Outgoing {
    Call {
        id: PacketId,
        attempt: u8,
        target: TargetId,
    },
    Probe {
        target: TargetId,
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
