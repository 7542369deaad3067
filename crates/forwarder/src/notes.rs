//! The notes by which the actors talk. Each is plain data for one mailbox, below all actors: whoever sends one needs not
//! know who reads it.

use crate::protocol::{Ending, Handed};
use bytes::Bytes;
use opalpulley::{Event, Micros, PacketId};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What the client hears of a packet that it hands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Taken,
    Deferred {
        come_back: Option<Micros>,
    },
    WrittenOff,
    /// The room of the configuration is taken, or the journal can't hold it.
    NoRoom,
    /// A packet with this id is open, and it is another one.
    OtherContent,
    /// No list has named its destination.
    Unlisted,
}

/// A packet at the door, and where its answer goes.
pub struct HandIn {
    pub handed: Handed,
    /// When its last byte was read.
    pub came: Instant,
    pub answer: oneshot::Sender<Answer>,
}

/// To the dispatcher.
pub enum Note {
    Event(Event),
    /// The platform knows of these ends.
    Heard(Vec<u64>),
}

/// To the list's actor.
pub enum ListNote {
    Watch(bool),
    Fetch,
}

/// To the gossip socket: a message for one peer, or for all.
pub struct GossipMessage {
    /// None for all.
    pub peer: Option<u16>,
    pub message: Vec<u8>,
}

/// A completion report to be sent: the serial number, id and end of a packet.
#[derive(Clone, Debug)]
pub struct PendingReport {
    pub serial: u64,
    pub request_id: String,
    pub ending: Ending,
}

/// To a target's actor.
pub enum TargetNote {
    /// Boxed: a mailbox keeps room for some dozens of notes as soon as it has had one.
    Call(Box<Call>),
    Probe,
    CallOff {
        id: PacketId,
        trip: u8,
    },
    /// Whatever has not gone whole goes no further.
    TakeBack,
    CloseIdle,
}

/// One call: a trip of a packet, with all that its codec needs.
pub struct Call {
    pub id: PacketId,
    pub trip: u8,
    pub request_id: String,
    pub mark: Option<String>,
    pub body: Bytes,
    pub limit: Duration,
    /// Its first byte goes out before this moment, or none does.
    pub begin_by: Instant,
}
