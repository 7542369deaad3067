//! Destinations held as summaries while they are idle: nothing that binds is forgotten, and no table keeps anything. The
//! reference is the same core that holds all in full.

mod common;

use common::*;
use opalpulley::*;
use quickcheck::{Gen, QuickCheck, TestResult};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

type Checked = Result<(), String>;

/// Of a fleet so large that an ejected endpoint is tried by messages only and is idle between them.
fn at_size(full_destinations: Option<u32>) -> Config {
    Config {
        fleet_size: 300,
        full_destinations,
        ..config()
    }
}

fn one_endpoint(full_destinations: Option<u32>) -> World {
    World::new(at_size(full_destinations), vec![listing(1, 0, 20.0)])
}

fn sends(world: &World) -> Vec<(Micros, EndpointId)> {
    let attempts = world
        .messages
        .values()
        .flat_map(|held| held.attempts.iter());
    attempts
        .map(|attempt| (attempt.sent, attempt.endpoint))
        .collect()
}

fn send_one(world: &mut World, outcome: Outcome) -> Checked {
    world.arrive(0, 0, None, 8_000 * MS)?;
    world.pass(3_000 * MS)?;
    world
        .out()
        .into_iter()
        .try_for_each(|id| world.end(id, outcome))
}

/// Lets time pass until the destination is held as a summary.
fn go_idle(world: &mut World) -> Checked {
    for _ in 0..10 {
        world.pass(3_000 * MS)?;
        world.give(Event::EndpointList(EndpointListUpdate::Failed))?; // any event at all
    }
    let counts = world.forwarder.state_counts();
    match counts.full {
        0 => Ok(()),
        _ => Err(format!("still held in full: {counts:?}")),
    }
}

fn quickcheck(seed: u64, tests: u64, property: fn(u64) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(tests)
        .quickcheck(property);
}

/// The rules' oracle over histories with long pauses, in which a destination is summarised whenever it is idle. It never
/// forgets an endpoint, the core forgets one that has been gone for the warm-up time: where that alone breaks a rule, it does
/// so with all state in full as well, and then in the same words.
#[test]
fn no_history_with_summaries_breaks_a_rule_that_the_full_state_keeps() {
    quickcheck(20_261_203, 60, |seed| {
        let endpoints = if seed.is_multiple_of(2) { 1 } else { 2 };
        let play = Play {
            steps: 600,
            pause: 6_000 * MS,
            endpoints,
            full_destinations: None,
        };
        let run = |full_destinations| {
            common::play(
                seed,
                &Play {
                    full_destinations,
                    ..play
                },
            )
        };
        match (run(Some(0)), run(None)) {
            (Ok(world), Ok(_)) if world.restored() == 0 => {
                TestResult::error("nothing was summarised")
            }
            (Ok(_), Ok(_)) => TestResult::passed(),
            (Ok(_), Err(_)) => TestResult::discard(),
            (Err(with), Err(without)) if with == without => TestResult::discard(),
            (with, without) => {
                TestResult::error(format!("{:?}, in full {:?}", with.err(), without.err()))
            }
        }
    });
}

/// Messages, pauses, drains and returns, but no failure: each message ends as with all state in full.
#[test]
fn where_nothing_fails_the_same_messages_are_delivered() {
    fn run(
        seed: u64,
        full_destinations: Option<u32>,
    ) -> Result<(Vec<MessageId>, Vec<Action>, u64), String> {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let endpoints = if seed.is_multiple_of(2) { 1 } else { 2 };
        let list: Vec<EndpointEntry> = (0..6)
            .map(|n| listing(n, u32::from(n / endpoints), 4.0))
            .collect();
        let mut world = World::new(
            Config {
                full_destinations,
                ..config()
            },
            list.clone(),
        );
        for _ in 0..200 {
            match chance.random_range(0..10) {
                0 => {
                    let standing = if chance.random() {
                        EndpointStatus::Ready
                    } else {
                        EndpointStatus::Draining
                    };
                    let entry = EndpointEntry {
                        status: standing,
                        ..list[chance.random_range(0..6)].clone()
                    };
                    world.list(EndpointListUpdate::Changes(vec![entry]))?;
                }
                1 => world.list(EndpointListUpdate::Complete(list.clone()))?,
                2..6 => _ = world.arrive(0, chance.random_range(0..3), None, 8_000 * MS)?,
                _ => world.pass(chance.random_range(1..4_000) * MS)?,
            }
            world.pass(50 * MS)?;
            world
                .out()
                .into_iter()
                .try_for_each(|id| world.end(id, Outcome::Delivered))?;
        }
        let delivered = |held: &&Held| {
            held.attempts
                .iter()
                .any(|t| t.outcome == Some(Outcome::Delivered))
        };
        let delivered = world
            .messages
            .values()
            .filter(delivered)
            .map(|held| held.arrival.id)
            .collect();
        let restored = world.restored();
        let end = |a: &Action| matches!(a, Action::Fail { .. } | Action::Reject { .. });
        Ok((
            delivered,
            world.actions.into_iter().filter(end).collect(),
            restored,
        ))
    }
    quickcheck(20_261_204, 200, |seed| {
        match (run(seed, Some(0)), run(seed, None)) {
            (Ok((.., 0)), _) => TestResult::error("nothing was summarised"),
            (Ok(with), Ok(without)) => {
                TestResult::from_bool((with.0, with.1) == (without.0, without.1))
            }
            (with, without) => {
                TestResult::error(format!("{:?}, in full {:?}", with.err(), without.err()))
            }
        }
    });
}

