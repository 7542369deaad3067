//! Retry-after pauses, and attempts whose bytes are not sent yet when a pause or a drain begins.

use super::common::*;
use super::support::{
    deliver_for_seconds, world_with_independent_endpoints, world_with_one_endpoint,
};
use opalpulley::*;
use std::collections::BTreeMap;

#[test]
fn pauses_destination_or_only_endpoint_with_independent_limit_on_retry_after() -> CheckResult {
    let list = vec![listed_endpoint(1, 0, 20.0), listed_endpoint(2, 0, 20.0)];
    let shared_limit = World::new(config(), list);
    let own_limits = world_with_independent_endpoints(config());
    for (mut world, pauses_both) in [(shared_limit, true), (own_limits, false)] {
        let rejected = world.submit(IDEMPOTENT, 0)?;
        let outcome = Outcome::Rejected {
            retry_after: Some(1_500 * MS),
        };
        world.end_attempt(rejected, outcome)?;
        let second = world.submit(IDEMPOTENT, 0)?;
        world.advance(1_000 * MS)?;
        assert_eq!(world.attempt_count(second) == 0, pauses_both);
        world.advance(1_000 * MS)?;
        assert_eq!(world.attempt_count(second), 1);
    }
    Ok(())
}

#[test]
fn completes_message_at_once_if_pause_exceeds_deadline() -> CheckResult {
    let mut world = world_with_one_endpoint();
    let rejected = world.submit(IDEMPOTENT, 0)?;
    let second = world.submit_with_time_left(IDEMPOTENT, 0, 3_000 * MS)?;
    let outcome = Outcome::Rejected {
        retry_after: Some(5_000 * MS),
    };
    world.end_attempt(rejected, outcome)?;
    world.advance(50 * MS)?;
    assert!(world.messages[second].completed || world.attempt_count(second) > 0);
    let third = world.submit_with_time_left(IDEMPOTENT, 0, 3_000 * MS)?;
    world.advance(50 * MS)?;
    // The third message was never sent, so it is rejected and does not fail.
    let is_rejected = world
        .actions
        .iter()
        .any(|action| matches!(action, Action::Reject { id, .. } if *id == third));
    assert!(is_rejected && !world.has_failed(third));
    Ok(())
}

/// The head of a response may carry a retry-after before the response is complete or the connection
/// breaks.
#[test]
fn honours_retry_after_if_rest_of_response_is_lost() -> CheckResult {
    let mut world = world_with_one_endpoint();
    let first = world.submit(IDEMPOTENT, 0)?;
    world.receive_retry_after(first, 900 * MS)?;
    world.submit(IDEMPOTENT, 0)?;
    world.advance(100 * MS)?;
    world.end_attempt(first, Outcome::ConnectionReset)?;
    world.advance(750 * MS)?;
    assert!(world.messages.ids_in_flight().is_empty());
    world.advance(2_000 * MS)?;
    assert!(!world.messages.ids_in_flight().is_empty());
    Ok(())
}

/// Returns a world with two endpoints of destination 0, one of destination 1, and one attempt per
/// message.
fn world_with_three_endpoints(independent_limits: bool) -> World {
    let config = Config {
        endpoint_kinds: vec![endpoint_kind(independent_limits)],
        max_attempts: 1,
        fleet_size: 1,
        zone_costs: Vec::new(),
        ..config()
    };
    let list = (1..4).map(|n| listed_endpoint(n, u32::from(n / 3), 200.0));
    World::new(config, list.collect())
}

fn has_withdrawn_unsent(world: &World, number: u8) -> bool {
    world.actions.contains(&Action::WithdrawUnsent {
        endpoint: endpoint(number),
    })
}

/// A pause or a drain may begin while the connection of another attempt is being established. The
/// bytes of that attempt must not be sent then, so the attempt is withdrawn. The message may be
/// sent again even if its only attempt was the withdrawn one.
#[test]
fn withdraws_unsent_attempts_without_counting_them_on_pause_or_drain() -> CheckResult {
    for independent_limits in [false, true] {
        let mut world = world_with_three_endpoints(independent_limits);
        // Once response times are known, the calls are spread over the endpoints.
        deliver_for_seconds(&mut world, 1)?;
        let mut by_endpoint = BTreeMap::new();
        for destination in [0, 0, 0, 0, 1] {
            let id = world.submit(AT_MOST_ONCE, destination)?;
            world.advance(30 * MS)?;
            by_endpoint.insert(world.messages[id].attempts[0].endpoint, id);
        }
        let rejected = by_endpoint[&endpoint(1)];
        let withdrawn = by_endpoint[&endpoint(2)];

        let outcome = Outcome::Rejected {
            retry_after: Some(700 * MS),
        };
        world.end_attempt(rejected, outcome)?;
        assert_eq!(
            [1, 2, 3].map(|number| has_withdrawn_unsent(&world, number)),
            [true, !independent_limits, false]
        );
        let entry = listed_endpoint(3, 1, 200.0);
        world.report_entry_change(with_status(entry, EndpointStatus::Draining))?;
        assert!(has_withdrawn_unsent(&world, 3));

        // The only attempt was not sent. The message is sent again after the pause, at most one
        // pacing interval later.
        world.end_attempt(withdrawn, Outcome::WithdrawnBeforeSend)?;
        world.advance(if independent_limits { 0 } else { 690 * MS })?;
        assert_eq!(
            world.attempt_count(withdrawn),
            usize::from(independent_limits)
        );
        world.advance(200 * MS)?;
        assert_eq!(
            (world.attempt_count(withdrawn), world.has_failed(withdrawn)),
            (1, false)
        );
    }
    Ok(())
}
