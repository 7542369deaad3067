//! Properties of the forwarder as a whole.

use super::common::*;
use super::support::{deliver_for, fail_until_ejected, one_endpoint};
use opalpulley::*;

#[test]
fn the_same_events_give_the_same_actions() -> Checked {
    let run = || -> Checked<Vec<Action>> {
        let list = vec![listed_endpoint(1, 0, 20.0), listed_endpoint(2, 1, 5.0)];
        let mut world = World::new(config(), list);
        deliver_for(&mut world, 3)?;
        fail_until_ejected(&mut world)?;
        world.advance(5_000 * MS)?;
        Ok(world.actions)
    };
    assert_eq!(run()?, run()?);
    Ok(())
}

/// The time to visit every listed endpoint at every tick would grow with the list.
#[test]
fn an_idle_forwarder_does_nothing() -> Checked {
    let mut world = one_endpoint();
    deliver_for(&mut world, 2)?;
    world.advance(100 * MS)?;
    let before = world.actions.len();
    world.advance(5_000 * MS)?;
    assert_eq!(world.actions.len(), before);
    Ok(())
}
