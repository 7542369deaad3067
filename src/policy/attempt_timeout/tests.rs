//! What the rule on attempt timeouts promises at its limits.

use super::*;
use crate::model::DeduplicationScope;

const SECOND: Micros = 1_000_000;
const BOUND: f64 = 1e6;

fn estimate(mean: f64, deviation: f64) -> LatencyEstimator {
    LatencyEstimator::from_parts(mean, deviation, 8.0)
}

fn class(semantics: DeliverySemantics) -> DeliveryClassConfig {
    DeliveryClassConfig {
        semantics,
        time_to_live: 20 * SECOND,
        ..DeliveryClassConfig::default()
    }
}

#[test]
fn the_latency_bound_is_never_shorter_than_a_pause() {
    let none = LatencyEstimator::default();
    assert_eq!(latency_bound(&none, &none), SILENCE_THRESHOLD as f64);
    let fast = estimate(1_000.0, 100.0);
    assert_eq!(latency_bound(&fast, &none), SILENCE_THRESHOLD as f64);
    let slow = estimate(2e6, 0.5e6);
    assert_eq!(latency_bound(&slow, &none), 6e6);
}

#[test]
fn few_answers_of_its_own_are_eked_out_with_those_of_all() {
    let all = estimate(300.0, 0.0);
    let one_answer = LatencyEstimator::from_parts(600.0, 0.0, 1.0);
    let mean = mean_latency(&one_answer, &all);
    assert!((mean - 400.0).abs() < 1e-9, "{mean}");
    assert_eq!(mean_latency(&estimate(600.0, 0.0), &all), 600.0);
}

#[test]
fn a_call_is_slow_at_half_the_deviations_of_the_bound() {
    let known = estimate(2e6, 0.5e6);
    assert_eq!(slow_threshold(&known, &known), 4e6);
    let none = LatencyEstimator::default();
    assert_eq!(slow_threshold(&none, &none), 0.0);
}

#[test]
fn each_further_attempt_gets_twice_the_bound_up_to_a_limit() {
    assert_eq!(attempt_bound(BOUND, 0), BOUND);
    assert_eq!(attempt_bound(BOUND, 1), BOUND);
    assert_eq!(attempt_bound(BOUND, 2), 2.0 * BOUND);
    assert_eq!(attempt_bound(BOUND, 9), 256.0 * BOUND);
    assert_eq!(attempt_bound(BOUND, u32::MAX), 256.0 * BOUND);
}

#[test]
fn attempts_are_cancelled_sooner_while_no_permit_is_free() {
    let overdue =
        |elapsed, permits| is_overdue(elapsed, BOUND, DeliverySemantics::Idempotent, permits);
    assert!(!overdue(SECOND, Permits::Exhausted));
    assert!(overdue(SECOND + 1, Permits::Exhausted));
    assert!(!overdue(2 * SECOND, Permits::Free));
    assert!(overdue(2 * SECOND + 1, Permits::Free));
}

#[test]
fn at_most_once_attempts_are_cancelled_at_twice_that_time() {
    let overdue =
        |elapsed, permits| is_overdue(elapsed, BOUND, DeliverySemantics::AtMostOnce, permits);
    assert!(!overdue(2 * SECOND, Permits::Exhausted));
    assert!(overdue(2 * SECOND + 1, Permits::Exhausted));
    assert!(!overdue(4 * SECOND, Permits::Free));
    assert!(overdue(4 * SECOND + 1, Permits::Free));
}

#[test]
fn the_timeout_is_four_bounds_and_at_most_half_the_time_to_live() {
    let idempotent = class(DeliverySemantics::Idempotent);
    assert_eq!(timeout(&idempotent, BOUND, 20 * SECOND), Some(4 * SECOND));
    assert_eq!(
        timeout(&idempotent, 9.0 * BOUND, 20 * SECOND),
        Some(10 * SECOND)
    );
}

#[test]
fn the_timeout_leaves_half_the_deduplication_window_for_a_repeat() {
    let keyed = class(DeliverySemantics::IdempotencyKeyed {
        scope: DeduplicationScope::AllEndpoints,
        window: 6 * SECOND,
    });
    assert_eq!(timeout(&keyed, BOUND, 20 * SECOND), Some(3 * SECOND));
}

#[test]
fn the_timeout_ends_by_the_deadline_and_is_never_nothing() {
    let idempotent = class(DeliverySemantics::Idempotent);
    assert_eq!(timeout(&idempotent, BOUND, SECOND), Some(SECOND));
    assert_eq!(timeout(&idempotent, 0.0, SECOND), Some(1));
}

#[test]
fn an_at_most_once_attempt_runs_until_its_deadline() {
    let once = class(DeliverySemantics::AtMostOnce);
    assert_eq!(timeout(&once, BOUND, SECOND), None);
}
