//! Messages of one order key.

use super::common::*;
use opalpulley::*;

/// The final answer travels to the platform apart from calls, so the next message of the key must
/// not overtake it, nor the answer of a previous run.
#[test]
fn a_key_waits_until_the_final_answer_before_is_acknowledged() -> Checked {
    let order_key = OrderKey(5);
    let mut config = Config {
        order_release: OrderRelease::OnAcknowledgement,
        ..config()
    };
    for class in &mut config.classes {
        class.ordered = true;
    }
    let mut world = World::new(config, vec![listed_endpoint(1, 0, 20.0)]);
    let of_previous_run = MessageId(900);
    world.handle(Event::CompletionReportPending {
        id: of_previous_run,
        class: DeliveryClassId(IDEMPOTENT),
        order_key,
    })?;
    let first = world.submit_with_key(IDEMPOTENT, 0, Some(order_key), 300 * MS)?;
    let second = world.submit_with_key(IDEMPOTENT, 0, Some(order_key), TIME_TO_LIVE)?;
    world.advance(200 * MS)?;
    assert_eq!(world.attempts(first), 0);
    world.advance(400 * MS)?;
    assert!(world.messages.unacknowledged.contains(&first));
    world.acknowledge(of_previous_run)?;
    world.advance(400 * MS)?;
    assert_eq!(world.attempts(second), 0);
    world.acknowledge(first)?;
    world.advance(50 * MS)?;
    assert_eq!(world.attempts(second), 1);
    Ok(())
}
