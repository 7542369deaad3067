//! Single forwarders of a large fleet, where the calls of one forwarder must be few compared with
//! the calls of the whole fleet.

mod common;

use common::*;
use opalpulley::*;
use std::collections::BTreeSet;

/// Number of forwarders of the fleet that are simulated, each in a world of its own.
const SIMULATED_FORWARDERS: usize = 40;

fn config_in_fleet(fleet_size: u32) -> Config {
    Config {
        fleet_size,
        ..config()
    }
}

/// Returns the worlds of 40 of 300 forwarders, with one destination that has two endpoints of 20
/// calls per second. The even share of one forwarder in the rate or in a slow-start budget is close
/// to zero.
fn simulated_forwarders() -> impl Iterator<Item = World> {
    (0..SIMULATED_FORWARDERS as u16).map(|number| {
        let config = Config {
            forwarder_id: number,
            ..config_in_fleet(300)
        };
        let list = vec![listed_endpoint(1, 0, 20.0), listed_endpoint(2, 0, 20.0)];
        World::new(config, list)
    })
}

/// Returns the world of one of 300 forwarders, with one destination that has one endpoint of 100
/// calls per second. The even share of the forwarder is one call in three seconds.
fn world_in_fleet_of_300() -> World {
    World::new(config_in_fleet(300), vec![listed_endpoint(1, 0, 100.0)])
}

const REJECTED: Outcome = Outcome::Rejected { retry_after: None };

/// The even share of a forwarder is one call in several seconds. Before a rejection no message may
/// wait for it, but the forwarders must not all send their first messages at once either, because
/// they would overload a small destination.
#[test]
fn does_not_wait_for_even_share_without_rejection() -> CheckResult {
    let mut sent_at_once = 0;
    for mut world in simulated_forwarders() {
        world.submit_many(2, IDEMPOTENT, 0)?;
        sent_at_once += world.messages.ids_in_flight().len();
        world.advance(LATENCY_OBJECTIVE * 3 / 2)?;
        assert_eq!(world.messages.ids_in_flight().len(), 2);
    }
    assert!(
        sent_at_once < 60,
        "{sent_at_once} of 80 messages of {SIMULATED_FORWARDERS} forwarders were sent at once, \
         expected fewer than 60"
    );
    Ok(())
}

/// Returns the gossip message of a forwarder whose call was rejected.
fn gossip_after_rejection() -> CheckResult<Vec<u8>> {
    let mut world = simulated_forwarders()
        .next()
        .ok_or("expected a simulated forwarder")?;
    let id = world.submit(IDEMPOTENT, 0)?;
    world.end_attempt(id, REJECTED)?;
    for action in world.actions {
        if let Action::SendGossip {
            peer: None,
            payload,
        } = action
        {
            return Ok(payload);
        }
    }
    Err("expected gossip about the rejection".into())
}

/// Returns the number of calls that all simulated forwarders send within 0.2 s after the optional
/// gossip.
fn call_count_after_gossip(gossip: Option<&[u8]>) -> CheckResult<usize> {
    let mut calls = 0;
    for mut world in simulated_forwarders() {
        if let Some(payload) = gossip {
            for _ in 0..3 {
                world.receive_gossip(7, payload.to_vec())?;
            }
        }
        world.submit_many(2, IDEMPOTENT, 0)?;
        world.advance(200 * MS)?;
        calls += world.messages.ids_in_flight().len();
        // Gossip delays a message by no more than a pacing interval, however often it is repeated.
        world.advance(4_500 * MS)?;
        assert!(world.messages.all().any(|m| !m.attempts.is_empty()));
    }
    Ok(calls)
}

/// If each of hundreds of forwarders learned of a limit by a rejection of its own, the rejected
/// calls would use up the limit.
#[test]
fn slows_whole_fleet_after_one_rejection() -> CheckResult {
    let gossip = gossip_after_rejection()?;
    let without_gossip = call_count_after_gossip(None)?;
    let with_gossip = call_count_after_gossip(Some(&gossip))?;
    assert!(
        without_gossip >= 40 && with_gossip <= 8,
        "{without_gossip} calls of {SIMULATED_FORWARDERS} forwarders without gossip, expected at \
         least 40; {with_gossip} after gossip, expected at most 8"
    );
    Ok(())
}

