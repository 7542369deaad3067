//! Properties of the forwarder as a whole.

use super::common::*;
use super::support::{deliver_for_seconds, fail_until_ejected, world_with_one_endpoint};
use opalpulley::*;

#[test]
fn produces_same_actions_for_same_events() -> CheckResult {
    let run = || -> CheckResult<Vec<Action>> {
        let list = vec![listed_endpoint(1, 0, 20.0), listed_endpoint(2, 1, 5.0)];
        let mut world = World::new(config(), list);
        deliver_for_seconds(&mut world, 3)?;
        fail_until_ejected(&mut world)?;
        world.advance(5_000 * MS)?;
        Ok(world.actions)
    };
    assert_eq!(run()?, run()?);
    Ok(())
}

/// If every tick visited every listed endpoint, the time of a tick would grow with the list.
#[test]
fn performs_no_actions_while_idle() -> CheckResult {
    let mut world = world_with_one_endpoint();
    deliver_for_seconds(&mut world, 2)?;
    world.advance(100 * MS)?;
    let actions_before = world.actions.len();
    world.advance(5_000 * MS)?;
    assert_eq!(world.actions.len(), actions_before);
    Ok(())
}
