//! The notes between forwarders on the wire: version, subject, number of the destination (low byte first). A codec.

use crate::interface::DestinationId;
use std::fmt;

const VERSION: u8 = 1;
const AT_ITS_LIMIT: u8 = 1;

/// Why a note can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadNote {
    Length(usize),
    Version(u8),
    Subject(u8),
}

impl fmt::Display for BadNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadNote::Length(bytes) => write!(f, "{bytes} bytes, 4 are wanted"),
            BadNote::Version(version) => write!(f, "version {version}, this is {VERSION}"),
            BadNote::Subject(subject) => write!(f, "subject {subject} is not known"),
        }
    }
}

pub fn write(at: DestinationId) -> Vec<u8> {
    let [low, high] = at.0.to_le_bytes();
    vec![VERSION, AT_ITS_LIMIT, low, high]
}

pub fn read(note: &[u8]) -> Result<DestinationId, BadNote> {
    match *note {
        [VERSION, AT_ITS_LIMIT, low, high] => Ok(DestinationId(u16::from_le_bytes([low, high]))),
        [VERSION, subject, _, _] => Err(BadNote::Subject(subject)),
        [version, _, _, _] => Err(BadNote::Version(version)),
        _ => Err(BadNote::Length(note.len())),
    }
}