#[test]
fn a_wait_told_just_before_a_destination_goes_quiet_still_binds() -> Checked {
    let run = |full_destinations| -> Result<_, String> {
        let mut world = one_endpoint(full_destinations);
        send_one(&mut world, Outcome::Delivered)?;
        send_one(
            &mut world,
            Outcome::Rejected {
                retry_after: Some(60_000 * MS),
            },
        )?;
        world.pass(9_000 * MS)?;
        let told = world.now - 9_000 * MS;
        if full_destinations.is_some() {
            go_idle(&mut world)?;
            assert_eq!(world.forwarder.state_counts().bounds, 1);
        } else {
            world.pass(30_000 * MS)?;
        }
        world.pass(told + 55_000 * MS - world.now)?;
        let id = world.arrive(0, 0, None, 30_000 * MS)?;
        world.pass(25_000 * MS)?;
        let sent = world.messages[&id].attempts.first().map(|t| t.sent);
        assert!(
            sent.is_some_and(|at| at >= told + 60_000 * MS),
            "{sent:?}, told at {told}"
        );
        Ok(sent)
    };
    assert_eq!(run(Some(0))?, run(None)?);
    Ok(())
}

#[test]
fn a_endpoint_ejected_before_it_goes_quiet_returns_within_its_cold_budget() -> Checked {
    let run = |full_destinations| -> Result<_, String> {
        let mut world = one_endpoint(full_destinations);
        send_one(&mut world, Outcome::Delivered)?;
        for _ in 0..4 {
            send_one(&mut world, Outcome::Error)?;
        }
        world.pass(9_000 * MS)?;
        match full_destinations {
            Some(_) => go_idle(&mut world)?,
            None => world.pass(30_000 * MS)?,
        }
        let before = sends(&world).len();
        for _ in 0..300 {
            world.arrive(0, 0, None, 8_000 * MS)?;
            world.pass(1_000 * MS)?;
            world
                .out()
                .into_iter()
                .try_for_each(|id| world.end(id, Outcome::Delivered))?;
        }
        let mut calls: Vec<Micros> = sends(&world).into_iter().map(|(at, _)| at).collect();
        calls.sort_unstable();
        Ok(calls.split_off(before))
    };
    let (with, without) = (run(Some(0))?, run(None)?);
    assert!(with.len() > 100, "it returns: {with:?}");
    assert_eq!(
        with, without,
        "within the budget, as with all state in full"
    );
    Ok(())
}

#[test]
fn a_drain_told_while_idle_binds_and_ends() -> Checked {
    let mut world = one_endpoint(Some(0));
    send_one(&mut world, Outcome::Delivered)?;
    go_idle(&mut world)?;
    let entry = EndpointEntry {
        status: EndpointStatus::Draining,
        ..listing(1, 0, 20.0)
    };
    world.list(EndpointListUpdate::Changes(vec![entry]))?;
    go_idle(&mut world)?;
    let before = sends(&world).len();
    world.arrive(0, 0, None, 8_000 * MS)?;
    world.pass(9_000 * MS)?;
    assert_eq!(sends(&world).len(), before);
    go_idle(&mut world)?;
    world.list(EndpointListUpdate::Changes(vec![listing(1, 0, 20.0)]))?;
    send_one(&mut world, Outcome::Delivered)?;
    assert_eq!(sends(&world).len(), before + 1);
    Ok(())
}

