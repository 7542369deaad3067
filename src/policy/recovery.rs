//! What becomes of an unfinished message of an earlier run, whose settings may have been others.
//!
//! The journal holds each message with the delivery class under which it was accepted. The class
//! may be missing from the settings of this run, or have other delivery semantics. An attempt of an
//! earlier run at a message that was accepted as at-most-once is never repeated. An untried message
//! is delivered as its class says now, so that this run may repeat its own attempts at it.

/// What becomes of an unfinished message of an earlier run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveredMessage {
    /// It is delivered as its class says now.
    Continue,
    /// It is delivered as its class says now, unless an attempt may have taken effect: then it
    /// fails.
    ContinueIfUntried,
    /// It fails: no class says how to deliver it.
    Fail,
}

/// Returns what becomes of a message that was accepted as at-most-once, or not.
/// `is_at_most_once_now` is `None` if its class is missing from the settings.
pub fn recovered_message(
    was_at_most_once: bool,
    is_at_most_once_now: Option<bool>,
) -> RecoveredMessage {
    match is_at_most_once_now {
        None => RecoveredMessage::Fail,
        Some(false) if was_at_most_once => RecoveredMessage::ContinueIfUntried,
        Some(_) => RecoveredMessage::Continue,
    }
}

#[cfg(test)]
mod tests;
