//! How an attempt or a health check ended.

use super::Micros;

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered that it has the message.
    Delivered,
    /// The endpoint answered with an error.
    Error,
    /// Turned away before any work was done; `retry_after` is the wait it asked for.
    Rejected {
        /// How long the destination asked to be left alone.
        retry_after: Option<Micros>,
    },
    /// No answer within the attempt's timeout.
    Timeout,
    /// No connection came up, or it took no byte of the call.
    NoConnection,
    /// The connection broke while the call was out.
    Reset,
    /// The core cancelled the attempt.
    Cancelled,
    /// Withdrawn before its last byte went: it has surely not run, and the attempt does not count.
    WithdrawnBeforeSend,
    /// Not sent at all. Unlike a withdrawn attempt it counts, and the message backs off.
    NotAttempted {
        /// Whether a concurrency permit was missing, as the front found.
        no_permit: bool,
    },
}

impl Outcome {
    /// Whether the message may have taken effect at the endpoint.
    pub fn may_have_taken_effect(self) -> bool {
        matches!(
            self,
            Outcome::Delivered
                | Outcome::Error
                | Outcome::Timeout
                | Outcome::Reset
                | Outcome::Cancelled
        )
    }
}
