//! The format of the journal's records.
//!
//! A record is encoded by postcard and framed by its length and a checksum, both little-endian `u32`. Postcard writes
//! no names: the order of variants and fields and their types are the stored format and must not change.

use crate::protocol::Ending;
use bytes::Bytes;
use opalpulley::Micros;
use serde::{Deserialize, Serialize};

/// Size of the header before each record, in bytes: the length and the checksum of the encoded record, 4 bytes each.
pub const FRAME_HEADER_BYTES: usize = 8;

/// The largest destination that earlier versions can store. They use 16 bits for it.
pub const MAX_DESTINATION_OF_EARLIER_VERSIONS: u32 = 65_535;

/// Space that a message reserves beside its request id, idempotency key and body, in bytes. It exceeds the largest
/// record of a message other than the message itself.
const RESERVED_OVERHEAD_BYTES: u64 = 256;

/// A message as the journal stores it. If the destination fits in 16 bits, the bytes are the same as those that earlier
/// versions write. For a larger destination see [`LargeDestinationTrailer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredMessage {
    /// Serial number of the message in this journal, from 0.
    pub serial: u64,
    /// The client's id of the message.
    pub request_id: String,
    /// Index of the delivery class, from 0.
    pub class: u16,
    /// Number of the tenant. `None` if the deployment has no tenants, or none of the submitted name.
    pub tenant: Option<u32>,
    /// Number of the destination.
    pub destination: u32,
    /// The instant after which the message must not be delivered, in µs since the Unix epoch.
    pub deadline: Micros,
    /// The key by which endpoints drop repeats. `None` where the delivery class needs none.
    pub idempotency_key: Option<String>,
    /// Whether the client had submitted the message before.
    pub resubmitted: bool,
    /// Whether the client had submitted the message to a forwarder that failed.
    pub from_failed_forwarder: bool,
    /// The body of the message.
    pub body: Bytes,
    /// Messages with the same order key are delivered in order. Earlier versions stored no order key, so it follows the
    /// other fields, in [`Record::OrderedMessage`].
    #[serde(skip)]
    pub order_key: Option<u64>,
    /// Number of attempts that were started and not withdrawn.
    pub attempts_started: u32,
    /// The earliest attempt that may have taken effect.
    pub possible_effect: Option<StoredEffect>,
    /// The attempts that have no outcome yet.
    pub attempts_in_flight: Vec<StoredAttempt>,
    /// The final answer, if it is decided and the platform has not acknowledged it.
    pub pending_report: Option<Ending>,
}

/// An attempt that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEffect {
    /// The instant at which the attempt started, in µs since the Unix epoch.
    pub started_at: Micros,
    /// The zone of the endpoint.
    pub zone: u16,
}

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAttempt {
    /// Index of the attempt among those at the message, from 0.
    pub attempt_index: u8,
    /// The instant at which the attempt started, in µs since the Unix epoch.
    pub started_at: Micros,
    /// The zone of the endpoint.
    pub zone: u16,
}

impl StoredMessage {
    /// Returns the space in the journal that the message needs until it is finished, in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        let idempotency_key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        let variable_bytes = self.request_id.len() + idempotency_key_bytes + self.body.len();
        variable_bytes as u64 + RESERVED_OVERHEAD_BYTES
    }

    /// Adds an attempt that may have taken effect. Only the earliest one is kept.
    pub fn add_possible_effect(&mut self, effect: StoredEffect) {
        let is_earliest = self
            .possible_effect
            .is_none_or(|earliest| effect.started_at < earliest.started_at);
        if is_earliest {
            self.possible_effect = Some(effect);
        }
    }

    /// Returns whether an attempt may have taken effect, those in flight included.
    pub fn may_have_taken_effect(&self) -> bool {
        self.possible_effect.is_some() || !self.attempts_in_flight.is_empty()
    }

    /// Counts the attempts in flight as attempts that may have taken effect, because their outcomes are lost at a
    /// restart.
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

/// A change to one message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// The current state of a message without an order key.
    Message(StoredMessage),
    /// An attempt started.
    AttemptStarted {
        /// Serial number of the message.
        serial: u64,
        /// Index of the attempt among those at the message, from 0.
        attempt_index: u8,
        /// The instant at which the attempt started, in µs since the Unix epoch.
        started_at: Micros,
        /// The zone of the endpoint.
        zone: u16,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Serial number of the message.
        serial: u64,
        /// Index of the attempt among those at the message, from 0.
        attempt_index: u8,
        /// Whether the endpoint may have processed the message.
        may_have_taken_effect: bool,
    },
    /// The final answer is decided, and the platform has not acknowledged it.
    PendingReport {
        /// Serial number of the message.
        serial: u64,
        /// The final answer to the message.
        ending: Ending,
    },
    /// The message is finished.
    MessageEnded {
        /// Serial number of the message.
        serial: u64,
    },
    /// The current state of a message with its order key.
    OrderedMessage(StoredMessage, u64),
}

impl Record {
    /// Returns the record that stores the current state of a message.
    pub fn message(message: StoredMessage) -> Record {
        match message.order_key {
            Some(order_key) => Record::OrderedMessage(message, order_key),
            None => Record::Message(message),
        }
    }

    /// Returns the serial number of the message that the record is about.
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

/// The bytes after the record of a message whose destination does not fit in 16 bits.
///
/// The record itself holds a destination that earlier versions can read and a pending completion report: the one that
/// is decided, or else that the message failed. Each message therefore gets a final answer whichever version reads it,
/// and the records after it stay readable. Earlier versions skip the trailer; this version takes the actual values from
/// it.
#[derive(Debug, Serialize, Deserialize)]
pub struct LargeDestinationTrailer {
    /// Number of the destination.
    pub destination: u32,
    /// The final answer, if it is decided.
    pub pending_report: Option<Ending>,
}

impl LargeDestinationTrailer {
    /// Splits a record into a record for earlier versions and the trailer after it. Returns `None` if earlier versions
    /// can read the record unchanged.
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

/// Encodes a record with its frame header.
pub fn encode_frame(record: &Record) -> postcard::Result<Vec<u8>> {
    let payload = encode_payload(record)?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend((payload.len() as u32).to_le_bytes());
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(payload);
    Ok(frame)
}

/// Encodes a record without its frame header, including a trailer if it needs one.
pub fn encode_payload(record: &Record) -> postcard::Result<Vec<u8>> {
    match LargeDestinationTrailer::split(record) {
        Some((compatible_record, trailer)) => {
            let payload = postcard::to_allocvec(&compatible_record)?;
            postcard::to_extend(&trailer, payload)
        }
        None => postcard::to_allocvec(record),
    }
}

/// Decodes the first record of `bytes`. Returns it with its length in bytes, frame header included, or `None` if the
/// record is cut off or damaged.
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

/// Decodes a record from its bytes without the frame header. Fails if bytes follow the record that are not a whole
/// [`LargeDestinationTrailer`].
pub fn decode_payload(payload: &[u8]) -> postcard::Result<Record> {
    let (mut record, trailer_bytes) = postcard::take_from_bytes::<Record>(payload)?;
    if !trailer_bytes.is_empty() {
        let trailer = postcard::from_bytes::<LargeDestinationTrailer>(trailer_bytes)?;
        trailer.apply_to(&mut record);
    }
    Ok(record)
}
