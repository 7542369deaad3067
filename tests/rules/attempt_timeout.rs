//! How long an attempt may take, and when it is cancelled.

use super::common::*;
use super::support::{deliver_for, one_endpoint};
use opalpulley::*;

/// Attempts whose answers are lost would otherwise keep their permits until they time out.
#[test]
fn an_attempt_that_later_calls_have_overtaken_is_cancelled() -> Checked {
    let mut world = one_endpoint();
    deliver_for(&mut world, 5)?;
    let lost = world.submit(IDEMPOTENT, 0)?;
    world.advance(50 * MS)?;
    deliver_for(&mut world, 3)?;
    assert!(world.attempts(lost) > 1, "cancelled and sent again");
    Ok(())
}

/// Attempts whose answers are lost would otherwise keep their permits until the deadline.
#[test]
fn an_at_most_once_attempt_is_cancelled_only_if_overtaken_and_then_fails() -> Checked {
    for is_overtaken in [false, true] {
        let mut world = one_endpoint();
        deliver_for(&mut world, 5)?;
        let id = world.submit(AT_MOST_ONCE, 0)?;
        if is_overtaken {
            deliver_for(&mut world, 5)?;
        } else {
            world.advance(3_500 * MS)?;
        }
        let cancel = Action::CancelAttempt {
            id,
            attempt_index: 0,
        };
        assert_eq!(world.actions.contains(&cancel), is_overtaken);
        assert_eq!(
            (world.has_failed(id), world.attempts(id)),
            (is_overtaken, 1)
        );
    }
    Ok(())
}

/// Without an estimate of its own, a slow endpoint would have its first calls cancelled.
#[test]
fn an_endpoint_without_answers_yet_gets_the_time_that_other_endpoints_take() -> Checked {
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
