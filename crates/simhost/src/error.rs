//! Errors in the simulator's input, in the encoding of a reply, and in standard input and output.

use opalpulley_config::SettingsError;
use std::fmt;
use std::io;

/// An error that ends the program.
#[derive(Debug)]
pub enum WireError {
    /// Reading from standard input or writing to standard output failed.
    Io(io::Error),
    /// The input ended inside a frame.
    Truncated {
        /// The incomplete part of the frame.
        part: &'static str,
        /// Length of the whole part, in bytes.
        expected_bytes: usize,
        /// Number of bytes that were read of the part.
        actual_bytes: usize,
    },
    /// A record can't be decoded, applied or encoded.
    Record {
        /// Name of the record in the simulator's protocol.
        record: &'static str,
        /// Offset of the record in the body of its batch, in bytes; 0 for a record of a reply.
        offset: usize,
        /// The cause of the error.
        kind: RecordErrorKind,
    },
}

/// The cause of an error in a record.
#[derive(Debug)]
pub enum RecordErrorKind {
    /// The record ends inside a field.
    TooShort {
        /// Length of the field, in bytes.
        field_bytes: usize,
        /// Offset of the field in the record, in bytes.
        position: usize,
        /// Number of bytes from the start of the field to the end of the record.
        remaining_bytes: usize,
    },
    /// Bytes follow the last record of a batch. Contains their number.
    TrailingBytes(usize),
    /// A list announces more entries than its record can contain.
    TooManyEntries {
        /// Number of entries that the list announces.
        announced_entries: usize,
        /// Number of bytes that the record has for entries.
        remaining_bytes: usize,
    },
    /// The code of an outcome is unknown. Contains the code.
    UnknownOutcome(u16),
    /// The status of an endpoint is unknown. Contains the number of the status.
    UnknownEndpointStatus(u8),
    /// The kind of a list update is unknown. Contains the number of the kind.
    UnknownListUpdateKind(u8),
    /// The number of a destination is not a whole number from 0 to 65535.
    InvalidDestination(f32),
    /// The number of a list to register is too high. Contains the number.
    ListNumberOutOfRange(u32),
    /// An update refers to a list that is not registered. Contains the number of the list.
    UnregisteredList(u32),
    /// A record refers to an instance that is not running. Contains the number of the instance.
    UnknownInstance(u16),
    /// The settings of an instance are invalid.
    Settings(SettingsError),
    /// A number in a reply exceeds 32 bits.
    NumberTooLarge(u64),
    /// A text or payload in a reply exceeds 65535 bytes. Contains its length in bytes.
    TextTooLong(usize),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "failed to read a batch or write a reply: {error}"),
            WireError::Truncated {
                part,
                expected_bytes,
                actual_bytes,
            } => write!(
                f,
                "input ends inside a {part}: {expected_bytes} bytes wanted, {actual_bytes} there"
            ),
            // An error in a record of a reply has the same text, with the offset 0.
            WireError::Record {
                record,
                offset,
                kind,
            } => write!(f, "{record} at byte {offset} of the batch: {kind}"),
        }
    }
}

impl fmt::Display for RecordErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordErrorKind::TooShort {
                field_bytes,
                position,
                remaining_bytes,
            } => {
                write!(
                    f,
                    "{field_bytes} bytes wanted at its byte {position}, {remaining_bytes} there"
                )
            }
            RecordErrorKind::TrailingBytes(count) => {
                write!(f, "{count} bytes follow the last record")
            }
            RecordErrorKind::TooManyEntries {
                announced_entries,
                remaining_bytes,
            } => write!(
                f,
                "{announced_entries} entries announced, {remaining_bytes} bytes left"
            ),
            RecordErrorKind::UnknownOutcome(code) => write!(f, "no outcome has the code {code}"),
            RecordErrorKind::UnknownEndpointStatus(value) => {
                write!(f, "no readiness has the value {value}")
            }
            RecordErrorKind::UnknownListUpdateKind(kind) => {
                write!(f, "no list has the kind {kind}")
            }
            RecordErrorKind::InvalidDestination(value) => {
                write!(f, "{value} is no number of a destination")
            }
            RecordErrorKind::ListNumberOutOfRange(number) => write!(f, "there is no list {number}"),
            RecordErrorKind::UnregisteredList(number) => {
                write!(f, "list {number} was never registered")
            }
            RecordErrorKind::UnknownInstance(number) => {
                write!(f, "instance {number} was never started")
            }
            RecordErrorKind::Settings(error) => write!(f, "{error}"),
            RecordErrorKind::NumberTooLarge(value) => write!(f, "{value} does not fit the wire"),
            RecordErrorKind::TextTooLong(length) => {
                write!(f, "{length} bytes do not fit one record")
            }
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}
