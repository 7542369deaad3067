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
const RESERVED_OVERHEAD_BYTES: u64 = 256;

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
    pub order_key: Option<u64>,
    /// How many attempts were started.
    pub attempts_started: u32,
    /// The earliest attempt that may have taken effect.
    pub possible_effect: Option<StoredEffect>,
    /// The attempts without an outcome.
    pub attempts_in_flight: Vec<StoredAttempt>,
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
    pub attempt_index: u8,
    /// When it started, in Unix µs.
    pub started_at: Micros,
    /// The zone of its endpoint.
    pub zone: u16,
}

impl StoredMessage {
    /// How many bytes of the journal the message needs until it is over.
    pub fn reserved_bytes(&self) -> u64 {
        let idempotency_key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        let variable_bytes = self.request_id.len() + idempotency_key_bytes + self.body.len();
        variable_bytes as u64 + RESERVED_OVERHEAD_BYTES
    }

    /// Notes an attempt that may have taken effect. The earliest one counts.
    pub fn add_possible_effect(&mut self, effect: StoredEffect) {
        let is_earliest = self
            .possible_effect
            .is_none_or(|earliest| effect.started_at < earliest.started_at);
        if is_earliest {
            self.possible_effect = Some(effect);
        }
    }

    /// Counts the attempts without an outcome as ones that may have taken effect: after a restart no outcome comes.
    pub fn assume_effect_of_attempts_in_flight(&mut self) {
        for attempt in std::mem::take(&mut self.attempts_in_flight) {
            self.add_possible_effect(attempt.into());
        }
    }

    /// Applies a later record of this message.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::AttemptStarted {
                attempt_index,
                started_at,
                zone,
                ..
            } => {
                self.attempts_started = self.attempts_started.max(u32::from(*attempt_index) + 1);
                self.attempts_in_flight.push(StoredAttempt {
                    attempt_index: *attempt_index,
                    started_at: *started_at,
                    zone: *zone,
                });
            }
            Record::AttemptEnded {
                attempt_index,
                may_have_taken_effect,
                ..
            } => self.end_attempt(*attempt_index, *may_have_taken_effect),
            Record::PendingReport { ending, .. } => self.pending_report = Some(*ending),
            Record::Message(_) | Record::OrderedMessage(..) | Record::MessageEnded { .. } => {}
        }
    }

    fn end_attempt(&mut self, attempt_index: u8, may_have_taken_effect: bool) {
        let is_ended = |in_flight: &StoredAttempt| in_flight.attempt_index == attempt_index;
        let Some(position) = self.attempts_in_flight.iter().position(is_ended) else {
            return;
        };
        let ended = self.attempts_in_flight.remove(position);
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
        attempt_index: u8,
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
        attempt_index: u8,
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
    MessageEnded {
        /// The message.
        serial: u64,
    },
    /// A message with its order key, as it is now.
    OrderedMessage(StoredMessage, u64),
}

impl Record {
    /// The record of a message as it is now.
    pub fn message(message: StoredMessage) -> Record {
        match message.order_key {
            Some(order_key) => Record::OrderedMessage(message, order_key),
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
            | Record::MessageEnded { serial } => *serial,
        }
    }
}

/// What follows the record of a message whose destination does not fit 16 bits.
///
/// Earlier versions read the record as that of a failed message whose completion report is pending. So every message
/// gets a final answer, whichever version reads it, and the records behind it stay readable. They skip the bytes after
/// the record; this version finds the true values there.
#[derive(Debug, Serialize, Deserialize)]
pub struct LargeDestinationTrailer {
    /// The number of the destination.
    pub destination: u32,
    /// The final answer, where it is decided.
    pub pending_report: Option<Ending>,
}

impl LargeDestinationTrailer {
    /// Splits a record into what earlier versions are to read, and what follows it. None where they can read it as it
    /// is.
    fn split(record: &Record) -> Option<(Record, LargeDestinationTrailer)> {
        let (Record::Message(message) | Record::OrderedMessage(message, _)) = record else {
            return None;
        };
        if message.destination <= MAX_DESTINATION_OF_EARLIER_VERSIONS {
            return None;
        }
        let trailer = LargeDestinationTrailer {
            destination: message.destination,
            pending_report: message.pending_report,
        };
        let compatible_values = LargeDestinationTrailer {
            destination: MAX_DESTINATION_OF_EARLIER_VERSIONS,
            pending_report: message.pending_report.or(Some(Ending::Failed)),
        };
        let mut compatible_record = record.clone();
        compatible_values.apply_to(&mut compatible_record);
        Some((compatible_record, trailer))
    }

    fn apply_to(self, record: &mut Record) {
        if let Record::Message(message) | Record::OrderedMessage(message, _) = record {
            message.destination = self.destination;
            message.pending_report = self.pending_report;
        }
    }
}

/// A record with its frame.
pub fn encode_frame(record: &Record) -> postcard::Result<Vec<u8>> {
    let payload = encode_payload(record)?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend((payload.len() as u32).to_le_bytes());
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(payload);
    Ok(frame)
}

/// A record without its frame.
pub fn encode_payload(record: &Record) -> postcard::Result<Vec<u8>> {
    match LargeDestinationTrailer::split(record) {
        Some((compatible_record, trailer)) => {
            let payload = postcard::to_allocvec(&compatible_record)?;
            postcard::to_extend(&trailer, payload)
        }
        None => postcard::to_allocvec(record),
    }
}

/// The first record of some bytes and its length with the frame, in bytes. None where it is cut off or damaged.
pub fn decode_frame(bytes: &[u8]) -> Option<(Record, usize)> {
    let payload_len = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..FRAME_HEADER_BYTES)?.try_into().ok()?);
    let frame_len = FRAME_HEADER_BYTES.checked_add(payload_len)?;
    let payload = bytes.get(FRAME_HEADER_BYTES..frame_len)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    let record = decode_payload(payload).ok()?;
    Some((record, frame_len))
}

/// A record from its bytes without the frame. Bytes that follow it must be a whole [`LargeDestination`].
pub fn decode_payload(payload: &[u8]) -> postcard::Result<Record> {
    let (mut record, trailer_bytes) = postcard::take_from_bytes::<Record>(payload)?;
    if !trailer_bytes.is_empty() {
        let trailer = postcard::from_bytes::<LargeDestinationTrailer>(trailer_bytes)?;
        trailer.apply_to(&mut record);
    }
    Ok(record)
}
