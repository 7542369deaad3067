//! Ordering of messages with the same order key.

use super::common::*;
use opalpulley::*;

/// A final answer reaches the platform on another path than a call does, so the next message of the
/// key must not overtake it. This holds for a final answer of a previous run as well.
#[test]
fn holds_order_key_until_previous_final_answer_is_acknowledged() -> CheckResult {
    let order_key = OrderKey(5);
    let mut config = Config {
        order_release: OrderRelease::OnAcknowledgement,
        ..config()
    };
    for class in &mut config.classes {
        class.ordered = true;
    }
    let mut world = World::new(config, vec![listed_endpoint(1, 0, 20.0)]);
    let previous_run_id = MessageId(900);
    world.handle(Event::CompletionReportPending {
        id: previous_run_id,
        class: DeliveryClassId(IDEMPOTENT),
        order_key,
    })?;
    let first = world.submit_with_key(IDEMPOTENT, 0, Some(order_key), 300 * MS)?;
    let second = world.submit_with_key(IDEMPOTENT, 0, Some(order_key), TIME_TO_LIVE)?;
    world.advance(200 * MS)?;
    assert_eq!(world.attempt_count(first), 0);
    world.advance(400 * MS)?;
    assert!(world.messages.unacknowledged.contains(&first));
    world.acknowledge(previous_run_id)?;
    world.advance(400 * MS)?;
    assert_eq!(world.attempt_count(second), 0);
    world.acknowledge(first)?;
    world.advance(50 * MS)?;
    assert_eq!(world.attempt_count(second), 1);
    Ok(())
}
