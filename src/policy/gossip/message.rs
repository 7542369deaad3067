//! The wire format of gossip: a version byte, a subject byte and the number of a destination in
//! little-endian byte order.
//!
//! A number that fits into 16 bits is encoded in two bytes, which forwarders of every version can
//! decode. A larger number is encoded in four bytes with a different subject, which earlier
//! versions ignore.

use crate::model::DestinationId;
use std::fmt;

/// The version of the wire format.
const VERSION: u8 = 1;

/// Subject byte: the destination is at its rate limit. Its number follows in two bytes.
const AT_LIMIT: u8 = 1;

/// Subject byte: the destination is at its rate limit. Its number follows in four bytes.
const AT_LIMIT_WIDE: u8 = 2;

/// The reason why a gossip message can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipError {
    /// The message does not have the length that its subject requires. Holds the length in bytes.
    Length(usize),
    /// The version byte is not [`VERSION`]. Holds the version byte.
    Version(u8),
    /// This version does not define the subject. Holds the subject byte.
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

/// Encodes the message that the destination is at its rate limit.
pub fn encode(destination: DestinationId) -> Vec<u8> {
    match destination.0.to_le_bytes() {
        [low, high, 0, 0] => vec![VERSION, AT_LIMIT, low, high],
        [a, b, c, d] => vec![VERSION, AT_LIMIT_WIDE, a, b, c, d],
    }
}

/// Decodes the destination that is at its rate limit. Fails if the version, the subject or the
/// length is not one that [`encode`] writes.
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
