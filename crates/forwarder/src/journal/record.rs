//! The format of the journal's records.
//!
//! A record is framed by its length and a checksum, both little-endian `u32`, and encoded by postcard. Postcard writes
//! no names: the order of variants and fields and their types are the stored format, and must stay.

use crate::protocol::Ending;
use bytes::Bytes;
use opalpulley::Micros;
use serde::{Deserialize, Serialize};

/// The bytes before each record: its length and its checksum.
pub const FRAME_HEADER_BYTES: usize = 8;

/// The largest number of a destination in earlier versions, which stored it with 16 bits.
pub const MAX_DESTINATION_OF_EARLIER_VERSIONS: u32 = 65_535;

/// Bytes beside its texts that a message reserves: more than the largest record of it but the message itself.
const RESERVED_BYTES_BESIDE_TEXTS: u64 = 256;

/// A message as the journal stores it. A destination of 16 bits is written as by earlier versions, byte by byte. For a
/// larger one see [`LargeDestination`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredMessage {
    /// Its number in this journal, from 0.
    pub serial: u64,
    /// The id that its client gave it.
    pub request_id: String,
    /// The number of its delivery class.
    pub class: u16,
    /// The number of its tenant, where the deployment has it.
    pub tenant: Option<u32>,
    /// The number of its destination.
    pub destination: u32,
    /// After this moment, in Unix µs, it must not be delivered.
    pub deadline: Micros,
    /// By which endpoints drop repeats.
    pub idempotency_key: Option<String>,
    /// Whether its client had submitted it before.
    pub resubmitted: bool,
    /// Whether its client had submitted it to a forwarder that died.
    pub from_failed_forwarder: bool,
    /// Its body.
    pub body: Bytes,
    /// Messages of the same key are delivered in order. Earlier versions stored none, so it is written after the other
    /// fields, in [`Record::OrderedMessage`].
    #[serde(skip)]
    pub key: Option<u64>,
    /// How many attempts were started.
    pub attempts: u32,
    /// The earliest attempt that may have taken effect.
    pub possible_effect: Option<StoredEffect>,
    /// The attempts without an outcome.
    pub attempts_out: Vec<StoredAttempt>,
    /// The final answer, where it is decided and the platform has not acknowledged it.
    pub pending_report: Option<Ending>,
}

/// An attempt that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEffect {
    /// When it started, in Unix µs.
    pub started_at: Micros,
    /// The zone of its endpoint.
    pub zone: u16,
}

/// An attempt without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAttempt {
    /// Its number, from 0.
    pub attempt: u8,
    /// When it started, in Unix µs.
    pub started_at: Micros,
    /// The zone of its endpoint.
    pub zone: u16,
}

impl StoredMessage {
    /// How many bytes of the journal the message needs until it is over.
    pub fn reserved_bytes(&self) -> u64 {
        let key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        let text_bytes = self.request_id.len() + key_bytes + self.body.len();
        text_bytes as u64 + RESERVED_BYTES_BESIDE_TEXTS
    }

    /// Notes an attempt that may have taken effect. The earliest one counts.
    pub fn add_possible_effect(&mut self, effect: StoredEffect) {
        let is_earliest = self
            .possible_effect
            .is_none_or(|first| effect.started_at < first.started_at);
        if is_earliest {
            self.possible_effect = Some(effect);
        }
    }

    /// Counts the attempts without an outcome as ones that may have taken effect: after a restart no outcome comes.
    pub fn assume_effect_of_attempts_out(&mut self) {
        for out in std::mem::take(&mut self.attempts_out) {
            self.add_possible_effect(out.into());
        }
    }

    /// Applies a later record of this message.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::AttemptStarted {
                attempt,
                started_at,
                zone,
                ..
            } => {
                self.attempts = self.attempts.max(u32::from(*attempt) + 1);
                self.attempts_out.push(StoredAttempt {
                    attempt: *attempt,
                    started_at: *started_at,
                    zone: *zone,
                });
            }
            Record::AttemptEnded {
                attempt,
                may_have_taken_effect,
                ..
            } => self.end_attempt(*attempt, *may_have_taken_effect),
            Record::PendingReport { ending, .. } => self.pending_report = Some(*ending),
            Record::Message(_) | Record::OrderedMessage(..) | Record::Ended { .. } => {}
        }
    }

    fn end_attempt(&mut self, attempt: u8, may_have_taken_effect: bool) {
        let is_it = |out: &StoredAttempt| out.attempt == attempt;
        let Some(place) = self.attempts_out.iter().position(is_it) else {
            return;
        };
        let ended = self.attempts_out.remove(place);
        if may_have_taken_effect {
            self.add_possible_effect(ended.into());
        }
    }
}

