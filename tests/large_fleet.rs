//! Single forwarders of a large fleet: what one of them sends must be little beside what all of
//! them send.

mod common;

use common::*;
use opalpulley::*;
use std::collections::BTreeSet;

/// Of the forwarders of the fleet, so many are simulated, each in a world of its own.
const SIMULATED_FORWARDERS: usize = 40;

fn config_in_fleet(fleet_size: u32) -> Config {
    Config {
        fleet_size,
        ..config()
    }
}

/// Forty of three hundred forwarders, and a destination with two endpoints of 20 calls per second.
/// The even share of a forwarder in a rate or in a slow-start budget is next to nothing.
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

/// One of three hundred forwarders, and a destination with one endpoint of 100 calls per second.
/// The even share of a forwarder is a call in three seconds.
fn world_in_fleet_of_300() -> World {
    World::new(config_in_fleet(300), vec![listed_endpoint(1, 0, 100.0)])
}

const REJECTED: Outcome = Outcome::Rejected { retry_after: None };

/// An even share is a call in some seconds. Without a rejection no message may wait for that; but
/// not all forwarders may send their first messages at once either, which would overload a small
/// destination.
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
        "{sent_at_once} of 80 messages of {SIMULATED_FORWARDERS} forwarders were sent at once"
    );
    Ok(())
}

/// The gossip message of a forwarder whose call was rejected.
fn gossip_after_rejection() -> CheckResult<Vec<u8>> {
    let mut world = simulated_forwarders().next().ok_or("a forwarder")?;
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
    Err("the rejection is not announced".into())
}

/// The calls of all simulated forwarders within 0.2 s, after they received this gossip, if any.
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
        // Gossip, however often repeated, only makes messages wait for a pacing interval.
        world.advance(4_500 * MS)?;
        assert!(world.messages.all().any(|m| !m.attempts.is_empty()));
    }
    Ok(calls)
}

/// If each of hundreds learned of a limit by a rejection of its own, the rejected calls would use
/// the limit up.
#[test]
fn slows_whole_fleet_after_one_rejection() -> CheckResult {
    let gossip = gossip_after_rejection()?;
    let without_gossip = call_count_after_gossip(None)?;
    let with_gossip = call_count_after_gossip(Some(&gossip))?;
    assert!(
        without_gossip >= 40 && with_gossip <= 8,
        "{without_gossip} calls of {SIMULATED_FORWARDERS} forwarders, {with_gossip} after gossip"
    );
    Ok(())
}

/// A health check uses a call of the slow-start budget, and the next call comes seconds later. A
/// message makes better use of it.
#[test]
fn sends_message_as_health_check_under_small_slow_start_budget() -> CheckResult {
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
        "a health check was sent"
    );
    assert_eq!(
        world.messages.ids_in_flight().len(),
        1,
        "no message was sent"
    );
    Ok(())
}

/// The endpoint that a forwarder chooses for its second call.
fn second_chosen_endpoint(mut world: World) -> CheckResult<EndpointId> {
    let first = world.submit(IDEMPOTENT, 0)?;
    world.advance(100 * MS)?;
    world.end_attempt(first, Outcome::Delivered)?;
    world.advance(2_000 * MS)?;
    let second = world.submit(IDEMPOTENT, 0)?;
    Ok(world.messages[second].attempts[0].endpoint)
}

/// Forwarders that know little of the endpoints must not all choose the first one of the list.
#[test]
fn forwarders_with_few_samples_choose_different_endpoints() -> CheckResult {
    let mut chosen = BTreeSet::new();
    for world in simulated_forwarders() {
        chosen.insert(second_chosen_endpoint(world)?);
    }
    assert_eq!(chosen.len(), 2);
    Ok(())
}

/// If all forwarders called when the same retry-after pause ends, they would overload the
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
        "{early_repeats} of {SIMULATED_FORWARDERS} forwarders called within 0.2 s"
    );
    Ok(())
}

/// One rejection is enough for a pacing interval on the scale of an even share, not of the time of
/// one call.
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

/// A late message leaves the first call that pacing allows to a message in time. It is sent when a
/// whole pacing interval more has passed.
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

/// Two rejections mean a destination at its limit, also where the slow-start budget of a forwarder
/// is scant.
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
