//! Tests of the limits on concurrent calls.

use super::*;

#[test]
fn limits_destination_to_its_share_of_permits_and_at_least_one_call() {
    assert_eq!(destination_limit(64, false), 48);
    assert_eq!(destination_limit(64, true), 32);
    assert_eq!(destination_limit(1, false), 1);
    assert_eq!(destination_limit(0, true), 1);
}

#[test]
fn limits_all_degraded_destinations_to_half_of_the_permits() {
    assert_eq!(all_degraded_limit(64), 32);
    assert_eq!(all_degraded_limit(1), 1);
}

#[test]
fn limits_endpoint_to_one_more_than_twice_its_calls_at_capacity() {
    // At 100 calls per second that take 50 ms each, 5 calls are in flight on average.
    assert_eq!(endpoint_limit(100.0, 50_000.0), 11);
    assert_eq!(
        endpoint_limit(0.0, 0.0),
        4,
        "the limit must not fall below the minimum"
    );
}