impl From<StoredAttempt> for StoredEffect {
    fn from(attempt: StoredAttempt) -> StoredEffect {
        StoredEffect {
            started_at: attempt.started_at,
            zone: attempt.zone,
        }
    }
}

/// One change of a message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A message without an order key, as it is now.
    Message(StoredMessage),
    /// An attempt starts.
    AttemptStarted {
        /// The message.
        serial: u64,
        /// The number of the attempt, from 0.
        attempt: u8,
        /// In Unix µs.
        started_at: Micros,
        /// The zone of its endpoint.
        zone: u16,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The message.
        serial: u64,
        /// The number of the attempt, from 0.
        attempt: u8,
        /// Whether the endpoint may have processed the message.
        may_have_taken_effect: bool,
    },
    /// The final answer is decided; the platform has not acknowledged it.
    PendingReport {
        /// The message.
        serial: u64,
        /// The final answer.
        ending: Ending,
    },
    /// The message is over.
    Ended {
        /// The message.
        serial: u64,
    },
    /// A message with its order key, as it is now.
    OrderedMessage(StoredMessage, u64),
}

impl Record {
    /// The record of a message as it is now.
    pub fn message(message: StoredMessage) -> Record {
        match message.key {
            Some(key) => Record::OrderedMessage(message, key),
            None => Record::Message(message),
        }
    }

    /// The serial number of its message.
    pub fn serial(&self) -> u64 {
        match self {
            Record::Message(message) | Record::OrderedMessage(message, _) => message.serial,
            Record::AttemptStarted { serial, .. }
            | Record::AttemptEnded { serial, .. }
            | Record::PendingReport { serial, .. }
            | Record::Ended { serial } => *serial,
        }
    }
}

/// What follows the record of a message whose destination does not fit 16 bits.
///
/// Earlier versions read the record as that of a failed message whose completion report is pending. So every message
/// gets a final answer, whichever version reads it, and the records behind it stay readable. They skip the bytes after
/// the record; this version finds the true values there.
#[derive(Debug, Serialize, Deserialize)]
pub struct LargeDestination {
    /// The number of the destination.
    pub destination: u32,
    /// The final answer, where it is decided.
    pub pending_report: Option<Ending>,
}

impl LargeDestination {
    /// Splits a record into what earlier versions are to read, and what follows it. None where they can read it as it
    /// is.
    fn split(record: &Record) -> Option<(Record, LargeDestination)> {
        let (Record::Message(message) | Record::OrderedMessage(message, _)) = record else {
            return None;
        };
        if message.destination <= MAX_DESTINATION_OF_EARLIER_VERSIONS {
            return None;
        }
        let true_values = LargeDestination {
            destination: message.destination,
            pending_report: message.pending_report,
        };
        let values_for_earlier_versions = LargeDestination {
            destination: MAX_DESTINATION_OF_EARLIER_VERSIONS,
            pending_report: message.pending_report.or(Some(Ending::Failed)),
        };
        let mut earlier = record.clone();
        values_for_earlier_versions.put_into(&mut earlier);
        Some((earlier, true_values))
    }

    fn put_into(self, record: &mut Record) {
        if let Record::Message(message) | Record::OrderedMessage(message, _) = record {
            message.destination = self.destination;
            message.pending_report = self.pending_report;
        }
    }
}

/// A record with its frame.
pub fn encode(record: &Record) -> postcard::Result<Vec<u8>> {
    let body = encode_body(record)?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(crc32fast::hash(&body).to_le_bytes());
    frame.extend(body);
    Ok(frame)
}

/// A record without its frame.
pub fn encode_body(record: &Record) -> postcard::Result<Vec<u8>> {
    match LargeDestination::split(record) {
        Some((earlier, true_values)) => {
            let body = postcard::to_allocvec(&earlier)?;
            postcard::to_extend(&true_values, body)
        }
        None => postcard::to_allocvec(record),
    }
}

/// The first record of some bytes and its length with the frame, in bytes. None where it is cut off or damaged.
pub fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..FRAME_HEADER_BYTES)?.try_into().ok()?);
    let end = FRAME_HEADER_BYTES.checked_add(length)?;
    let body = bytes.get(FRAME_HEADER_BYTES..end)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    let record = decode_body(body).ok()?;
    Some((record, end))
}

/// A record from its bytes without the frame. Bytes that follow it must be a whole [`LargeDestination`].
pub fn decode_body(body: &[u8]) -> postcard::Result<Record> {
    let (mut record, rest) = postcard::take_from_bytes::<Record>(body)?;
    if !rest.is_empty() {
        let true_values = postcard::from_bytes::<LargeDestination>(rest)?;
        true_values.put_into(&mut record);
    }
    Ok(record)
}
