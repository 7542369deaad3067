//! Tests of whether a cached list is withheld.

use super::*;

fn polled(fleet_size: u32) -> Config {
    Config {
        fleet_size,
        list_poll_interval: Some(10_000_000),
        list_notification_delay: Some(6_000_000),
        ..Config::default()
    }
}

#[test]
fn withholds_cached_list_if_discovery_is_asked_within_the_timeout() {
    let pushed = Config {
        fleet_size: 300,
        ..Config::default()
    };
    assert!(must_be_confirmed(&pushed));
    assert!(must_be_confirmed(&polled(1)));
    assert!(must_be_confirmed(&polled(20)));
}

/// Guards against restarts in a large polled fleet that each stop deliveries for the whole timeout.
#[test]
fn uses_cached_list_at_once_if_the_first_polls_are_spread_over_seconds() {
    assert!(!must_be_confirmed(&polled(100)));
    assert!(!must_be_confirmed(&polled(300)));
}
