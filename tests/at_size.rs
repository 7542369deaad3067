//! Cases of forwarders in a large fleet: what one sends is small beside what all send.

mod common;

use common::*;
use opalpulley::*;

type Checked = Result<(), String>;

/// Forty of three hundred forwarders: an even share of a pace or of a cold budget is next to nothing.
fn fleet() -> impl Iterator<Item = World> {
    let config = |n| Config {
        forwarder: n,
        fleet_size: 300,
        ..config()
    };
    (0..40).map(move |n| World::new(config(n), vec![listing(1, 0, 20.0), listing(2, 0, 20.0)]))
}

/// An even share, a call in fifteen seconds, once held messages back that nobody had refused; the first messages of many
/// forwarders at once overran a small destination. None waits beyond its contract time, and not all go at once.
#[test]
fn at_size_no_message_waits_for_an_even_share() -> Checked {
    let mut at_once = 0;
    for mut world in fleet() {
        (0..2).try_for_each(|_| world.arrive(0, 0, None, 8_000 * MS).map(drop))?;
        at_once += world.out().len();
        world.pass(
            world
                .config
                .classes
                .iter()
                .map(|p| p.latency_objective)
                .min()
                .unwrap_or(0)
                * 3
                / 2,
        )?;
        assert_eq!(world.out().len(), 2);
    }
    assert!(
        at_once < 60,
        "{at_once} of 80 packets of 40 forwarders went at once"
    );
    Ok(())
}

/// Each of hundreds once learned of a limit by a refusal of its own, and refused calls use the limit up.
#[test]
fn at_size_one_refusal_is_enough_for_all() -> Checked {
    let mut refused = fleet().next().ok_or("a forwarder")?;
    let id = refused.arrive(0, 0, None, 8_000 * MS)?;
    refused.end(id, Outcome::Rejected { retry_after: None })?;
    let told = refused.actions.iter().find_map(|a| match a {
        Action::SendGossip {
            peer: None,
            payload: message,
        } => Some(message.clone()),
        _ => None,
    });
    let message = told.ok_or("it tells nobody")?;
    let calls = |news: Option<&Vec<u8>>| -> Result<usize, String> {
        let mut calls = 0;
        for mut world in fleet() {
            if let Some(message) = news {
                (0..3).try_for_each(|_| {
                    world.give(Event::Gossip {
                        from: 7,
                        payload: message.clone(),
                    })
                })?;
            }
            (0..2).try_for_each(|_| world.arrive(0, 0, None, 8_000 * MS).map(drop))?;
            world.pass(200 * MS)?;
            calls += world.out().len();
            // It is no more than a rest: told again and again, the messages go all the same.
            world.pass(4_500 * MS)?;
            assert!(world.messages.values().any(|p| !p.attempts.is_empty()));
        }
        Ok(calls)
    };
    let (without, with) = (calls(None)?, calls(Some(&message))?);
    assert!(
        without >= 40 && with <= 8,
        "{without} calls of 40 forwarders, {with} after the message"
    );
    Ok(())
}

/// A health check takes a call of the cold budget; the next one came seconds later, and the messages waited on.
#[test]
fn at_size_a_message_serves_as_the_health_check() -> Checked {
    let config = Config {
        fleet_size: 60,
        ..config()
    };
    let mut world = World::new(config, vec![listing(1, 0, 60.0)]);
    for _ in 0..4 {
        let id = world.arrive(0, 0, None, 60_000 * MS)?;
        world.pass(1_500 * MS)?;
        if world.out().contains(&id) {
            world.end(id, Outcome::NoConnection)?;
        }
    }
    let before = world.actions.len();
    world.pass(20_000 * MS)?;
    assert!(
        !world.actions[before..]
            .iter()
            .any(|a| matches!(a, Action::HealthCheck { .. })),
        "probed"
    );
    assert!(world.out().len() == 1, "no packet tries");
    Ok(())
}

/// Forwarders that know little once all went to the first endpoint of the list.
#[test]
fn at_size_not_all_choose_one_endpoint() -> Checked {
    let chosen = fleet().map(|mut world| {
        let first = world.arrive(0, 0, None, 8_000 * MS)?;
        world.pass(100 * MS)?;
        world.end(first, Outcome::Delivered)?;
        world.pass(2_000 * MS)?;
        let id = world.arrive(0, 0, None, 8_000 * MS)?;
        Ok(world.messages[&id].attempts[0].endpoint)
    });
    assert_eq!(
        chosen
            .collect::<Result<std::collections::BTreeSet<_>, String>>()?
            .len(),
        2
    );
    Ok(())
}

/// A destination that told all when it would open was once pushed over by all at that moment.
#[test]
fn at_size_few_try_a_shut_destination_when_it_opens() -> Checked {
    let mut tried = 0;
    for mut world in fleet() {
        let first = world.arrive(0, 0, None, 8_000 * MS)?;
        world.end(
            first,
            Outcome::Rejected {
                retry_after: Some(5_000 * MS),
            },
        )?;
        world.pass(5_200 * MS)?;
        tried += sends(&world, first).len() - 1;
    }
    assert!(
        tried < 10,
        "{tried} of 40 tried within two tenths of a second"
    );
    Ok(())
}

/// With 300 forwarders one refusal is enough for a rest on the scale of an even share (3 s here), not of one call's time.
#[test]
fn at_size_a_refused_forwarder_rests_on_the_scale_of_an_even_share() -> Checked {
    let mut world = World::new(
        Config {
            fleet_size: 300,
            ..config()
        },
        vec![listing(1, 0, 100.0)],
    );
    let first = world.arrive(0, 0, None, 8_000 * MS)?;
    world.end(first, Outcome::Rejected { retry_after: None })?;
    let next = world.arrive(0, 0, None, 8_000 * MS)?;
    world.pass(700 * MS)?;
    assert!(sends(&world, first).len() == 1 && sends(&world, next).is_empty());
    world.pass(7_000 * MS)?;
    assert!(sends(&world, first).len() + sends(&world, next).len() > 1);
    Ok(())
}

/// A late message leaves the first call that the pace allows to one in time, and goes when a whole rest more has passed.
#[test]
fn at_size_a_late_message_waits_until_a_call_is_to_spare() -> Checked {
    let mut world = World::new(
        Config {
            fleet_size: 300,
            ..config()
        },
        vec![listing(1, 0, 100.0)],
    );
    let refused = world.arrive(0, 0, None, 8_000 * MS)?;
    world.end(refused, Outcome::Rejected { retry_after: None })?;
    world.withdraw(refused)?;
    let late = world.arrive(0, 0, None, 6_900 * MS)?;
    world.pass(2_100 * MS)?;
    assert!(sends(&world, late).is_empty());
    world.pass(2_500 * MS)?;
    assert_eq!(sends(&world, late).len(), 1);
    Ok(())
}

/// Two refusals are a destination at its limit, also where the cold budget of hundreds of forwarders is scant.
#[test]
fn at_size_two_refusals_set_nothing_aside() -> Checked {
    let mut world = World::new(
        Config {
            fleet_size: 300,
            ..config()
        },
        vec![listing(1, 0, 100.0)],
    );
    let id = world.arrive(0, 0, None, 8_000 * MS)?;
    for attempt in 1..=2 {
        assert_eq!(sends(&world, id).len(), attempt);
        world.end(id, Outcome::Rejected { retry_after: None })?;
        world.pass(4_500 * MS * (2 - attempt as u64))?;
    }
    assert!(!logged(&world, "endpoint ejected"));
    Ok(())
}
