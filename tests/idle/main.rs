//! Idle destinations that are held as summaries: nothing that binds the forwarder is forgotten, and
//! no table grows without end. The reference is the same core that holds every destination in full.

#[path = "../common/mod.rs"]
mod common;

mod bounds;
mod histories;
mod large_lists;

use common::*;
use opalpulley::*;

/// In a fleet so large, an ejected endpoint gets messages only and no health checks. It is idle
/// between them.
const FLEET_SIZE: u32 = 300;

/// Holds every idle destination as a summary.
const HOLD_AS_SUMMARIES: Option<u32> = Some(0);

/// Holds every destination in full.
const HOLD_IN_FULL: Option<u32> = None;

fn config_in_fleet(full_destinations: Option<u32>) -> Config {
    Config {
        fleet_size: FLEET_SIZE,
        full_destinations,
        ..config()
    }
}

/// A destination with one endpoint.
fn world_with_one_endpoint(full_destinations: Option<u32>) -> World {
    let list = vec![listed_endpoint(1, 0, 20.0)];
    World::new(config_in_fleet(full_destinations), list)
}

/// All attempts, in the order of the messages' ids.
fn all_attempts(world: &World) -> Vec<&Attempt> {
    let messages = world.messages.all();
    messages.flat_map(|message| &message.attempts).collect()
}

/// When all attempts but the first `skipped` ones were sent.
fn call_times_after(world: &World, skipped: usize) -> Vec<Micros> {
    let mut sent_at: Vec<Micros> = all_attempts(world).iter().map(|a| a.sent_at).collect();
    sent_at.sort_unstable();
    sent_at.split_off(skipped)
}

/// Submits a message and ends its attempt with this outcome.
fn submit_and_end_attempt(world: &mut World, outcome: Outcome) -> CheckResult {
    world.submit(IDEMPOTENT, 0)?;
    world.advance(3_000 * MS)?;
    world.end_all_attempts(outcome)?;
    Ok(())
}

/// Submits messages one by one and delivers every attempt.
fn deliver_one_by_one(world: &mut World, count: usize, interval: Micros) -> CheckResult {
    for _ in 0..count {
        world.submit(IDEMPOTENT, 0)?;
        world.advance(interval)?;
        world.end_all_attempts(Outcome::Delivered)?;
    }
    Ok(())
}

/// Lets half a minute pass, by which every destination is held as a summary.
fn wait_until_summarised(world: &mut World) -> CheckResult {
    for _ in 0..10 {
        world.advance(3_000 * MS)?;
        // Destinations are summarised after an event, whichever it is.
        world.handle(Event::EndpointListUpdated(EndpointListUpdate::Failed))?;
    }
    let counts = world.forwarder.state_counts();
    match counts.full {
        0 => Ok(()),
        _ => Err(format!("still held in full: {counts:?}")),
    }
}

/// Lets half a minute pass, by which every destination is held as a summary if summaries are on.
fn wait_until_idle(world: &mut World) -> CheckResult {
    if world.config.full_destinations.is_some() {
        wait_until_summarised(world)
    } else {
        world.advance(30_000 * MS)
    }
}
