//! The messages between forwarders on the wire: version, subject, number of the destination (low byte first). A codec.
//!
//! A number of 16 bits takes two bytes, as forwarders of every version read it. A larger one takes four under a subject of
//! its own, which earlier versions pass over.

use crate::model::DestinationId;
use std::fmt;

const VERSION: u8 = 1;
const AT_ITS_LIMIT: u8 = 1; // with two bytes of the number
const AT_ITS_LIMIT_WIDE: u8 = 2; // with four

/// Why a message can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    Length(usize),
    Version(u8),
    Subject(u8),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::Length(bytes) => {
                write!(f, "{bytes} bytes, not the length of its subject")
            }
            MessageError::Version(version) => write!(f, "version {version}, this is {VERSION}"),
            MessageError::Subject(subject) => write!(f, "subject {subject} is not known"),
        }
    }
}

pub fn encode(at: DestinationId) -> Vec<u8> {
    match at.0.to_le_bytes() {
        [low, high, 0, 0] => vec![VERSION, AT_ITS_LIMIT, low, high],
        [a, b, c, d] => vec![VERSION, AT_ITS_LIMIT_WIDE, a, b, c, d],
    }
}

pub fn decode(message: &[u8]) -> Result<DestinationId, MessageError> {
    match *message {
        [VERSION, AT_ITS_LIMIT, low, high] => {
            Ok(DestinationId(u32::from_le_bytes([low, high, 0, 0])))
        }
        [VERSION, AT_ITS_LIMIT_WIDE, a, b, c, d] => {
            Ok(DestinationId(u32::from_le_bytes([a, b, c, d])))
        }
        [VERSION, AT_ITS_LIMIT | AT_ITS_LIMIT_WIDE, ..] => Err(MessageError::Length(message.len())),
        [VERSION, subject, _, ..] => Err(MessageError::Subject(subject)),
        [version, _, _, ..] => Err(MessageError::Version(version)),
        _ => Err(MessageError::Length(message.len())),
    }
}
