//! The errors of requests that end without a response, and the outcome that each maps to.

use opalpulley::Outcome;
use std::fmt;

/// How far an attempt or health check had proceeded when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// No connection was open, or no byte of the request was written to it.
    Connecting,
    /// The connection ended before all bytes of the request were written, or the request could not be encoded. The request
    /// cannot have taken effect.
    Writing,
    /// The request may have taken effect. Either all of its bytes were written, or it was aborted after writing had begun.
    /// Bytes are not counted in the second case, so that some may not have been written.
    Written,
}

/// Why an attempt or health check failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection could not be opened, was closed early, or carried an invalid response. Also used if the response head
    /// stalled, and if the request could not be encoded.
    ConnectionLost,
    /// The response head was not received before the attempt timeout, or the connection was not opened within the connect
    /// timeout.
    TimedOut,
    /// The dispatcher cancelled the attempt.
    Cancelled,
    /// The send deadline passed before any byte of the request was written.
    SendDeadlinePassed,
    /// The dispatcher withdrew the request before its last byte was written.
    WithdrawnBeforeSend,
}

/// The error of an attempt or health check that ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// How far the request had proceeded.
    pub stage: AttemptStage,
    /// Why the request failed.
    pub cause: FailureCause,
}

impl AttemptError {
    /// Returns the error of a request of which no byte was written.
    pub fn connecting(cause: FailureCause) -> AttemptError {
        AttemptError {
            stage: AttemptStage::Connecting,
            cause,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} in the {:?} stage", self.cause, self.stage)
    }
}

impl std::error::Error for AttemptError {}

impl From<AttemptError> for Outcome {
    fn from(error: AttemptError) -> Outcome {
        match (error.cause, error.stage) {
            (FailureCause::Cancelled, _) => Outcome::Cancelled,
            (FailureCause::SendDeadlinePassed, _) => Outcome::NotAttempted { no_permit: false },
            (FailureCause::WithdrawnBeforeSend, _) => Outcome::WithdrawnBeforeSend,
            (_, AttemptStage::Connecting) => Outcome::NoConnection,
            (FailureCause::ConnectionLost, AttemptStage::Writing) => Outcome::NoConnection,
            (FailureCause::ConnectionLost, AttemptStage::Written) => Outcome::ConnectionReset,
            (FailureCause::TimedOut, _) => Outcome::Timeout,
        }
    }
}
