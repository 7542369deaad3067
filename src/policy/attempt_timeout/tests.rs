//! Tests of latency bounds, cancellation and timeouts, at the limits of the rules.

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
fn latency_bound_is_at_least_silence_threshold() {
    let none = LatencyEstimator::default();
    assert_eq!(latency_bound(&none, &none), SILENCE_THRESHOLD as f64);
    let fast = estimate(1_000.0, 100.0);
    assert_eq!(latency_bound(&fast, &none), SILENCE_THRESHOLD as f64);
    let slow = estimate(2e6, 0.5e6);
    assert_eq!(latency_bound(&slow, &none), 6e6);
}

#[test]
fn blends_mean_latency_with_all_endpoints_below_trusted_responses() {
    let all = estimate(300.0, 0.0);
    let one_response = LatencyEstimator::from_parts(600.0, 0.0, 1.0);
    let mean = mean_latency(&one_response, &all);
    assert!(
        (mean - 400.0).abs() < 1e-9,
        "expected a mean of 400 µs, got {mean}"
    );
    assert_eq!(mean_latency(&estimate(600.0, 0.0), &all), 600.0);
}

#[test]
fn slow_threshold_is_four_deviations_above_mean() {
    let known = estimate(2e6, 0.5e6);
    assert_eq!(slow_threshold(&known, &known), 4e6);
    let none = LatencyEstimator::default();
    assert_eq!(slow_threshold(&none, &none), 0.0);
}

#[test]
fn doubles_attempt_bound_per_attempt_up_to_limit() {
    assert_eq!(attempt_bound(BOUND, 0), BOUND);
    assert_eq!(attempt_bound(BOUND, 1), BOUND);
    assert_eq!(attempt_bound(BOUND, 2), 2.0 * BOUND);
    assert_eq!(attempt_bound(BOUND, 9), 256.0 * BOUND);
    assert_eq!(attempt_bound(BOUND, u32::MAX), 256.0 * BOUND);
}

#[test]
fn cancels_attempts_at_one_bound_if_permits_are_exhausted() {
    let overdue =
        |elapsed, permits| is_overdue(elapsed, BOUND, DeliverySemantics::Idempotent, permits);
    assert!(!overdue(SECOND, Permits::Exhausted));
    assert!(overdue(SECOND + 1, Permits::Exhausted));
    assert!(!overdue(2 * SECOND, Permits::Free));
    assert!(overdue(2 * SECOND + 1, Permits::Free));
}

#[test]
fn cancels_at_most_once_attempts_at_twice_the_usual_time() {
    let overdue =
        |elapsed, permits| is_overdue(elapsed, BOUND, DeliverySemantics::AtMostOnce, permits);
    assert!(!overdue(2 * SECOND, Permits::Exhausted));
    assert!(overdue(2 * SECOND + 1, Permits::Exhausted));
    assert!(!overdue(4 * SECOND, Permits::Free));
    assert!(overdue(4 * SECOND + 1, Permits::Free));
}

#[test]
fn timeout_is_four_bounds_up_to_half_the_time_to_live() {
    let idempotent = class(DeliverySemantics::Idempotent);
    assert_eq!(timeout(&idempotent, BOUND, 20 * SECOND), Some(4 * SECOND));
    assert_eq!(
        timeout(&idempotent, 9.0 * BOUND, 20 * SECOND),
        Some(10 * SECOND)
    );
}

#[test]
fn timeout_is_at_most_half_the_deduplication_window() {
    let keyed = class(DeliverySemantics::IdempotencyKeyed {
        scope: DeduplicationScope::AllEndpoints,
        window: 6 * SECOND,
    });
    assert_eq!(timeout(&keyed, BOUND, 20 * SECOND), Some(3 * SECOND));
}

#[test]
fn timeout_ends_by_deadline_and_is_at_least_one_microsecond() {
    let idempotent = class(DeliverySemantics::Idempotent);
    assert_eq!(timeout(&idempotent, BOUND, SECOND), Some(SECOND));
    assert_eq!(timeout(&idempotent, 0.0, SECOND), Some(1));
}

#[test]
fn sets_no_timeout_for_at_most_once_attempt() {
    let once = class(DeliverySemantics::AtMostOnce);
    assert_eq!(timeout(&once, BOUND, SECOND), None);
}
