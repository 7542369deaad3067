//! What can be wrong with the simulator's input, and with a reply.

use opalpulley_config::SettingsError;
use std::fmt;
use std::io;

/// Why the program ends.
#[derive(Debug)]
pub enum WireError {
    /// Standard input or output failed.
    Io(io::Error),
    /// The input ends within a frame.
    Truncated {
        /// What is cut off.
        part: &'static str,
        /// Its length, bytes.
        expected_bytes: usize,
        /// The bytes that are there.
        actual_bytes: usize,
    },
    /// A record can't be decoded, carried out or encoded.
    Record {
        /// The name of the record on the wire.
        record: &'static str,
        /// Where it begins in its batch, bytes. 0 in a reply.
        offset: usize,
        /// What is wrong with it.
        kind: RecordErrorKind,
    },
}

/// What is wrong with a record.
#[derive(Debug)]
pub enum RecordErrorKind {
    /// It ends within a field.
    TooShort {
        /// The length of the field, bytes.
        field_bytes: usize,
        /// Where the field begins in the record, bytes.
        position: usize,
        /// The bytes that are left there.
        remaining_bytes: usize,
    },
    /// Bytes follow the last record of a batch.
    TrailingBytes(usize),
    /// A list has more entries than its record has bytes for.
    TooManyEntries {
        /// How many it announces.
        announced_entries: usize,
        /// The bytes that are left for them.
        remaining_bytes: usize,
    },
    /// The code of an outcome is unknown.
    UnknownOutcome(u16),
    /// The status of an endpoint is unknown.
    UnknownEndpointStatus(u8),
    /// The kind of a list update is unknown.
    UnknownListUpdateKind(u8),
    /// A destination is no whole number in range.
    InvalidDestination(f32),
    /// The number of a list is out of range.
    ListNumberOutOfRange(u32),
    /// An event names a list that was not registered.
    UnregisteredList(u32),
    /// A record is for an instance that does not run.
    UnknownInstance(u16),
    /// The settings of an instance can't be used.
    Settings(SettingsError),
    /// A number does not fit its field.
    NumberTooLarge(u64),
    /// A text does not fit its field. Its length, bytes.
    TextTooLong(usize),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "cannot read or write the wire: {error}"),
            WireError::Truncated {
                part,
                expected_bytes,
                actual_bytes,
            } => write!(
                f,
                "input ends inside a {part}: {expected_bytes} bytes wanted, {actual_bytes} there"
            ),
            // A record of a reply has the offset 0: its text names the batch too.
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
