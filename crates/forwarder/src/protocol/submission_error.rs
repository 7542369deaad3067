//! The errors of client requests, each with the status and the text of the answer.

use super::header_names::{IDEMPOTENCY_KEY, REQUEST_TIMEOUT_MS};
use super::submission::{DELIVERY_CLASS, ENVELOPE, MAX_VALUE_BYTES};
use super::MAX_BODY_BYTES;
use hyper::StatusCode;
use std::error::Error;
use std::fmt;

/// The reason why a request cannot be served. `Display` is the text for the client.
///
/// The golden tests compare these texts byte for byte, except those of `BodyTimedOut`, `AllConnectionsTaken`,
/// `TooManySubmissions` and `ShuttingDown`, which must not change either.
#[derive(Debug)]
pub enum SubmissionError {
    /// The body is sent in chunks, without its length.
    BodyWithoutLength,
    /// No delivery class has this path.
    UnknownPath {
        /// The path of the request.
        path: String,
    },
    /// The method of a submission is not POST.
    NotPost,
    /// The method of a readiness request is not GET.
    NotGet,
    /// A header that may occur once occurs more often.
    RepeatedHeader {
        /// Name of the header.
        name: &'static str,
    },
    /// The value of a header is too long, or contains characters other than visible ASCII.
    UnreadableHeader {
        /// Name of the header.
        name: &'static str,
    },
    /// A required header is absent or empty.
    MissingHeader {
        /// Name of the header.
        name: &'static str,
    },
    /// The class header and the path name different delivery classes.
    ClassMismatch {
        /// The class that the header names.
        class: String,
        /// The path of the request.
        path: String,
    },
    /// The time to the deadline is not a whole number.
    InvalidTimeLeft {
        /// The value of the header.
        value: String,
    },
    /// The time to the deadline exceeds the upper bound of the class.
    TimeLeftTooLong {
        /// Name of the class.
        class: String,
        /// Upper bound on the time to the deadline in this class, in ms.
        max_ms: u64,
    },
    /// The envelope contains no destination.
    NoDestination,
    /// The destination is not a number.
    InvalidDestination {
        /// The destination in the envelope.
        value: String,
    },
    /// The class needs an idempotency key, and the submission has none.
    MissingIdempotencyKey {
        /// Name of the class.
        class: String,
    },
    /// The body is longer than [`MAX_BODY_BYTES`].
    BodyTooLarge,
    /// The connection failed before the whole body was received.
    BodyUnreadable(hyper::Error),
    /// The body was not received within its timeout.
    BodyTimedOut,
    /// The bodies that are being received take the memory that is allowed for them.
    BodyMemoryExhausted,
    /// The forwarder does not take submissions yet.
    NotReady,
    /// The number of open connections is at its limit.
    AllConnectionsTaken,
    /// The dispatcher's mailbox is full, or the dispatcher has ended.
    TooManySubmissions,
    /// The forwarder ended before the message was accepted.
    ShuttingDown,
    /// A message with the same client's id and different content is in flight.
    ConflictingContent,
    /// No endpoint list so far contained the destination. The list may be older than the client's.
    UnknownDestination,
}

impl SubmissionError {
    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BodyWithoutLength => StatusCode::LENGTH_REQUIRED,
            Self::UnknownPath { .. } => StatusCode::NOT_FOUND,
            Self::NotPost | Self::NotGet => StatusCode::METHOD_NOT_ALLOWED,
            Self::RepeatedHeader { .. }
            | Self::UnreadableHeader { .. }
            | Self::MissingHeader { .. }
            | Self::ClassMismatch { .. }
            | Self::InvalidTimeLeft { .. }
            | Self::TimeLeftTooLong { .. }
            | Self::NoDestination
            | Self::InvalidDestination { .. }
            | Self::MissingIdempotencyKey { .. }
            | Self::BodyUnreadable(_) => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::ConflictingContent => StatusCode::CONFLICT,
            Self::BodyMemoryExhausted
            | Self::NotReady
            | Self::AllConnectionsTaken
            | Self::TooManySubmissions
            | Self::ShuttingDown
            | Self::UnknownDestination => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns whether the connection closes after the answer. It does if the end of the request is unknown or not
    /// waited for, because the bytes that follow cannot be told from a new request.
    pub fn closes_connection(&self) -> bool {
        matches!(
            self,
            Self::BodyWithoutLength
                | Self::BodyTooLarge
                | Self::BodyUnreadable(_)
                | Self::BodyTimedOut
        )
    }
}

impl fmt::Display for SubmissionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BodyWithoutLength => write!(f, "a body comes with its length, not in chunks"),
            Self::UnknownPath { path } => write!(f, "no profile is handed in at {path}"),
            Self::NotPost => write!(f, "a packet is handed in with POST"),
            Self::NotGet => write!(f, "this is read with GET"),
            Self::RepeatedHeader { name } => write!(f, "{name} comes more than once"),
            Self::UnreadableHeader { name } => write!(
                f,
                "{name} is no plain text of at most {MAX_VALUE_BYTES} characters"
            ),
            Self::MissingHeader { name } => write!(f, "{name} is missing"),
            Self::ClassMismatch { class, path } => {
                write!(f, "{DELIVERY_CLASS} says {class}, the path {path}")
            }
            Self::InvalidTimeLeft { value } => {
                write!(f, "{REQUEST_TIMEOUT_MS}: {value} is no whole number of ms")
            }
            Self::TimeLeftTooLong { class, max_ms } => write!(
                f,
                "{REQUEST_TIMEOUT_MS} is over what {class} packets have: {max_ms} ms"
            ),
            Self::NoDestination => write!(f, "{ENVELOPE} has no dest"),
            Self::InvalidDestination { value } => {
                write!(f, "{ENVELOPE}: {value} is no number of a destination")
            }
            Self::MissingIdempotencyKey { class } => {
                write!(f, "{IDEMPOTENCY_KEY} is missing, and {class} needs one")
            }
            Self::BodyTooLarge => write!(f, "a body holds {MAX_BODY_BYTES} bytes at most"),
            Self::BodyUnreadable(error) => write!(f, "{error}"),
            Self::BodyTimedOut => write!(f, "the body did not come"),
            Self::BodyMemoryExhausted => write!(f, "too many long bodies at once"),
            Self::NotReady => write!(f, "not ready yet"),
            Self::AllConnectionsTaken => write!(f, "all connections are taken"),
            Self::TooManySubmissions => write!(f, "too many packets at once"),
            Self::ShuttingDown => write!(f, "going down"),
            Self::ConflictingContent => write!(f, "another packet with this id is open"),
            Self::UnknownDestination => write!(f, "no list has named this destination"),
        }
    }
}

impl Error for SubmissionError {}
