//! Worlds and situations that several tests start from.

use super::common::*;
use opalpulley::*;

/// A destination with one endpoint.
pub fn world_with_one_endpoint() -> World {
    World::new(config(), vec![listed_endpoint(1, 0, 20.0)])
}

/// A destination with two endpoints, each in a zone and with a limit of its own.
pub fn world_with_independent_endpoints(config: Config) -> World {
    let config = Config {
        endpoint_kinds: vec![endpoint_kind(true)],
        ..config
    };
    let list = vec![listed_endpoint(1, 0, 20.0), listed_endpoint(2, 0, 20.0)];
    World::new(config, list)
}

/// Delivers five messages a second for so many seconds.
pub fn deliver_for_seconds(world: &mut World, seconds: u64) -> CheckResult {
    for _ in 0..seconds * 5 {
        let id = world.submit(IDEMPOTENT, 0)?;
        world.advance(100 * MS)?;
        if world.messages.ids_in_flight().contains(&id) {
            world.end_attempt(id, Outcome::Delivered)?;
        }
        world.advance(100 * MS)?;
    }
    Ok(())
}

/// Submits messages and fails every attempt until the endpoint is ejected.
pub fn fail_until_ejected(world: &mut World) -> CheckResult {
    for _ in 0..40 {
        if world.has_ejected() {
            return Ok(());
        }
        world.submit(IDEMPOTENT, 0)?;
        world.advance(50 * MS)?;
        world.end_all_attempts(Outcome::Error)?;
    }
    Err("never ejected".into())
}
