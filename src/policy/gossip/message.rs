//! The wire format of gossip: a version byte, a subject byte and the number of a destination in
//! little-endian order.
//!
//! A number of 16 bits takes two bytes, which forwarders of every version read. A larger number
//! takes four bytes under a subject of its own, which earlier versions ignore.

use crate::model::DestinationId;
use std::fmt;

/// The version of the format.
const VERSION: u8 = 1;

/// Subject: the destination is at its limit. Two bytes of its number follow.
const AT_LIMIT: u8 = 1;

/// Subject: the destination is at its limit. Four bytes of its number follow.
const AT_LIMIT_WIDE: u8 = 2;

/// Why a gossip message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipError {
    /// The length in bytes, which is not that of a message on its subject.
    Length(usize),
    /// The version, which is not [`VERSION`].
    Version(u8),
    /// The subject, which is none of this version.
    Subject(u8),
}

impl fmt::Display for GossipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GossipError::Length(bytes) => {
                write!(f, "{bytes} bytes, not the length of its subject")
            }
            GossipError::Version(version) => write!(f, "version {version}, this is {VERSION}"),
            GossipError::Subject(subject) => write!(f, "subject {subject} is not known"),
        }
    }
}

impl std::error::Error for GossipError {}

/// The message that says that a destination is at its limit.
pub fn encode(destination: DestinationId) -> Vec<u8> {
    match destination.0.to_le_bytes() {
        [low, high, 0, 0] => vec![VERSION, AT_LIMIT, low, high],
        [a, b, c, d] => vec![VERSION, AT_LIMIT_WIDE, a, b, c, d],
    }
}

/// The destination that the message says is at its limit.
pub fn decode(payload: &[u8]) -> Result<DestinationId, GossipError> {
    match *payload {
        [VERSION, AT_LIMIT, low, high] => Ok(destination_from_bytes([low, high, 0, 0])),
        [VERSION, AT_LIMIT_WIDE, a, b, c, d] => Ok(destination_from_bytes([a, b, c, d])),
        [VERSION, AT_LIMIT | AT_LIMIT_WIDE, ..] => Err(GossipError::Length(payload.len())),
        [VERSION, subject, _, ..] => Err(GossipError::Subject(subject)),
        [version, _, _, ..] => Err(GossipError::Version(version)),
        _ => Err(GossipError::Length(payload.len())),
    }
}

fn destination_from_bytes(little_endian: [u8; 4]) -> DestinationId {
    DestinationId(u32::from_le_bytes(little_endian))
}