#[test]
fn a_endpoint_replaced_while_idle_gets_nothing_more() -> Checked {
    let mut world = one_endpoint(Some(0));
    send_one(&mut world, Outcome::Delivered)?;
    go_idle(&mut world)?;
    let old = EndpointEntry {
        status: EndpointStatus::Removed,
        ..listing(1, 0, 20.0)
    };
    let new = EndpointEntry {
        endpoint: EndpointId {
            incarnation: 1,
            ..endpoint(1)
        },
        ..listing(1, 0, 20.0)
    };
    world.list(EndpointListUpdate::Changes(vec![old, new.clone()]))?;
    go_idle(&mut world)?;
    assert_eq!(
        world.forwarder.state_counts().summaries,
        2,
        "the old one is not forgotten at once"
    );
    send_one(&mut world, Outcome::Delivered)?;
    assert_eq!(sends(&world).last().map(|s| s.1), Some(new.endpoint));
    go_idle(&mut world)?;
    world.list(EndpointListUpdate::Complete(vec![new]))?;
    world.pass(3_000 * MS)?;
    assert_eq!(world.forwarder.state_counts().summaries, 1, "now it is");
    Ok(())
}

/// Guards against holding in full what is in use elsewhere: a message on an idle destination slows its next call only.
#[test]
fn a_note_on_an_idle_destination_leaves_it_idle_and_slows_it() -> Checked {
    let run = |full_destinations, message: Option<Vec<u8>>| -> Result<_, String> {
        let mut world = one_endpoint(full_destinations);
        send_one(&mut world, Outcome::Delivered)?;
        match full_destinations {
            Some(_) => go_idle(&mut world)?,
            None => world.pass(30_000 * MS)?,
        }
        let restored = world.restored();
        let (begin, before) = (world.now, sends(&world).len());
        let noted = message.is_some();
        message.into_iter().try_for_each(|message| {
            world.give(Event::Gossip {
                from: 2,
                payload: message,
            })
        })?;
        if full_destinations.is_some() {
            let counts = world.forwarder.state_counts();
            assert_eq!(
                (counts.full, counts.restored, counts.bounds),
                (0, restored, usize::from(noted))
            );
        }
        for _ in 0..20 {
            world.arrive(0, 0, None, 8_000 * MS)?;
            world.pass(500 * MS)?;
            world
                .out()
                .into_iter()
                .try_for_each(|id| world.end(id, Outcome::Delivered))?;
        }
        let mut sent: Vec<Micros> = sends(&world)
            .into_iter()
            .map(|(at, _)| at - begin.min(at))
            .collect();
        sent.sort_unstable();
        let sent = sent.split_off(before);
        for _ in 0..90 {
            world.pass(100 * MS)?;
            world
                .out()
                .into_iter()
                .try_for_each(|id| world.end(id, Outcome::Delivered))?;
        }
        send_one(&mut world, Outcome::Delivered)?;
        if full_destinations.is_some() {
            go_idle(&mut world)?;
            assert_eq!(
                world.forwarder.state_counts().bounds,
                0,
                "the pace binds no more"
            );
        }
        Ok(sent)
    };
    let (message, unknown) = (Some(vec![1, 1, 0, 0]), Some(vec![1, 1, 9, 0]));
    let slowed = run(Some(0), message.clone())?;
    assert_eq!(slowed, run(None, message)?, "as with all state in full");
    let free = run(Some(0), None)?;
    assert!(
        slowed.len() < free.len(),
        "{slowed:?}, without a message {free:?}"
    );
    assert_eq!(run(None, unknown)?, free);
    Ok(())
}

fn many(count: u32, standing: impl Fn(u32) -> EndpointStatus) -> Vec<EndpointEntry> {
    let line = |n: u32| {
        let [_, a, b, c] = n.to_be_bytes();
        let endpoint = EndpointId {
            address: [10, a, b, c],
            port: 80,
            incarnation: 0,
        };
        let destination = DestinationId(n);
        EndpointEntry {
            endpoint,
            status: standing(n),
            destination,
            ..listing(0, 0, 20.0)
        }
    };
    (0..count).map(line).collect()
}

const LINES: u32 = 100_000;
const FULL: usize = 1_024;
/// Beyond those held in full: what a chunk of a list may restore or create before it is summarised again.
const PASSING: usize = 2 * 64;

