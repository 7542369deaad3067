//! How many calls are in flight at once.

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
        "three quarters of eight while it answers well"
    );
    world.end_all_attempts(Outcome::Error)?;
    world.advance(100 * MS)?;
    assert!(
        world.messages.ids_in_flight().len() <= 4,
        "half of eight while calls fail"
    );
    Ok(())
}

/// Several destinations may stop to answer at once, with the calls in flight that they got while
/// they answered well. Unless these calls are cancelled in time, no permit is left for the other
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
    assert_eq!(world.attempt_count(id), 0, "no permit is left");
    world.advance(4_200 * MS)?;
    assert_ne!(world.attempt_count(id), 0);
    Ok(())
}
