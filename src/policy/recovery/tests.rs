//! Tests of messages whose class has changed between two runs.

use super::*;

/// Guards against an at-most-once message that takes effect twice because its class may be repeated
/// since the restart.
#[test]
fn at_most_once_message_is_not_repeated_by_a_class_that_may_be() {
    assert_eq!(
        recovered_message(true, Some(false)),
        RecoveredMessage::ContinueIfUntried
    );
}

#[test]
fn message_continues_unless_its_class_is_missing() {
    for was_at_most_once in [false, true] {
        assert_eq!(
            recovered_message(was_at_most_once, Some(was_at_most_once)),
            RecoveredMessage::Continue
        );
        assert_eq!(
            recovered_message(was_at_most_once, None),
            RecoveredMessage::Fail
        );
    }
    assert_eq!(
        recovered_message(false, Some(true)),
        RecoveredMessage::Continue
    );
}