fn handle(forwarder: &mut Forwarder, now: Micros, event: Event) {
    forwarder.handle(now, event, &mut Vec::new());
    let counts = forwarder.state_counts();
    assert!(counts.most_full <= FULL + PASSING, "{counts:?}");
}

/// Also the 65,537th destination and all after it.
#[test]
fn a_list_of_100_000_lines_never_holds_all_in_full_and_leaves_nothing() {
    let mut forwarder = Forwarder::new(at_size(Some(FULL as u32)), 1);
    for now in [0, 1_000 * MS] {
        handle(
            &mut forwarder,
            now,
            Event::EndpointList(EndpointListUpdate::Complete(many(LINES, |_| {
                EndpointStatus::Ready
            }))),
        );
    }
    let counts = forwarder.state_counts();
    assert_eq!(
        (counts.full, counts.full + counts.summaries),
        (FULL, LINES as usize),
        "{counts:?}"
    );
    let arrival = |n: u32| Submission {
        id: MessageId(n),
        class: DeliveryClassId(0),
        tenant: TenantId(0),
        key: None,
        time_left: 8_000 * MS,
        destination: DestinationId(70_000 + n),
        resubmitted: false,
        history: AttemptHistory::default(),
    };
    for n in 0..50 {
        let mut actions = Vec::new();
        forwarder.handle(2_000 * MS, Event::Submitted(arrival(n)), &mut actions);
        for action in std::mem::take(&mut actions) {
            if let Action::Send { id, endpoint, .. } = action {
                let (outcome, took, report) = (Outcome::Delivered, MS, Vec::new());
                let ended = Event::AttemptEnded {
                    id,
                    attempt: 0,
                    endpoint,
                    outcome,
                    took,
                    completed: true,
                    report,
                };
                handle(&mut forwarder, 2_000 * MS, ended);
            }
        }
    }
    assert_eq!(forwarder.state_counts().restored, counts.restored + 50);
    handle(
        &mut forwarder,
        20_000 * MS,
        Event::EndpointList(EndpointListUpdate::Complete(Vec::new())),
    );
    for n in 0..120 {
        let now = (40_000 + n * 100) * MS;
        handle(
            &mut forwarder,
            now,
            Event::TimerFired {
                token: TimerToken(0),
            },
        );
        handle(
            &mut forwarder,
            now,
            Event::EndpointList(EndpointListUpdate::Changes(Vec::new())),
        );
    }
    let counts = forwarder.state_counts();
    let left = (
        counts.full,
        counts.summaries,
        counts.bounds,
        counts.gone,
        counts.queued,
    );
    assert_eq!(left, (0, 0, 0, 0, 0), "{counts:?}");
}

#[test]
fn a_list_of_which_half_flaps_each_second_costs_its_lines_and_no_more() {
    let mut forwarder = Forwarder::new(at_size(Some(FULL as u32)), 1);
    handle(
        &mut forwarder,
        0,
        Event::EndpointList(EndpointListUpdate::Complete(many(LINES, |_| {
            EndpointStatus::Ready
        }))),
    );
    let (rounds, before) = (4, forwarder.state_counts().restored);
    for round in 1..=rounds {
        let standing = |_: u32| {
            if round % 2 == 1 {
                EndpointStatus::Removed
            } else {
                EndpointStatus::Ready
            }
        };
        let flapping = many(LINES, standing).into_iter().step_by(2).collect();
        handle(
            &mut forwarder,
            round * 1_000 * MS,
            Event::EndpointList(EndpointListUpdate::Changes(flapping)),
        );
        let counts = forwarder.state_counts();
        let gone = if round % 2 == 1 {
            LINES as usize / 2 - FULL
        } else {
            0
        };
        assert!(
            counts.gone >= gone && counts.gone <= gone + FULL,
            "{counts:?}"
        );
    }
    let counts = forwarder.state_counts();
    assert!(
        counts.restored - before <= rounds * u64::from(LINES) / 2,
        "{counts:?}"
    );
    assert!(
        counts.summaries <= LINES as usize && counts.bounds <= LINES as usize,
        "{counts:?}"
    );
    // A change of one line touches that one.
    let one = many(LINES, |_| EndpointStatus::Draining)
        .pop()
        .into_iter()
        .collect();
    handle(
        &mut forwarder,
        9_000 * MS,
        Event::EndpointList(EndpointListUpdate::Changes(one)),
    );
    assert!(forwarder.state_counts().restored <= counts.restored + 1);
}
