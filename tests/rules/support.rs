//! Worlds and helpers that several tests share.

use super::common::*;
use opalpulley::*;

/// Returns a world with one destination that has one endpoint.
pub fn world_with_one_endpoint() -> World {
    World::new(config(), vec![listed_endpoint(1, 0, 20.0)])
}

/// Returns a world with one destination that has two endpoints with independent limits, each in a
/// zone of its own.
pub fn world_with_independent_endpoints(config: Config) -> World {
    let config = Config {
        endpoint_kinds: vec![endpoint_kind(true)],
        ..config
    };
    let list = vec![listed_endpoint(1, 0, 20.0), listed_endpoint(2, 0, 20.0)];
    World::new(config, list)
}

/// Submits and delivers five messages a second for this number of seconds.
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

/// Submits messages and fails every attempt until the endpoint is ejected. Fails if 40 messages do
/// not suffice.
pub fn fail_until_ejected(world: &mut World) -> CheckResult {
    for _ in 0..40 {
        if world.has_ejected() {
            return Ok(());
        }
        world.submit(IDEMPOTENT, 0)?;
        world.advance(50 * MS)?;
        world.end_all_attempts(Outcome::Error)?;
    }
    Err("expected an ejection within 40 failed messages".into())
}
