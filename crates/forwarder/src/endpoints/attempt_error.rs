//! Why an attempt has no answer, and what the decision core is told of it.

use opalpulley::Outcome;
use std::fmt;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// No connection was open, or it took no byte of the request.
    Connecting,
    /// The connection ended before all bytes of the request were written, or the request could not be encoded: it can't have
    /// taken effect.
    Writing,
    /// It may have taken effect. Either all bytes of the request were written, or the attempt was given up after writing had
    /// begun. In the second case the bytes are not counted, so that some may be unwritten.
    Written,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection could not be opened, closed early, or carried something that is no answer. Also: the head of an answer
    /// began and did not end in time, or the request could not be encoded.
    ConnectionLost,
    /// No head of an answer came before the attempt timeout, or no connection came up within the connect timeout.
    TimedOut,
    /// The dispatcher cancelled the attempt.
    Cancelled,
    /// The last moment to send is over, and no byte of the request was written.
    SendDeadlinePassed,
    /// The dispatcher withdrew the attempt before its last byte was written.
    WithdrawnBeforeSend,
}

/// An attempt or health check that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// How far it had come.
    pub stage: AttemptStage,
    /// Why it ended.
    pub cause: FailureCause,
}

impl AttemptError {
    /// A failure before any byte of the request was written.
    pub fn connecting(cause: FailureCause) -> AttemptError {
        AttemptError {
            stage: AttemptStage::Connecting,
            cause,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} while {:?}", self.cause, self.stage)
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
