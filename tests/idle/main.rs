//! Idle destinations that are held as summaries: everything that restricts the calls of the
//! forwarder is kept, and no table grows without bound. The reference is the same core with every
//! destination held in full.

#[path = "../common/mod.rs"]
mod common;

mod bounds;
mod histories;
mod large_lists;

use common::*;
use opalpulley::*;

/// In a fleet of this size, an ejected endpoint gets only messages and no health checks, and is
/// idle between them.
const FLEET_SIZE: u32 = 300;

/// Value of `full_destinations` with which every idle destination is held as a summary.
const HOLD_AS_SUMMARIES: Option<u32> = Some(0);

/// Value of `full_destinations` with which every destination is held in full.
const HOLD_IN_FULL: Option<u32> = None;

fn config_in_fleet(full_destinations: Option<u32>) -> Config {
    Config {
        fleet_size: FLEET_SIZE,
        full_destinations,
        ..config()
    }
}

/// Returns a world with one destination that has one endpoint.
fn world_with_one_endpoint(full_destinations: Option<u32>) -> World {
    let list = vec![listed_endpoint(1, 0, 20.0)];
    World::new(config_in_fleet(full_destinations), list)
}

/// Returns all attempts in the order of the ids of their messages.
fn all_attempts(world: &World) -> Vec<&Attempt> {
    let messages = world.messages.all();
    messages.flat_map(|message| &message.attempts).collect()
}

/// Returns the times in µs at which the attempts were sent, in ascending order and without the
/// first `skipped` ones.
fn call_times_after(world: &World, skipped: usize) -> Vec<Micros> {
    let mut sent_at: Vec<Micros> = all_attempts(world).iter().map(|a| a.sent_at).collect();
    sent_at.sort_unstable();
    sent_at.split_off(skipped)
}

/// Submits a message, waits 3 s and ends its attempt with this outcome.
fn submit_and_end_attempt(world: &mut World, outcome: Outcome) -> CheckResult {
    world.submit(IDEMPOTENT, 0)?;
    world.advance(3_000 * MS)?;
    world.end_all_attempts(outcome)?;
    Ok(())
}

/// Submits messages at this interval in µs and delivers every attempt.
fn deliver_one_by_one(world: &mut World, count: usize, interval: Micros) -> CheckResult {
    for _ in 0..count {
        world.submit(IDEMPOTENT, 0)?;
        world.advance(interval)?;
        world.end_all_attempts(Outcome::Delivered)?;
    }
    Ok(())
}

/// Advances the clock by 30 s and checks that every destination is held as a summary then.
fn wait_until_summarised(world: &mut World) -> CheckResult {
    for _ in 0..10 {
        world.advance(3_000 * MS)?;
        // Destinations are summarised after an event of any kind.
        world.handle(Event::EndpointListUpdated(EndpointListUpdate::Failed))?;
    }
    let counts = world.forwarder.state_counts();
    match counts.full {
        0 => Ok(()),
        _ => Err(format!("expected no destination held in full: {counts:?}")),
    }
}

/// Advances the clock by 30 s. If summaries are enabled, checks that every destination is held as
/// one then.
fn wait_until_idle(world: &mut World) -> CheckResult {
    if world.config.full_destinations.is_some() {
        wait_until_summarised(world)
    } else {
        world.advance(30_000 * MS)
    }
}
