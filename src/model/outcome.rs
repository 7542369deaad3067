//! The outcome of an attempt or a health check.

use super::Micros;

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint responded that it accepted the message.
    Delivered,
    /// The endpoint responded with an error.
    Error,
    /// The endpoint rejected the request before it did any work.
    Rejected {
        /// Time during which the destination asked for no further calls, in µs.
        retry_after: Option<Micros>,
    },
    /// No response arrived within the timeout of the attempt.
    Timeout,
    /// No connection was established, or no byte of the call was written to it.
    NoConnection,
    /// The connection broke while the call was in flight.
    ConnectionReset,
    /// The core cancelled the attempt.
    Cancelled,
    /// The request was withdrawn before its last byte was written. The message can't have taken effect, and the
    /// attempt does not count.
    WithdrawnBeforeSend,
    /// The endpoint did not process the message. Unlike a withdrawn attempt, the attempt counts, and the message
    /// backs off.
    NotAttempted {
        /// Whether the attempt was refused for lack of a concurrency permit.
        no_permit: bool,
    },
}

impl Outcome {
    /// Returns whether the message may have taken effect at the endpoint.
    pub fn may_have_taken_effect(self) -> bool {
        matches!(
            self,
            Outcome::Delivered
                | Outcome::Error
                | Outcome::Timeout
                | Outcome::ConnectionReset
                | Outcome::Cancelled
        )
    }
}
