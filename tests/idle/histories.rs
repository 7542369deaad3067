//! Random histories with summaries, compared with the same histories without summaries.

use super::common::*;
use super::{HOLD_AS_SUMMARIES, HOLD_IN_FULL};
use opalpulley::*;
use quickcheck::{Gen, QuickCheck, TestResult};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn check_property(generator_seed: u64, test_count: u64, property: fn(u64) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, generator_seed))
        .tests(test_count)
        .quickcheck(property);
}

fn endpoints_per_destination(seed: u64) -> u8 {
    if seed.is_multiple_of(2) {
        1
    } else {
        2
    }
}

/// Runs a history with less than 6 s between steps, in which a destination that becomes idle is
/// summarised unless `full_destinations` prevents it.
fn run_history_with_idle_times(seed: u64, full_destinations: Option<u32>) -> CheckResult<World> {
    let options = HistoryOptions {
        step_count: 600,
        max_pause: 6_000 * MS,
        endpoints_per_destination: endpoints_per_destination(seed),
        full_destinations,
    };
    run_history(seed, &options)
}

fn mismatch_error(with_summaries: Option<String>, in_full: Option<String>) -> TestResult {
    TestResult::error(format!(
        "results differ: with summaries {with_summaries:?}, in full {in_full:?}"
    ))
}

/// The oracle never discards an endpoint, whereas the core discards one that has been off the list
/// for the warm-up time. A history that breaks a rule for this reason alone breaks it with all
/// destinations in full as well, with the same error, and does not count as a case.
#[test]
fn keeps_service_rules_with_summaries_as_in_full() {
    check_property(20_261_203, 60, |seed| {
        match (
            run_history_with_idle_times(seed, HOLD_AS_SUMMARIES),
            run_history_with_idle_times(seed, HOLD_IN_FULL),
        ) {
            (Ok(world), Ok(_)) if world.restored_destinations() == 0 => {
                TestResult::error("expected a destination to be restored from a summary")
            }
            (Ok(_), Ok(_)) => TestResult::passed(),
            (Ok(_), Err(_)) => TestResult::discard(),
            (Err(with_summaries), Err(in_full)) if with_summaries == in_full => {
                TestResult::discard()
            }
            (with_summaries, in_full) => mismatch_error(with_summaries.err(), in_full.err()),
        }
    });
}

/// Deliveries, final answers and restored destinations of a history.
struct HistoryResult {
    delivered: Vec<MessageId>,
    final_answers: Vec<Action>,
    restored: u64,
}

/// Runs a history of messages, idle times, drains and returns of endpoints, without any failure.
fn run_failure_free_history(
    seed: u64,
    full_destinations: Option<u32>,
) -> CheckResult<HistoryResult> {
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
        step_failure_free_history(&mut world, &list, &mut rng)?;
        world.advance(50 * MS)?;
        world.end_all_attempts(Outcome::Delivered)?;
    }
    let delivered = world.messages.all().filter(|m| m.was_delivered());
    let is_final = |a: &Action| matches!(a, Action::Fail { .. } | Action::Reject { .. });
    Ok(HistoryResult {
        delivered: delivered.map(|m| m.submission.id).collect(),
        restored: world.restored_destinations(),
        final_answers: world.actions.into_iter().filter(is_final).collect(),
    })
}

fn step_failure_free_history(
    world: &mut World,
    list: &[EndpointEntry],
    rng: &mut Pcg64Mcg,
) -> CheckResult {
    match rng.random_range(0..10) {
        0 => {
            let status = if rng.random() {
                EndpointStatus::Ready
            } else {
                EndpointStatus::Draining
            };
            let entry = list[rng.random_range(0..6)].clone();
            world.report_entry_change(with_status(entry, status))
        }
        1 => world.report_list(EndpointListUpdate::Complete(list.to_vec())),
        2..6 => {
            let destination = rng.random_range(0..3);
            world.submit(IDEMPOTENT, destination)?;
            Ok(())
        }
        _ => {
            let duration = rng.random_range(1..4_000) * MS;
            world.advance(duration)
        }
    }
}

#[test]
fn ends_messages_with_summaries_as_in_full_without_failures() {
    check_property(20_261_204, 200, |seed| {
        let with_summaries = run_failure_free_history(seed, HOLD_AS_SUMMARIES);
        let in_full = run_failure_free_history(seed, HOLD_IN_FULL);
        match (with_summaries, in_full) {
            (Ok(with_summaries), _) if with_summaries.restored == 0 => {
                TestResult::error("expected a destination to be restored from a summary")
            }
            (Ok(with_summaries), Ok(in_full)) => TestResult::from_bool(
                with_summaries.delivered == in_full.delivered
                    && with_summaries.final_answers == in_full.final_answers,
            ),
            (with_summaries, in_full) => mismatch_error(with_summaries.err(), in_full.err()),
        }
    });
}
