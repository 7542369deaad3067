//! Random histories with summaries, compared with the same histories without.

use super::common::*;
use super::{FULL, SUMMARIES};
use opalpulley::*;
use quickcheck::{Gen, QuickCheck, TestResult};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn check_seeds(generator_seed: u64, tests: u64, property: fn(u64) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, generator_seed))
        .tests(tests)
        .quickcheck(property);
}

fn endpoints_per_destination(seed: u64) -> u8 {
    if seed.is_multiple_of(2) {
        1
    } else {
        2
    }
}

/// A history with long pauses, in which a destination is summarised whenever it is idle.
fn history(seed: u64, full_destinations: Option<u32>) -> Checked<World> {
    let options = HistoryOptions {
        steps: 600,
        longest_pause: 6_000 * MS,
        endpoints_per_destination: endpoints_per_destination(seed),
        full_destinations,
    };
    play_history(seed, &options)
}

fn both_failed(with: Option<String>, without: Option<String>) -> TestResult {
    TestResult::error(format!("{with:?}, in full {without:?}"))
}

/// The oracle never forgets an endpoint, and the core forgets one that has been gone for the
/// warm-up time. A history that breaks a rule by that alone breaks it in full as well, and in the
/// same words; it is discarded.
#[test]
fn no_history_with_summaries_breaks_a_rule_that_it_keeps_in_full() {
    check_seeds(20_261_203, 60, |seed| {
        match (history(seed, SUMMARIES), history(seed, FULL)) {
            (Ok(world), Ok(_)) if world.restored() == 0 => {
                TestResult::error("nothing was summarised")
            }
            (Ok(_), Ok(_)) => TestResult::passed(),
            (Ok(_), Err(_)) => TestResult::discard(),
            (Err(with), Err(without)) if with == without => TestResult::discard(),
            (with, without) => both_failed(with.err(), without.err()),
        }
    });
}

/// How the messages of a history ended.
struct Endings {
    delivered: Vec<MessageId>,
    final_answers: Vec<Action>,
    restored: u64,
}

/// Messages, pauses, drains and returns of endpoints, but no failure.
fn endings_without_failures(seed: u64, full_destinations: Option<u32>) -> Checked<Endings> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let endpoints = endpoints_per_destination(seed);
    let entry = |number: u8| listed_endpoint(number, u32::from(number / endpoints), 4.0);
    let list: Vec<EndpointEntry> = (0..6).map(entry).collect();
    let config = Config {
        full_destinations,
        ..config()
    };
    let mut world = World::new(config, list.clone());
    for _ in 0..200 {
        step_without_failure(&mut world, &list, &mut rng)?;
        world.advance(50 * MS)?;
        world.end_all_attempts(Outcome::Delivered)?;
    }
    let delivered = world.messages.all().filter(|m| m.was_delivered());
    let is_final = |a: &Action| matches!(a, Action::Fail { .. } | Action::Reject { .. });
    Ok(Endings {
        delivered: delivered.map(|m| m.submission.id).collect(),
        restored: world.restored(),
        final_answers: world.actions.into_iter().filter(is_final).collect(),
    })
}

fn step_without_failure(world: &mut World, list: &[EndpointEntry], rng: &mut Pcg64Mcg) -> Checked {
    match rng.random_range(0..10) {
        0 => {
            let status = if rng.random() {
                EndpointStatus::Ready
            } else {
                EndpointStatus::Draining
            };
            let entry = list[rng.random_range(0..6)].clone();
            world.report_change(with_status(entry, status))
        }
        1 => world.report_list(EndpointListUpdate::Complete(list.to_vec())),
        2..6 => {
            let destination = rng.random_range(0..3);
            world.submit(IDEMPOTENT, destination)?;
            Ok(())
        }
        _ => {
            let time = rng.random_range(1..4_000) * MS;
            world.advance(time)
        }
    }
}

#[test]
fn where_nothing_fails_every_message_ends_as_without_summaries() {
    check_seeds(20_261_204, 200, |seed| {
        let with = endings_without_failures(seed, SUMMARIES);
        let without = endings_without_failures(seed, FULL);
        match (with, without) {
            (Ok(with), _) if with.restored == 0 => TestResult::error("nothing was summarised"),
            (Ok(with), Ok(without)) => TestResult::from_bool(
                with.delivered == without.delivered && with.final_answers == without.final_answers,
            ),
            (with, without) => both_failed(with.err(), without.err()),
        }
    });
}
