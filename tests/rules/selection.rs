//! Selection of the next message and of its endpoint.

use super::common::*;
use super::support::world_with_independent_endpoints;
use opalpulley::*;

/// The first message may have taken effect in the zone of the higher cost and must be repeated
/// there. The second message may be sent to the other zone.
#[test]
fn message_bound_to_one_endpoint_does_not_block_queue_for_another() -> CheckResult {
    let mut config = config();
    config.classes[1].semantics = DeliverySemantics::IdempotencyKeyed {
        scope: DeduplicationScope::Zone,
        window: 8_000 * MS,
    };
    let mut world = world_with_independent_endpoints(config);
    let second_endpoint = listed_endpoint(2, 0, 20.0);
    world.report_entry_change(with_status(
        second_endpoint.clone(),
        EndpointStatus::Draining,
    ))?;
    let bound_to_zone = world.submit(IDEMPOTENCY_KEYED, 0)?;
    world.advance(500 * MS)?;
    world.end_attempt(bound_to_zone, Outcome::ConnectionReset)?;
    world.report_list(EndpointListUpdate::Complete(vec![second_endpoint]))?;
    world.advance(500 * MS)?;
    let unbound = world.submit(IDEMPOTENCY_KEYED, 0)?;
    world.advance(100 * MS)?;
    assert_eq!(
        (
            world.attempt_count(bound_to_zone),
            world.attempt_count(unbound)
        ),
        (1, 1)
    );
    Ok(())
}

/// A message that is submitted with far less time left than usual is urgent. It must not be treated
/// as late.
#[test]
fn sends_message_with_little_time_left_first() -> CheckResult {
    let mut config = config();
    config.concurrency_limit = 1;
    config.classes[0].late_weight_share = 0.1;
    let mut world = World::new(config, vec![listed_endpoint(1, 0, 20.0)]);
    world.advance(9_000 * MS)?;
    let first = world.submit(IDEMPOTENT, 0)?;
    let not_urgent = world.submit(IDEMPOTENT, 0)?;
    let urgent = world.submit_with_time_left(IDEMPOTENT, 0, 600 * MS)?;
    world.advance(100 * MS)?;
    world.end_attempt(first, Outcome::Delivered)?;
    assert_eq!(
        (world.attempt_count(not_urgent), world.attempt_count(urgent)),
        (0, 1)
    );
    Ok(())
}
