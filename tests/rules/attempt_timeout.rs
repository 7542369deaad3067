//! Timeouts and cancellation of attempts.

use super::common::*;
use super::support::{deliver_for_seconds, world_with_one_endpoint};
use opalpulley::*;

/// Attempts whose responses are lost would otherwise hold their permits until they time out.
#[test]
fn cancels_attempt_overtaken_by_later_calls() -> CheckResult {
    let mut world = world_with_one_endpoint();
    deliver_for_seconds(&mut world, 5)?;
    let unanswered = world.submit(IDEMPOTENT, 0)?;
    world.advance(50 * MS)?;
    deliver_for_seconds(&mut world, 3)?;
    assert!(
        world.attempt_count(unanswered) > 1,
        "the attempt should be cancelled and the message sent again"
    );
    Ok(())
}

/// Attempts whose responses are lost would otherwise hold their permits until the deadline.
#[test]
fn cancels_and_fails_at_most_once_message_only_if_overtaken() -> CheckResult {
    for is_overtaken in [false, true] {
        let mut world = world_with_one_endpoint();
        deliver_for_seconds(&mut world, 5)?;
        let id = world.submit(AT_MOST_ONCE, 0)?;
        if is_overtaken {
            deliver_for_seconds(&mut world, 5)?;
        } else {
            world.advance(3_500 * MS)?;
        }
        let cancel = Action::CancelAttempt {
            id,
            attempt_index: 0,
        };
        assert_eq!(world.actions.contains(&cancel), is_overtaken);
        assert_eq!(
            (world.has_failed(id), world.attempt_count(id)),
            (is_overtaken, 1)
        );
    }
    Ok(())
}

/// A slow endpoint has no estimate of its response time before its first response, and its first
/// calls must not be cancelled for lack of one.
#[test]
fn allows_untried_endpoint_the_response_time_of_other_endpoints() -> CheckResult {
    let list = vec![listed_endpoint(1, 0, 20.0), listed_endpoint(2, 1, 20.0)];
    let mut world = World::new(config(), list);
    for _ in 0..5 {
        let id = world.submit(IDEMPOTENT, 0)?;
        world.advance(1_500 * MS)?;
        world.end_attempt(id, Outcome::Delivered)?;
    }
    world.submit(IDEMPOTENT, 1)?;
    world.advance(2_500 * MS)?;
    let is_cancel = |action: &Action| matches!(action, Action::CancelAttempt { .. });
    assert!(!world.actions.iter().any(is_cancel));
    Ok(())
}
