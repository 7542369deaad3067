//! Why a request of a client gets an answer with a text, and what that text is.

use super::header_names::{IDEMPOTENCY_KEY, REQUEST_TIMEOUT_MS};
use super::submission::{DELIVERY_CLASS, ENVELOPE, MAX_VALUE_BYTES};
use super::MAX_BODY_BYTES;
use hyper::StatusCode;
use std::error::Error;
use std::fmt;

/// Why a request can't be served. `Display` is the text for the client.
///
/// The golden tests hold these texts byte for byte, except those of `BodyTimedOut`, `AllConnectionsTaken`,
/// `TooManySubmissions` and `ShuttingDown`. These too must stay as they are.
#[derive(Debug)]
pub enum SubmissionError {
    /// The body comes in chunks.
    BodyWithoutLength,
    /// No delivery class has this path.
    UnknownPath {
        /// The path.
        path: String,
    },
    /// A submission with another method than POST.
    NotPost,
    /// A readiness request with another method than GET.
    NotGet,
    /// A header that may come once comes more often.
    RepeatedHeader {
        /// Its name.
        name: &'static str,
    },
    /// A header is too long, or has other characters than visible ASCII.
    UnreadableHeader {
        /// Its name.
        name: &'static str,
    },
    /// A header is missing or empty.
    MissingHeader {
        /// Its name.
        name: &'static str,
    },
    /// The header and the path name different delivery classes.
    ClassMismatch {
        /// What the header says.
        class: String,
        /// The path.
        path: String,
    },
    /// The time to the deadline is no number.
    InvalidTimeLeft {
        /// What the header says.
        value: String,
    },
    /// The time to the deadline is over what the class allows.
    TimeLeftTooLong {
        /// The name of the class.
        class: String,
        /// The longest time to a deadline of the class, ms.
        max_ms: u64,
    },
    /// The envelope has no destination.
    NoDestination,
    /// The destination is no number.
    InvalidDestination {
        /// What the envelope says.
        value: String,
    },
    /// The class needs an idempotency key.
    MissingIdempotencyKey {
        /// The name of the class.
        class: String,
    },
    /// The body is over `MAX_BODY_BYTES`.
    BodyTooLarge,
    /// The connection failed within the body.
    BodyUnreadable(Box<dyn Error + Send + Sync>),
    /// The body did not come in its time.
    BodyTimedOut,
    /// The forwarder takes no messages yet.
    NotReady,
    /// As many connections are open as may be.
    AllConnectionsTaken,
    /// The dispatcher's mailbox is full, or the dispatcher has ended.
    TooManySubmissions,
    /// The forwarder ends before the message is accepted.
    ShuttingDown,
    /// A message with this id is in flight, and its content is another.
    ConflictingContent,
    /// No endpoint list has named the destination. The list may be older than the client's.
    UnknownDestination,
}

impl SubmissionError {
    /// The status of the answer.
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
            Self::NotReady
            | Self::AllConnectionsTaken
            | Self::TooManySubmissions
            | Self::ShuttingDown
            | Self::UnknownDestination => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether the connection closes after the answer. It does where the end of the request is not known, or not waited for,
    /// because the bytes that follow can't be told from a new request.
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
