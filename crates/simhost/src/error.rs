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
    CutOff {
        /// What is cut off.
        what: &'static str,
        /// Its length, bytes.
        wanted: usize,
        /// The bytes that are there.
        got: usize,
    },
    /// A record can't be decoded, carried out or encoded.
    Record {
        /// The name of the record on the wire.
        record: &'static str,
        /// Where it begins in its batch, bytes. 0 in a reply.
        offset: usize,
        /// What is wrong with it.
        problem: RecordProblem,
    },
}

/// What is wrong with a record.
#[derive(Debug)]
pub enum RecordProblem {
    /// It ends within a field.
    TooShort {
        /// The length of the field, bytes.
        wanted: usize,
        /// Where the field begins in the record, bytes.
        at: usize,
        /// The bytes that are left there.
        left: usize,
    },
    /// Bytes follow the last record of a batch.
    TrailingBytes(usize),
    /// A list has more entries than its record has bytes for.
    TooManyEntries {
        /// How many it announces.
        announced: usize,
        /// The bytes that are left for them.
        bytes_left: usize,
    },
    /// The code of an outcome is unknown.
    UnknownOutcome(u16),
    /// The status of an endpoint is unknown.
    UnknownEndpointStatus(u8),
    /// The kind of a list update is unknown.
    UnknownListKind(u8),
    /// A destination is no whole number in range.
    InvalidDestination(f32),
    /// The number of a list is out of range.
    NoSuchList(u32),
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
            WireError::Io(e) => write!(f, "cannot read or write the wire: {e}"),
            WireError::CutOff { what, wanted, got } => write!(
                f,
                "input ends inside a {what}: {wanted} bytes wanted, {got} there"
            ),
            // A record of a reply has the offset 0: its text names the batch too.
            WireError::Record {
                record,
                offset,
                problem,
            } => write!(f, "{record} at byte {offset} of the batch: {problem}"),
        }
    }
}

impl fmt::Display for RecordProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordProblem::TooShort { wanted, at, left } => {
                write!(f, "{wanted} bytes wanted at its byte {at}, {left} there")
            }
            RecordProblem::TrailingBytes(count) => {
                write!(f, "{count} bytes follow the last record")
            }
            RecordProblem::TooManyEntries {
                announced,
                bytes_left,
            } => write!(f, "{announced} entries announced, {bytes_left} bytes left"),
            RecordProblem::UnknownOutcome(code) => write!(f, "no outcome has the code {code}"),
            RecordProblem::UnknownEndpointStatus(value) => {
                write!(f, "no readiness has the value {value}")
            }
            RecordProblem::UnknownListKind(kind) => write!(f, "no list has the kind {kind}"),
            RecordProblem::InvalidDestination(value) => {
                write!(f, "{value} is no number of a destination")
            }
            RecordProblem::NoSuchList(number) => write!(f, "there is no list {number}"),
            RecordProblem::UnregisteredList(number) => {
                write!(f, "list {number} was never registered")
            }
            RecordProblem::UnknownInstance(number) => {
                write!(f, "instance {number} was never started")
            }
            RecordProblem::Settings(problem) => write!(f, "{problem}"),
            RecordProblem::NumberTooLarge(value) => write!(f, "{value} does not fit the wire"),
            RecordProblem::TextTooLong(length) => {
                write!(f, "{length} bytes do not fit one record")
            }
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}
