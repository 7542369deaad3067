//! Repeats of messages that may have taken effect.

use super::common::*;
use super::support::world_with_one_endpoint;
use opalpulley::*;

#[test]
fn does_not_repeat_keyed_message_outside_deduplication_window() -> CheckResult {
    let mut world = world_with_one_endpoint();
    let keyed = world.submit(IDEMPOTENCY_KEYED, 0)?;
    world.advance(1_000 * MS)?;
    world.end_attempt(keyed, Outcome::ConnectionReset)?;
    // The retry-after pause ends after the deduplication window.
    let rejected = world.submit(IDEMPOTENT, 0)?;
    let outcome = Outcome::Rejected {
        retry_after: Some(4_000 * MS),
    };
    world.end_attempt(rejected, outcome)?;
    world.advance(2_500 * MS)?;
    assert!(world.has_failed(keyed) && world.attempt_count(keyed) == 1);
    Ok(())
}

#[test]
fn fails_at_most_once_message_after_possible_effect() -> CheckResult {
    for outcome in [Outcome::Error, Outcome::ConnectionReset, Outcome::Timeout] {
        let mut world = world_with_one_endpoint();
        let id = world.submit(AT_MOST_ONCE, 0)?;
        world.end_attempt(id, outcome)?;
        assert!(world.has_failed(id), "{outcome:?}");
    }
    Ok(())
}