/// A health check uses up a call of the slow-start budget, and the next call follows only seconds
/// later. A message makes better use of the call.
#[test]
fn sends_message_instead_of_health_check_under_small_slow_start_budget() -> CheckResult {
    let mut world = World::new(config_in_fleet(60), vec![listed_endpoint(1, 0, 60.0)]);
    for _ in 0..4 {
        let id = world.submit_with_time_left(IDEMPOTENT, 0, 60_000 * MS)?;
        world.advance(1_500 * MS)?;
        if world.messages.ids_in_flight().contains(&id) {
            world.end_attempt(id, Outcome::NoConnection)?;
        }
    }
    let actions_before = world.actions.len();
    world.advance(20_000 * MS)?;
    let is_health_check = |action: &Action| matches!(action, Action::StartHealthCheck { .. });
    assert!(
        !world.actions[actions_before..].iter().any(is_health_check),
        "expected no health check"
    );
    assert_eq!(
        world.messages.ids_in_flight().len(),
        1,
        "expected one message in flight"
    );
    Ok(())
}

/// Returns the endpoint that a forwarder chooses for its second call.
fn second_chosen_endpoint(mut world: World) -> CheckResult<EndpointId> {
    let first = world.submit(IDEMPOTENT, 0)?;
    world.advance(100 * MS)?;
    world.end_attempt(first, Outcome::Delivered)?;
    world.advance(2_000 * MS)?;
    let second = world.submit(IDEMPOTENT, 0)?;
    Ok(world.messages[second].attempts[0].endpoint)
}

/// Forwarders with few samples of the endpoints must not all choose the first one of the list.
#[test]
fn forwarders_with_few_samples_choose_different_endpoints() -> CheckResult {
    let mut chosen = BTreeSet::new();
    for world in simulated_forwarders() {
        chosen.insert(second_chosen_endpoint(world)?);
    }
    assert_eq!(chosen.len(), 2);
    Ok(())
}

/// If all forwarders sent a call at the end of the same retry-after pause, they would overload the
/// destination.
#[test]
fn staggers_calls_of_fleet_after_retry_after_pause() -> CheckResult {
    let mut early_repeats = 0;
    for mut world in simulated_forwarders() {
        let id = world.submit(IDEMPOTENT, 0)?;
        let outcome = Outcome::Rejected {
            retry_after: Some(5_000 * MS),
        };
        world.end_attempt(id, outcome)?;
        world.advance(5_200 * MS)?;
        early_repeats += world.attempt_count(id) - 1;
    }
    assert!(
        early_repeats < 10,
        "{early_repeats} of {SIMULATED_FORWARDERS} forwarders sent a call within 0.2 s of the \
         pause, expected fewer than 10"
    );
    Ok(())
}

/// A single rejection must lengthen the pacing interval to the scale of an even share, not of the
/// duration of one call.
#[test]
fn sets_pacing_interval_to_scale_of_even_share_after_rejection() -> CheckResult {
    let mut world = world_in_fleet_of_300();
    let first = world.submit(IDEMPOTENT, 0)?;
    world.end_attempt(first, REJECTED)?;
    let next = world.submit(IDEMPOTENT, 0)?;
    world.advance(700 * MS)?;
    assert!(world.attempt_count(first) == 1 && world.attempt_count(next) == 0);
    world.advance(7_000 * MS)?;
    assert!(world.attempt_count(first) + world.attempt_count(next) > 1);
    Ok(())
}

/// A late message leaves the next call that pacing allows to a message that can still meet its
/// latency objective. It is sent after one more whole pacing interval.
#[test]
fn sends_late_message_one_pacing_interval_after_next_allowed_call() -> CheckResult {
    let mut world = world_in_fleet_of_300();
    let rejected = world.submit(IDEMPOTENT, 0)?;
    world.end_attempt(rejected, REJECTED)?;
    world.withdraw(rejected)?;
    let late = world.submit_with_time_left(IDEMPOTENT, 0, 6_900 * MS)?;
    world.advance(2_100 * MS)?;
    assert_eq!(world.attempt_count(late), 0);
    world.advance(2_500 * MS)?;
    assert_eq!(world.attempt_count(late), 1);
    Ok(())
}

/// Two rejections mean that the destination is at its limit, even where the slow-start budget of a
/// forwarder is small.
#[test]
fn does_not_eject_endpoint_after_two_rejections() -> CheckResult {
    let mut world = world_in_fleet_of_300();
    let id = world.submit(IDEMPOTENT, 0)?;
    assert_eq!(world.attempt_count(id), 1);
    world.end_attempt(id, REJECTED)?;
    world.advance(4_500 * MS)?;
    assert_eq!(world.attempt_count(id), 2);
    world.end_attempt(id, REJECTED)?;
    world.advance(0)?;
    assert!(!world.has_ejected());
    Ok(())
}
