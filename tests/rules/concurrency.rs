//! Limits on the number of calls in flight.

use super::common::*;
use opalpulley::*;

#[test]
fn limits_destination_to_its_share_of_permits() -> CheckResult {
    let list = (1..5).map(|n| listed_endpoint(n, 0, 500.0)).collect();
    let mut world = World::new(config(), list);
    world.submit_many(30, IDEMPOTENT, 0)?;
    world.advance(100 * MS)?;
    assert_eq!(
        world.messages.ids_in_flight().len(),
        6,
        "expected three quarters of eight permits while the destination responds well"
    );
    world.end_all_attempts(Outcome::Error)?;
    world.advance(100 * MS)?;
    assert!(
        world.messages.ids_in_flight().len() <= 4,
        "expected at most half of eight permits while calls fail"
    );
    Ok(())
}

/// Several destinations may stop responding at once while they hold the calls that they got while
/// they responded well. Unless these calls are cancelled in time, no permit is left for other
/// destinations.
#[test]
fn frees_permits_held_by_unresponsive_destinations() -> CheckResult {
    let list = (0..4).map(|n| listed_endpoint(n, u32::from(n), 50.0));
    let mut world = World::new(config(), list.collect());
    for _ in 0..6 {
        for unresponsive_destination in [1, 2] {
            world.submit(IDEMPOTENT, unresponsive_destination)?;
            world.advance(10 * MS)?;
        }
    }
    let id = world.submit(IDEMPOTENT, 0)?;
    assert_eq!(world.attempt_count(id), 0, "expected no permit to be left");
    world.advance(4_200 * MS)?;
    assert_ne!(world.attempt_count(id), 0);
    Ok(())
}
