//! Random histories from fixed seeds, in which the oracle checks the service rules after every
//! step.

mod common;

use common::{check_history, run_history, CheckResult, HistoryOptions, MS};
use opalpulley::Action;
use quickcheck::{Gen, QuickCheck};

const STEPS: usize = 600;

#[test]
fn keeps_service_rules_in_random_histories() {
    fn property(seed: u64) -> CheckResult {
        check_history(seed, STEPS)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 20_261_201))
        .tests(200)
        .quickcheck(property as fn(u64) -> CheckResult);
}

/// Returns the actions of all runs of the forwarder in a history. For every eighth seed, the time
/// between two steps is up to 6 s instead of 200 ms.
fn actions_of_history(seed: u64, full_destinations: Option<u32>) -> CheckResult<Vec<Action>> {
    let max_pause = if seed.is_multiple_of(8) {
        6_000 * MS
    } else {
        200 * MS
    };
    let options = HistoryOptions {
        step_count: STEPS,
        max_pause,
        endpoints_per_destination: 2,
        full_destinations,
    };
    let world = run_history(seed, &options)?;
    assert_eq!(
        world.restored_destinations(),
        0,
        "expected no summaries with so few destinations"
    );
    let mut actions = world.earlier_actions;
    actions.extend(world.actions);
    Ok(actions)
}

/// Summaries that are enabled but leave room for every destination in full must not change any
/// action.
#[test]
fn produces_same_actions_with_summaries_off_or_not_needed() {
    fn property(seed: u64) -> bool {
        actions_of_history(seed, None) == actions_of_history(seed, Some(1_024))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 20_261_202))
        .tests(100)
        .quickcheck(property as fn(u64) -> bool);
}
