//! Single forwarders of a large fleet: what one of them sends must be little beside what all of
//! them send.

mod common;

use common::*;
use opalpulley::*;
use std::collections::BTreeSet;

/// Of the forwarders of the fleet, so many are simulated, each in a world of its own.
const SIMULATED: usize = 40;

fn config_in_fleet(fleet_size: u32) -> Config {
    Config {
        fleet_size,
        ..config()
    }
}

/// Forty of three hundred forwarders, and a destination with two endpoints of 20 calls per second.
/// The even share of a forwarder in a rate or in a slow-start budget is next to nothing.
fn forwarders() -> impl Iterator<Item = World> {
    (0..SIMULATED as u16).map(|number| {
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
fn one_of_300() -> World {
    World::new(config_in_fleet(300), vec![listed_endpoint(1, 0, 100.0)])
}

const REJECTED: Outcome = Outcome::Rejected { retry_after: None };

/// An even share is a call in some seconds. Without a rejection no message may wait for that; but
/// not all forwarders may send their first messages at once either, which would overload a small
/// destination.
#[test]
fn without_a_rejection_no_message_waits_for_an_even_share() -> Checked {
    let mut sent_at_once = 0;
    for mut world in forwarders() {
        world.submit_many(2, IDEMPOTENT, 0)?;
        sent_at_once += world.messages.in_flight().len();
        world.advance(LATENCY_OBJECTIVE * 3 / 2)?;
        assert_eq!(world.messages.in_flight().len(), 2);
    }
    assert!(
        sent_at_once < 60,
        "{sent_at_once} of 80 messages of {SIMULATED} forwarders were sent at once"
    );
    Ok(())
}

/// The gossip message of a forwarder whose call was rejected.
fn gossip_after_rejection() -> Checked<Vec<u8>> {
    let mut world = forwarders().next().ok_or("a forwarder")?;
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
fn calls_after_gossip(gossip: Option<&[u8]>) -> Checked<usize> {
    let mut calls = 0;
    for mut world in forwarders() {
        if let Some(payload) = gossip {
            for _ in 0..3 {
                world.receive_gossip(7, payload.to_vec())?;
            }
        }
        world.submit_many(2, IDEMPOTENT, 0)?;
        world.advance(200 * MS)?;
        calls += world.messages.in_flight().len();
        // Gossip, however often repeated, only makes messages wait for a pacing interval.
        world.advance(4_500 * MS)?;
        assert!(world.messages.all().any(|m| !m.attempts.is_empty()));
    }
    Ok(calls)
}

/// If each of hundreds learned of a limit by a rejection of its own, the rejected calls would use
/// the limit up.
#[test]
fn one_rejection_slows_the_whole_fleet_down() -> Checked {
    let gossip = gossip_after_rejection()?;
    let without = calls_after_gossip(None)?;
    let with = calls_after_gossip(Some(&gossip))?;
    assert!(
        without >= 40 && with <= 8,
        "{without} calls of {SIMULATED} forwarders, {with} after gossip"
    );
    Ok(())
}

/// A health check uses a call of the slow-start budget, and the next call comes seconds later. A
/// message makes better use of it.
#[test]
fn where_the_slow_start_budget_is_scant_a_message_serves_as_the_health_check() -> Checked {
    let mut world = World::new(config_in_fleet(60), vec![listed_endpoint(1, 0, 60.0)]);
    for _ in 0..4 {
        let id = world.submit_with_time_left(IDEMPOTENT, 0, 60_000 * MS)?;
        world.advance(1_500 * MS)?;
        if world.messages.in_flight().contains(&id) {
            world.end_attempt(id, Outcome::NoConnection)?;
        }
    }
    let before = world.actions.len();
    world.advance(20_000 * MS)?;
    let is_health_check = |action: &Action| matches!(action, Action::StartHealthCheck { .. });
    assert!(
        !world.actions[before..].iter().any(is_health_check),
        "a health check was sent"
    );
    assert_eq!(world.messages.in_flight().len(), 1, "no message was sent");
    Ok(())
}

/// The endpoint that a forwarder chooses for its second call.
fn second_choice(mut world: World) -> Checked<EndpointId> {
    let first = world.submit(IDEMPOTENT, 0)?;
    world.advance(100 * MS)?;
    world.end_attempt(first, Outcome::Delivered)?;
    world.advance(2_000 * MS)?;
    let second = world.submit(IDEMPOTENT, 0)?;
    Ok(world.messages[second].attempts[0].endpoint)
}

/// Forwarders that know little of the endpoints must not all choose the first one of the list.
#[test]
fn forwarders_that_know_little_choose_different_endpoints() -> Checked {
    let mut chosen = BTreeSet::new();
    for world in forwarders() {
        chosen.insert(second_choice(world)?);
    }
    assert_eq!(chosen.len(), 2);
    Ok(())
}

/// If all forwarders called when the same retry-after pause ends, they would overload the
/// destination.
#[test]
fn few_forwarders_call_as_soon_as_a_pause_ends() -> Checked {
    let mut repeated = 0;
    for mut world in forwarders() {
        let id = world.submit(IDEMPOTENT, 0)?;
        let outcome = Outcome::Rejected {
            retry_after: Some(5_000 * MS),
        };
        world.end_attempt(id, outcome)?;
        world.advance(5_200 * MS)?;
        repeated += world.attempts(id) - 1;
    }
    assert!(
        repeated < 10,
        "{repeated} of {SIMULATED} forwarders called within 0.2 s"
    );
    Ok(())
}

/// One rejection is enough for a pacing interval on the scale of an even share, not of the time of
/// one call.
#[test]
fn after_a_rejection_the_pacing_interval_is_on_the_scale_of_an_even_share() -> Checked {
    let mut world = one_of_300();
    let first = world.submit(IDEMPOTENT, 0)?;
    world.end_attempt(first, REJECTED)?;
    let next = world.submit(IDEMPOTENT, 0)?;
    world.advance(700 * MS)?;
    assert!(world.attempts(first) == 1 && world.attempts(next) == 0);
    world.advance(7_000 * MS)?;
    assert!(world.attempts(first) + world.attempts(next) > 1);
    Ok(())
}

/// A late message leaves the first call that pacing allows to a message in time. It is sent when a
/// whole pacing interval more has passed.
#[test]
fn a_late_message_waits_for_a_call_to_spare() -> Checked {
    let mut world = one_of_300();
    let rejected = world.submit(IDEMPOTENT, 0)?;
    world.end_attempt(rejected, REJECTED)?;
    world.withdraw(rejected)?;
    let late = world.submit_with_time_left(IDEMPOTENT, 0, 6_900 * MS)?;
    world.advance(2_100 * MS)?;
    assert_eq!(world.attempts(late), 0);
    world.advance(2_500 * MS)?;
    assert_eq!(world.attempts(late), 1);
    Ok(())
}

/// Two rejections mean a destination at its limit, also where the slow-start budget of a forwarder
/// is scant.
#[test]
fn two_rejections_eject_no_endpoint() -> Checked {
    let mut world = one_of_300();
    let id = world.submit(IDEMPOTENT, 0)?;
    assert_eq!(world.attempts(id), 1);
    world.end_attempt(id, REJECTED)?;
    world.advance(4_500 * MS)?;
    assert_eq!(world.attempts(id), 2);
    world.end_attempt(id, REJECTED)?;
    world.advance(0)?;
    assert!(!world.has_ejected());
    Ok(())
}
